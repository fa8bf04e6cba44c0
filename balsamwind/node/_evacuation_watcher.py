"""Watch that keeps the evacuated data centres up to date."""

import asyncio

from balsamwind import exceptions
from balsamwind.node import _store_availability
from balsamwind.node import _updates
from balsamwind import servers

CALL_TIMEOUT = 0.8
"""Longest timeout of one call to the store (seconds)."""

CALL_SHARE = 1 / 6
"""Share of the bound that one call may take, so that a failed call is known
before the state counts as outdated."""

OTHERS_SHARE = 0.4
"""Share of the bound between two lists of a node that others do not rely on.
Many nodes list while their publishers are of an older build."""

LIST_INTERVAL = 1.0
"""Time between two lists of a node that publishes to others (seconds)."""

MAX_NAMES_LOGGED = 20
"""Unknown names that are logged, each once (count)."""

MAX_NAME_LENGTH = 64
"""Characters of an unknown name that are logged (count)."""

SUCCESSION_MARGIN = 0.3
"""Time by which the second publisher reads the store sooner than the nodes
that turn to it (seconds)."""


class EvacuationWatcher:
    """Keeps the state of the evacuations, and passes it on.

    The state is listed, not watched: a list shows the newest state at the
    time of the call, and it is small. Of the nodes of a data centre, only the
    first one lists regularly.

    Parameters
    ----------
    platform : balsamwind.platform.PlatformClient
        Client of the platform's store.
    evacuations : balsamwind.servers.Evacuations
        State of the evacuations.
    data_centres : collection of str
        All data centres.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    subscriber : UpdateSubscriber
        Tells whether this node waits for a publisher.
    publisher : UpdatePublisher
        Passes changes on to the subscribers of this node.

    Attributes
    ----------
    on_return : callable
        Called with each data centre whose evacuation has ended.
    """

    def __init__(
        self,
        platform,
        evacuations,
        data_centres,
        clock,
        log,
        subscriber,
        publisher,
    ):
        self._platform = platform
        self._evacuations = evacuations
        self._data_centres = frozenset(data_centres)
        self._clock = clock
        self._log = log
        self._subscriber = subscriber
        self._publisher = publisher
        self._published_at = float('-inf')
        self._logged_names = set()
        self._availability = _store_availability.StoreAvailability(
            'evacuations', clock, log
        )
        self.on_return = lambda data_centre: None

    async def run(self):
        """Keep the state up to date; never returns."""
        while True:
            await asyncio.sleep(await self.step())

    async def step(self):
        """List the evacuations unless a publisher keeps the state fresh.

        Returns
        -------
        float
            Time until the next step (seconds).
        """
        if self._evacuations.bound is None or self._relies_on_publisher():
            self._availability.record_indirect_answer()
            return _store_availability.PUBLISHER_CHECK_INTERVAL
        sent_at = self._clock.monotonic()
        try:
            await self._list(sent_at)
        except exceptions.StoreError as error:
            self._evacuations.record_failure(sent_at)
            self._availability.record_failure(error)
        now = self._clock.monotonic()
        next_at = sent_at + self._find_interval()
        if now < self._evacuations.settled_at < next_at:
            next_at = max(
                self._evacuations.settled_at, sent_at + LIST_INTERVAL
            )
        return max(next_at - now, 0.0)

    def _relies_on_publisher(self):
        return self._subscriber.is_starting() or (
            self._subscriber.has_publishers and self._has_fresh_notice()
        )

    def _has_fresh_notice(self):
        """Whether a publisher has confirmed the state within half the bound.

        The time that counts is when the publisher's read was sent.
        """
        max_age = self._evacuations.bound / 2
        if self._subscriber.reads_store_first:
            max_age -= min(SUCCESSION_MARGIN, max_age / 4)
        return self._clock.monotonic() - self._published_at <= max_age

    def _find_interval(self):
        """Find the time between two lists; more where many nodes list."""
        interval = LIST_INTERVAL
        if not self._subscriber.reads_store_first:
            interval = max(interval, OTHERS_SHARE * self._evacuations.bound)
        return interval

    async def _list(self, sent_at):
        revision, names = await self._platform.list_evacuations(
            min(CALL_TIMEOUT, CALL_SHARE * self._evacuations.bound)
        )
        self._availability.record_answer()
        data_centres, unknown = servers.split_names(names, self._data_centres)
        self._log_unknown(unknown)
        self._handle_change(
            self._evacuations.accept_list(data_centres, revision, sent_at),
            'store',
        )

    def _log_unknown(self, names):
        for name in names:
            if len(self._logged_names) >= MAX_NAMES_LOGGED:
                return
            name = name[:MAX_NAME_LENGTH]
            if name not in self._logged_names:
                self._logged_names.add(name)
                self._log.warning(
                    'evacuation_ignored',
                    name=name,
                    reason='no such data centre',
                )

    def receive(self, notice, confirmed_at):
        """Take over the state that a publisher has sent.

        Parameters
        ----------
        notice : balsamwind.node._updates.EvacuationNotice
            State and proof of the publisher.
        confirmed_at : float
            Its proof by the clock of this node, never later than the true
            time (seconds, boot clock).
        """
        if self._evacuations.bound is None:
            return
        known = self._evacuations.state
        if known is not None and notice.state.revision < known.revision:
            return
        self._published_at = max(self._published_at, confirmed_at)
        data_centres, unknown = servers.split_names(
            notice.state.data_centres, self._data_centres
        )
        self._log_unknown(unknown)
        state = servers.EvacuationState(data_centres, notice.state.revision)
        self._handle_change(
            self._evacuations.accept(state, confirmed_at), 'publisher'
        )

    def make_notice(self):
        """Make the notice for the subscribers of this node.

        Returns
        -------
        balsamwind.node._updates.EvacuationNotice or None
            None if no state is known, or evacuations are not enabled.
        """
        evacuations = self._evacuations
        if evacuations.bound is None or evacuations.state is None:
            return None
        return _updates.EvacuationNotice(
            evacuations.state, max(evacuations.confirmed_at, 0.0)
        )

    def handle_restored_store(self, now):
        """Keep the state for a while, as the store may hold an older one.

        Parameters
        ----------
        now : float
            When the store was found to be from an older copy (seconds, boot
            clock).
        """
        self._evacuations.handle_restored_store(now)

    def _handle_change(self, change, source):
        begun, ended = change
        if not begun and not ended:
            return
        self._log.info(
            'evacuation_changed',
            begun=begun,
            ended=ended,
            evacuated=self._evacuations.state.data_centres,
            revision=self._evacuations.state.revision,
            source=source,
        )
        self._publisher.broadcast(
            _updates.ServerUpdate(evacuations=self.make_notice(), notice=True)
        )
        for data_centre in ended:
            self.on_return(data_centre)
