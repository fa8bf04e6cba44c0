"""Puts versions of the configuration in force and passes them on."""

from balsamwind import traffic

REWRITE_TIME = 3.0
"""Time after the store has come back from an older copy within which the
operator writes the newest version again (seconds). What the store holds before
proves nothing."""


class ConfigurationUpdater:
    """Puts what the store or a publisher sends in force.

    All changes and proofs of the configuration pass through here, whether
    this node has read them itself or heard them from another one, so that
    its own subscribers get them either way.

    Parameters
    ----------
    configuration_cache : balsamwind.traffic.ConfigurationCache
        Configuration in force.
    publisher : UpdatePublisher
        Passes changes and proofs on to the subscribers of this node.
    log : structlog logger
        Logger of the node.
    on_change : callable
        Called without arguments after the version in force has changed.

    Attributes
    ----------
    revision : int
        Store revision up to which the version in force is known to be the
        newest; 0 if unknown.
    """

    def __init__(self, configuration_cache, publisher, log, on_change):
        self._configuration_cache = configuration_cache
        self._publisher = publisher
        self._log = log
        self._on_change = on_change
        self.revision = 0
        self._store_is_behind = False
        self._proofs_count_from = float('-inf')

    def handle_restored_store(self, now):
        """Accept no proof until the newest version must be stored again.

        Parameters
        ----------
        now : float
            When the store was found to be from an older copy (seconds, boot
            clock).
        """
        self.revision = 0
        self._proofs_count_from = now + REWRITE_TIME

    @property
    def version(self):
        """Version in force; 0 if there is none."""
        return self._configuration_cache.version

    def accept(self, configuration, revision, proved_at):
        """Put a configuration in force unless it is older or the same.

        Parameters
        ----------
        configuration : balsamwind.traffic.Configuration
            Configuration that was the newest in the store.
        revision : int
            Store revision at which it was.
        proved_at : float
            When the read of the store was sent (seconds, boot clock).
        """
        self._store_is_behind = configuration.version < self.version
        if self._store_is_behind:
            self._log.warning(
                'configuration_older',
                version=configuration.version,
                kept=self.version,
            )
            return
        if configuration.version == self.version:
            self.confirm(revision, proved_at)
            return
        if not self._proves(proved_at):
            # The last proof holds for this version too, as it is newer.
            proved_at = self._configuration_cache.proved_at
        self._put_in_force(configuration, revision, proved_at)

    def _put_in_force(self, configuration, revision, proved_at):
        previous = self._configuration_cache.configuration
        if not self._configuration_cache.accept(configuration, proved_at):
            return
        self.revision = max(self.revision, revision)
        self._log.info(
            'configuration_in_force',
            version=configuration.version,
            before=0 if previous is None else previous.version,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts or ()),
        )
        self._on_change()
        if proved_at > float('-inf'):
            self._publisher.publish_configuration(
                previous, configuration, revision, proved_at
            )

    def confirm(self, revision, proved_at):
        """Record a proof that the version in force is the newest.

        A store that holds an older version proves nothing.

        Parameters
        ----------
        revision : int
            Store revision at which it was.
        proved_at : float
            When the read of the store was sent, or a lower bound of it
            (seconds, boot clock).
        """
        if not self._store_is_behind and self._proves(proved_at):
            self.confirm_published(revision, proved_at)

    def confirm_published(self, revision, proved_at):
        """Record a proof of another node, which has judged its own read.

        Parameters
        ----------
        revision, proved_at
            As for `confirm`.
        """
        self.revision = max(self.revision, revision)
        self._configuration_cache.record_proof(proved_at)
        self._publisher.publish_proof(self.revision, proved_at)

    def _proves(self, proved_at):
        return proved_at >= self._proofs_count_from

    def apply(self, change, revision, proved_at):
        """Put a version in force that a publisher sent as a difference.

        Parameters
        ----------
        change : balsamwind.traffic.ConfigurationChange
            Difference to the version in force.
        revision, proved_at
            As for `accept`.

        Raises
        ------
        ValueError
            The change applies to another version.
        """
        base = (
            self._configuration_cache.configuration or traffic.NO_CONFIGURATION
        )
        self._put_in_force(
            traffic.apply_change(base, change), revision, proved_at
        )
