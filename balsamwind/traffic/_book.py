"""Configuration in force at one node, and the proof of its age."""

from balsamwind import exceptions
from balsamwind.traffic import _index

NEVER = float('-inf')
"""Time of a proof that was never given (seconds)."""


class ConfigurationBook:
    """Keeps the newest configuration; its version never falls.

    Parameters
    ----------
    key_lifetime : float or None
        How long a key is honoured without proof that the configuration is
        the newest (seconds); None for ever.
    """

    __slots__ = ('_accounts', '_index', '_proved_at', 'key_lifetime')

    def __init__(self, key_lifetime):
        self.key_lifetime = key_lifetime
        self._index = None
        self._accounts = {}
        self._proved_at = NEVER

    @property
    def configuration(self):
        """Configuration in force; None before the first."""
        return None if self._index is None else self._index.configuration

    @property
    def version(self):
        """Version in force; 0 before the first."""
        return 0 if self._index is None else self.configuration.version

    def accept(self, configuration, sent_at):
        """Take a configuration that was read as the newest.

        Parameters
        ----------
        configuration : Configuration
            What was read.
        sent_at : float
            When the read was sent (seconds, boot time).

        Returns
        -------
        bool
            Whether the version in force has changed.
        """
        if configuration.version < self.version:
            return False
        self._proved_at = max(self._proved_at, sent_at)
        if configuration.version == self.version:
            return False
        self._index = _index.RouteIndex(configuration)
        self._accounts = {
            key: account
            for account in configuration.accounts or ()
            for key in account.keys
        }
        return True

    def confirm(self, sent_at):
        """Note that the version in force was the newest at `sent_at`."""
        self._proved_at = max(self._proved_at, sent_at)

    def age(self, now):
        """Time since the last proof (seconds)."""
        return now - self._proved_at

    def is_current(self, now):
        """Whether keys may be honoured at `now`."""
        if self._index is None:
            return False
        return self.key_lifetime is None or (
            self.age(now) <= self.key_lifetime
        )

    def find_route(self, host, path):
        """Route of a request.

        Raises
        ------
        balsamwind.exceptions.NotConfigured
            No configuration is known yet.
        balsamwind.exceptions.NoSuchPath
            No route matches.
        """
        if self._index is None:
            raise exceptions.NotConfigured('no configuration is known yet')
        route = self._index.find(host, path)
        if route is None:
            raise exceptions.NoSuchPath(f'{host}{path}: no route matches')
        return route

    def find_service(self, name):
        """Service named `name`, or None."""
        return None if self._index is None else self._index.services.get(name)

    def authenticate(self, route, key, now):
        """Client account of a key; None where no key is asked for.

        Raises
        ------
        balsamwind.exceptions.KeysUnproved
            The configuration may no longer be the newest.
        balsamwind.exceptions.BadKey
            No client account holds the key.
        """
        if self.configuration.accounts is None:
            return None
        account = self._accounts.get(key)
        if route.public:
            return account
        if not self.is_current(now):
            raise exceptions.KeysUnproved(
                f'configuration last proved {self.age(now):.1f} s ago'
            )
        if account is None:
            raise exceptions.BadKey('no client account holds the key')
        return account
