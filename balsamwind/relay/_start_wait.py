"""Wait of requests that a node receives before it can serve any.

Load pattern: after a loss of power all nodes of a data centre start within a
second, and callers reach nodes that have no configuration yet, or know no
servers. A caller that is rejected then turns to another node in the same
state, and gives up.
"""

import asyncio
import contextlib
import math

MAX_START_WAIT = 1.2
"""Time after the start of a node in which requests wait for its first
configuration and entries of servers (seconds). A node that has a publisher or
the store has them by then."""

EVIDENCE_TIME = 0.8
"""Time for which requests wait, once the node has a configuration and servers,
to be told what is quarantined (seconds): that of one call to the store."""

MAX_WAITING = 256
"""Requests that wait at the same time (count), so that a node with little
memory does not run out of it."""

MAX_SHARE_OF_TIME = 0.5
"""Share of the time that a caller waits which may pass before its request is
rejected; the caller may then still turn to another node."""


class StartWait:
    """Lets requests wait until the node can serve them.

    Parameters
    ----------
    clock : balsamwind.ports.Clock
        Source of the time (boot clock).
    log : structlog.BoundLogger
        Logger of the node.
    """

    __slots__ = (
        '_awaits_evidence',
        '_clock',
        '_event',
        '_log',
        '_until',
        '_waiting',
    )

    def __init__(self, clock, log):
        self._clock = clock
        self._log = log
        self._event = asyncio.Event()
        self._until = clock.monotonic() + MAX_START_WAIT
        self._waiting = 0
        self._awaits_evidence = False

    @property
    def is_over(self):
        """Whether requests go on without a wait."""
        return self._event.is_set()

    def end(self):
        """Let all requests go on, as the node can serve them."""
        if self._event.is_set():
            return
        self._event.set()
        self._log.info('start_wait_ended', requests=self._waiting)

    def await_evidence(self):
        """Wait for evidence from now on, as nothing else is missing.

        What is quarantined may be told late where the rest came late; without
        it the node would send what others know to crash servers.
        """
        if self._awaits_evidence:
            return
        self._awaits_evidence = True
        until = self._clock.monotonic() + EVIDENCE_TIME
        self._until = max(self._until, until)

    async def wait(self, time_budget):
        """Wait until the node can serve requests, or it is late for that.

        Parameters
        ----------
        time_budget : float or None
            How long the caller waits for the response (seconds); None if not
            stated.
        """
        if self._event.is_set() or self._waiting >= MAX_WAITING:
            return
        latest = math.inf
        if time_budget is not None:
            latest = self._clock.monotonic() + MAX_SHARE_OF_TIME * time_budget
        self._waiting += 1
        try:
            until = None
            while until != self._until:
                until = self._until
                time_left = min(until, latest) - self._clock.monotonic()
                if time_left <= 0.0:
                    return
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._event.wait(), time_left)
        finally:
            self._waiting -= 1
