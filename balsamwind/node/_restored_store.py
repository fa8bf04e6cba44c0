"""What a node does when the store comes back from an older copy.

The store has lost its last changes, leases among them, and gives out their
revisions again. What it still holds may be old; the operator and the backend
servers write theirs again within seconds.
"""

HEARTBEATS_TO_EXPIRY = 3.0
"""Missed heartbeats after which an entry is removed (count)."""

RESTORE_MARGIN = 1.0
"""Time added until entries that nobody renewed are gone (seconds)."""


class RestoredStoreHandler:
    """Tells the components of a node that the store has begun a new era.

    Parameters
    ----------
    bounds : balsamwind.node.Bounds
        Timing of the deployment; the heartbeat is used.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    updater : ConfigurationUpdater
        Proofs of the configuration.
    leases : iterable of ShardLease
        Leases for which this node competes.
    writers : iterable of object
        Components that write their own objects again, by `write_again`.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.

    Attributes
    ----------
    bounds : balsamwind.node.Bounds
        As given; replaced when the settings are read again.
    on_restored : callable
        Called with the time of a new era (seconds, boot clock).
    """

    __slots__ = (
        '_clock',
        '_leases',
        '_log',
        '_registry',
        '_stale_logged',
        '_updater',
        '_writers',
        'bounds',
        'on_restored',
    )

    def __init__(self, bounds, registry, updater, leases, writers, clock, log):
        self.bounds = bounds
        self._registry = registry
        self._updater = updater
        self._leases = tuple(leases)
        self._writers = tuple(writers)
        self._clock = clock
        self._log = log
        self._stale_logged = set()
        self.on_restored = lambda now: None

    def handle_era(self, previous, era):
        """Handle an era that an answer of the store states.

        Parameters
        ----------
        previous : int
            Era known before.
        era : int or None
            Another era; a lower one is that of a stale answer, None of one
            that can't be read. Neither changes anything.
        """
        if era is None or era < previous:
            if era not in self._stale_logged:
                self._stale_logged.add(era)
                self._log.warning('era_ignored', known=previous, era=era)
            return
        now = self._clock.monotonic()
        self._log.warning('store_restored', previous=previous, era=era)
        for lease in self._leases:
            lease.handle_restored_store()
        self._registry.start_restore_grace(
            now + HEARTBEATS_TO_EXPIRY * self.bounds.heartbeat + RESTORE_MARGIN
        )
        self._updater.handle_restored_store(now)
        self.on_restored(now)
        for writer in self._writers:
            writer.write_again()
