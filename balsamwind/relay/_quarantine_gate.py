"""What the quarantine of parts means for one request."""

from balsamwind import exceptions
from balsamwind.relay import _fingerprint


def _make_error(quarantine):
    if _fingerprint.is_fingerprint(quarantine.part):
        return exceptions.RequestQuarantined(
            f'{quarantine.crashes} servers crashed as they ran the same'
            ' request',
            quarantine.time_left,
        )
    return exceptions.PromptQuarantined(
        f'{quarantine.crashes} engines crashed as they answered prompts with'
        f' the part {quarantine.part}',
        quarantine.time_left,
    )


class QuarantineGate:
    """Asks the quarantine for one request, each time before it is sent.

    Parameters
    ----------
    forwarded : ForwardedRequest
        The request.
    """

    __slots__ = ('_forwarded', '_quarantine', '_reporter')

    def __init__(self, forwarded):
        self._forwarded = forwarded
        self._quarantine = forwarded.relay.crash_quarantine
        self._reporter = forwarded.relay.crash_reporter

    def find_error(self, attempt=None):
        """Find why the request may not be sent.

        Parameters
        ----------
        attempt : AttemptRun or None
            The attempt; None before it is made.

        Returns
        -------
        balsamwind.exceptions.RequestNotRun or None
        """
        if not self._quarantine.has_suspects:
            return None
        quarantine = self._quarantine.find_obstacle(
            self._forwarded.service.name,
            self._make_parts(),
            self._forwarded.relay.clock.monotonic(),
            attempt,
        )
        return None if quarantine is None else _make_error(quarantine)

    def watch(self, listener):
        """Call a function when anything is quarantined, see `watch` there."""
        return self._quarantine.watch(listener)

    def _make_parts(self):
        return (
            *self._forwarded.metadata.shared_parts,
            self._forwarded.make_fingerprint(),
        )

    def check_before_send(self, attempt):
        """Check that the request may still be sent.

        It may have waited for room or for a connection since it was admitted.

        Parameters
        ----------
        attempt : AttemptRun
            The attempt.

        Raises
        ------
        balsamwind.exceptions.SendForbidden
            It may not; nothing was sent.
        """
        if not self._quarantine.has_suspects:
            return
        error = self.find_error(attempt)
        if error is not None:
            raise exceptions.SendForbidden(error.message)
        self._quarantine.begin_trial(
            self._forwarded.service.name,
            self._make_parts(),
            attempt,
            self._forwarded.relay.clock.monotonic(),
        )

    def record_answer(self, progress):
        """Record that one server gave a whole answer to the request.

        Parameters
        ----------
        progress : AttemptProgress
            Times of the attempt.
        """
        parts, fingerprint = (), None
        if progress.first_event_at is not None:
            parts = self._forwarded.metadata.shared_parts
        if self._quarantine.has_suspects:
            fingerprint = self._forwarded.make_fingerprint()
        if parts or fingerprint:
            self._reporter.record_answer(
                self._forwarded.service.name, parts, fingerprint, progress
            )

    def report_broken_answer(self, backend, progress):
        """Report that an answer to the request was broken off.

        Parameters
        ----------
        backend : Backend
            Backend that it was sent to.
        progress : AttemptProgress
            How far the attempt had come.
        """
        self._report(self._reporter.report_broken_answer, backend, progress)

    def watch_abandoned(self, backend, progress):
        """Report if a server crashes soon after an attempt was given up.

        Parameters
        ----------
        backend, progress
            As for `report_broken_answer`.
        """
        self._report(self._reporter.watch_abandoned, backend, progress)

    def _report(self, report, backend, progress):
        report(
            backend,
            self._forwarded.service.name,
            self._forwarded.metadata.shared_parts,
            self._forwarded.make_fingerprint(),
            progress,
        )
