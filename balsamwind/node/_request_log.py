"""Log lines and metrics of the request path."""

import prometheus_client

from balsamwind.node import _line_limit
from balsamwind import relay

MAX_LINES_PER_SECOND = 30.0
"""Rate at which lines about requests are logged at most (lines per second)."""

MAX_BURST = 60.0
"""Capacity of the token bucket that limits these lines (count)."""

MAX_EVIDENCE_LINES_PER_SECOND = 10.0
"""Rate of the lines about ended servers and what is put down to requests
(lines per second)."""

MAX_EVIDENCE_BURST = 200.0
"""Capacity of their token bucket (count)."""

MAX_NAMED_SERVERS = 100
"""Servers whose unreadable headers are logged (count)."""

HISTOGRAM_BUCKETS = (0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)
"""Upper bounds of the histogram buckets (seconds)."""


class RequestLog:
    """Counts all requests, and logs failed ones at a limited rate.

    Parameters
    ----------
    log : structlog logger
        Logger of the node.
    clock : balsamwind.ports.Clock
        Monotonic clock.

    Attributes
    ----------
    log : structlog logger
        Logger of the node.
    metrics_registry : prometheus_client.CollectorRegistry
        Metrics of the node.
    """

    __slots__ = (
        '_answers',
        '_clock',
        '_dropped_responses',
        '_durations',
        '_evidence_lines',
        '_excess_runs',
        '_failed_attempts',
        '_lines',
        '_malformed_answers',
        '_rejections',
        '_repeats',
        '_requested_pauses',
        '_server_ends',
        '_silences',
        '_stream_ends',
        '_unreadable_from',
        '_waits',
        'log',
        'metrics_registry',
    )

    def __init__(self, log, clock):
        self.log = log
        self._clock = clock
        self._lines = _line_limit.LineLimit(
            log, clock, MAX_LINES_PER_SECOND, MAX_BURST
        )
        # A crowd of failing requests must not hide what is known of its cause.
        self._evidence_lines = _line_limit.LineLimit(
            log,
            clock,
            MAX_EVIDENCE_LINES_PER_SECOND,
            MAX_EVIDENCE_BURST,
            'evidence_lines_left_out',
        )
        self.metrics_registry = prometheus_client.CollectorRegistry()
        self._answers = prometheus_client.Counter(
            'balsamwind_answers',
            'Final answers to callers.',
            ('outcome',),
            registry=self.metrics_registry,
        )
        self._failed_attempts = prometheus_client.Counter(
            'balsamwind_failed_attempts',
            'Sends to backend servers without an answer that was relayed.',
            ('reason',),
            registry=self.metrics_registry,
        )
        self._silences = prometheus_client.Counter(
            'balsamwind_silent_attempts',
            'Attempts whose server was silent for long, by what prevented a'
            ' further attempt.',
            ('obstacle',),
            registry=self.metrics_registry,
        )
        self._unreadable_from = set()
        self._requested_pauses = prometheus_client.Counter(
            'balsamwind_requested_pauses',
            'Rejections in which a backend server asked for a pause.',
            registry=self.metrics_registry,
        )
        self._stream_ends = prometheus_client.Counter(
            'balsamwind_stream_ends',
            'Event streams of backend servers that ended without an error of'
            ' the connection.',
            ('framing', 'inside_event'),
            registry=self.metrics_registry,
        )
        self._dropped_responses = prometheus_client.Counter(
            'balsamwind_dropped_responses',
            'Responses that belong to an earlier request of the connection,'
            ' or may do so.',
            ('reason',),
            registry=self.metrics_registry,
        )
        self._malformed_answers = prometheus_client.Counter(
            'balsamwind_malformed_answers',
            'Answers of backend servers and the store that are no HTTP'
            ' responses.',
            ('defect',),
            registry=self.metrics_registry,
        )
        self._durations = prometheus_client.Histogram(
            'balsamwind_answer_seconds',
            'Time to the end of the final answer.',
            ('outcome',),
            buckets=HISTOGRAM_BUCKETS,
            registry=self.metrics_registry,
        )

        self._waits = prometheus_client.Histogram(
            'balsamwind_wait_seconds',
            'Time that requests waited for a slot of a replica group.',
            ('rank',),
            buckets=HISTOGRAM_BUCKETS,
            registry=self.metrics_registry,
        )
        self._rejections = prometheus_client.Counter(
            'balsamwind_queue_rejections',
            'Requests of all nodes that the queue of this node rejected.',
            ('reason',),
            registry=self.metrics_registry,
        )
        self._server_ends = prometheus_client.Counter(
            'balsamwind_server_ends',
            'Unfinished answers, by what their servers were found to do then.',
            ('service', 'verdict'),
            registry=self.metrics_registry,
        )
        self._repeats = prometheus_client.Counter(
            'balsamwind_repeats',
            'Sends of requests beyond the first, and refusals of such sends.',
            ('service', 'payment'),
            registry=self.metrics_registry,
        )
        self._excess_runs = prometheus_client.Counter(
            'balsamwind_excess_runs',
            'Requests that may have run more often than their route allows.',
            ('service',),
            registry=self.metrics_registry,
        )

    def record_unread_request(self, error):
        """Record a request that was rejected before its body was read.

        Parameters
        ----------
        error : balsamwind.exceptions.BalsamwindError
            Why it was rejected.
        """
        self._answers.labels(error.code).inc()
        if self._lines.take():
            self.log.info(
                'request_not_read', outcome=error.code, reason=error.message
            )

    def record_rejection(self, reason):
        """Count a request that the queue of this node rejected.

        Parameters
        ----------
        reason : str
            A `balsamwind.scheduling.RejectionReason`.
        """
        self._rejections.labels(reason).inc()

    def record_wait(self, request_id, rank, account, wait, outcome):
        """Record a request of this node that has waited for a slot.

        Parameters
        ----------
        request_id : str
            Id of the request.
        rank : int
            Rank of the request.
        account : str
            Client account; empty if none.
        wait : float
            How long it waited (seconds).
        outcome : str
            'started', 'rejected' or 'caller_gone'.
        """
        self._waits.labels(rank).observe(wait)
        if self._lines.take():
            self.log.info(
                'request_waited',
                id=request_id,
                rank=rank,
                account=account,
                wait=round(wait, 3),
                outcome=outcome,
            )

    def record_request(self, request, metadata, outcome, reason=''):
        """Record the final answer to a request.

        Parameters
        ----------
        request : balsamwind.relay.IncomingRequest
            Request of the caller.
        metadata : balsamwind.relay.RequestMetadata
            Decoded headers of the request.
        outcome : str
            'ok', or the code of the error.
        reason : str
            Message of the error; empty if there is none.
        """
        duration = self._clock.monotonic() - request.received_at
        self._answers.labels(outcome).inc()
        self._durations.labels(outcome).observe(duration)
        if outcome == 'ok' or not self._lines.take():
            return
        self.log.info(
            'request_ended',
            id=metadata.request_id,
            path=request.path,
            outcome=outcome,
            reason=reason,
            seconds=round(duration, 3),
        )

    def record_failed_attempt(
        self, metadata, backend, failure, progress=None, fingerprint=None
    ):
        """Record an attempt whose answer could not be relayed to the caller.

        Parameters
        ----------
        metadata : balsamwind.relay.RequestMetadata
            Decoded headers of the request.
        backend : balsamwind.relay.Backend
            Backend server or replica group that the request was sent to.
        failure : balsamwind.relay.Failure
            Why the attempt failed.
        progress : balsamwind.relay.AttemptProgress or None
            How far the attempt had come; None if that is not known.
        fingerprint : str or None
            Identifies the request over its repeats, if its answer was broken
            off.
        """
        self._failed_attempts.labels(failure.error.code).inc()
        if not self._lines.take():
            return
        self.log.info(
            'attempt_failed',
            id=metadata.request_id,
            place=':'.join(str(part) for part in backend.key),
            server=backend.record.server_id,
            reason=str(failure.error),
            sent=failure.sent,
            stalled=failure.stalled,
            fault=failure.fault.value,
            in_flight=backend.in_flight,
            **({} if fingerprint is None else {'fingerprint': fingerprint}),
            **_describe_progress(metadata, progress, self._clock.monotonic()),
        )

    def record_silence(self, metadata, backend, obstacle):
        """Record that the server of an attempt is silent for long.

        Parameters
        ----------
        metadata : balsamwind.relay.RequestMetadata
            Decoded headers of the request.
        backend : balsamwind.relay.Backend
            Backend server or replica group that is silent.
        obstacle : str
            Why no other attempt is made beside it; empty if one is.
        """
        self._silences.labels(obstacle or 'none').inc()
        if self._lines.take():
            self.log.info(
                'attempt_silent',
                id=metadata.request_id,
                place=':'.join(str(part) for part in backend.key),
                server=backend.record.server_id,
                obstacle=obstacle,
            )

    def record_quarantine(self, change):
        """Log that a prompt part or request is quarantined or cleared.

        Parameters
        ----------
        change : balsamwind.relay.QuarantineBegun or PartCleared
            The change.
        """
        match change:
            case relay.QuarantineBegun(service, part, crashes, time_left):
                event = 'part_quarantined'
                values = {'seconds': round(time_left, 1)}
            case relay.PartCleared(service, part, crashes, by_answer):
                event = 'part_cleared'
                values = {'by_answer': by_answer}
        if self._evidence_lines.take():
            self.log.warning(
                event,
                service=service,
                part=part,
                crashes=list(crashes),
                **values,
            )

    def record_server_end(self, record, verdict, parts):
        """Record what a server was found to do after an unfinished answer.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        verdict : balsamwind.relay.EndVerdict
            What was found.
        parts : tuple of str
            Prompt parts, or the fingerprint, of the request.
        """
        self._server_ends.labels(record.service, verdict.value).inc()
        if verdict.is_shown:
            return
        lines = self._evidence_lines if verdict.is_doubtful else self._lines
        if lines.take():
            self.log.info(
                'end_not_counted',
                engine=record.server_id,
                service=record.service,
                reason=verdict.value,
                parts=list(parts),
            )

    def record_repeats(self, service, repeats):
        """Count the sends of one request beyond the first.

        Parameters
        ----------
        service : str
            Name of the service.
        repeats : balsamwind.relay.Repeats
            How often it was sent, and who paid.
        """
        for payment, count in repeats.by_payment.items():
            if count:
                self._repeats.labels(service, payment).inc(count)
        if repeats.is_excess:
            self._excess_runs.labels(service).inc()

    def record_stream_end(
        self, request_id, backend, framing, unfinished_bytes
    ):
        """Record how the event stream of an attempt ended.

        Parameters
        ----------
        request_id : str
            Id of the request.
        backend : balsamwind.relay.Backend
            Backend server or replica group that sent the stream.
        framing : str
            How the end was marked: 'length', 'chunked' or 'close'.
        unfinished_bytes : int
            Bytes after the last complete event (count).
        """
        inside_event = 'yes' if unfinished_bytes else 'no'
        self._stream_ends.labels(framing, inside_event).inc()
        if not unfinished_bytes or not self._lines.take():
            return
        self.log.info(
            'stream_ended_inside_event',
            id=request_id,
            place=':'.join(str(part) for part in backend.key),
            server=backend.record.server_id,
            framing=framing,
            unfinished_bytes=unfinished_bytes,
        )

    def record_dropped_response(self, endpoint, is_doubtful):
        """Record a response that was not taken for that of the request.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.
        is_doubtful : bool
            Whether it may have been, as it does not name its request.
        """
        reason = 'no_id' if is_doubtful else 'other_request'
        self._dropped_responses.labels(reason).inc()
        if self._lines.take():
            self.log.info('response_dropped', server=endpoint, reason=reason)

    def record_malformed_answer(self, endpoint, request_id, defect, reason):
        """Record an answer that is no HTTP response.

        Parameters
        ----------
        endpoint : str
            ``host:port`` of the server.
        request_id : str
            Id of the request; empty if this node itself has asked.
        defect : balsamwind.adapters.HeadDefect
            What is wrong.
        reason : str
            Description, with what was got.
        """
        self._malformed_answers.labels(defect.value).inc()
        if self._lines.take():
            self.log.info(
                'answer_malformed',
                server=endpoint,
                id=request_id,
                defect=defect.value,
                reason=reason,
            )

    def record_requested_pause(self, backend, pause):
        """Record that a backend server wants no requests for a while.

        Parameters
        ----------
        backend : balsamwind.relay.Backend
            Backend that asked for the pause.
        pause : float
            Time that it asked for (seconds).
        """
        self._requested_pauses.inc()
        if self._lines.take():
            self.log.info(
                'pause_requested',
                server=backend.record.server_id,
                seconds=round(pause, 3),
                granted=min(pause, relay.MAX_PAUSE),
            )

    def record_cold_server(self, record, reason, seconds):
        """Record that a server was found to be cold.

        Parameters
        ----------
        record : balsamwind.pool.ServerRecord
            Entry of the server.
        reason : str
            'start' or 'entry'.
        seconds : float
            Time for which it counts as cold (seconds).
        """
        if self._lines.take():
            self.log.info(
                'server_cold',
                server=record.server_id,
                born=record.born,
                reason=reason,
                seconds=round(seconds, 3),
            )

    def record_ramp_end(self, backend, seconds):
        """Record that a replica group has shown its full pace.

        Parameters
        ----------
        backend : balsamwind.relay.Backend
            The group.
        seconds : float
            Time since it started or recovered (seconds).
        """
        if self._lines.take():
            self.log.info(
                'server_ramp_ended',
                place=':'.join(str(part) for part in backend.key),
                server=backend.record.server_id,
                seconds=round(seconds, 3),
            )

    def record_unreadable_headers(self, backend, names):
        """Record headers that can't be read, once for each server.

        Parameters
        ----------
        backend : balsamwind.relay.Backend
            Backend that sent them.
        names : tuple of str
            Names of the headers.
        """
        server_id = backend.record.server_id
        if server_id in self._unreadable_from:
            return
        if len(self._unreadable_from) < MAX_NAMED_SERVERS:
            self._unreadable_from.add(server_id)
            self.log.warning(
                'headers_unreadable', server=server_id, names=list(names)
            )


def _describe_progress(metadata, progress, now):
    """Make the log fields that tell which of several requests was at fault."""
    if progress is None or not metadata.shared_parts:
        return {}
    first_event_at = progress.first_event_at
    return {
        'parts': list(metadata.shared_parts),
        'began': progress.began_at is not None,
        'writing': None
        if first_event_at is None
        else round(now - first_event_at, 3),
    }
