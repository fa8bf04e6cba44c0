"""Newest configuration known to a node, and when it was last proved current.

A proof is an answer that shows that the configuration in force is the newest
one in the store. It holds for the time at which the read of the store was
sent, since the store may have changed before the answer arrived.
"""

from balsamwind import exceptions
from balsamwind.traffic import _index

NEVER_PROVED = float('-inf')
"""Time of the last proof before there is any (seconds)."""


class ConfigurationCache:
    """Caches the newest configuration that this node has received.

    The version in force never decreases: an older configuration is ignored.

    Parameters
    ----------
    max_proof_age : float or None
        Longest time after the last proof for which API keys are accepted
        (seconds); None for no limit.
    """

    __slots__ = (
        '_accounts_by_key',
        '_proved_at',
        '_route_index',
        'max_proof_age',
    )

    def __init__(self, max_proof_age):
        self.max_proof_age = max_proof_age
        self._route_index = None
        self._accounts_by_key = {}
        self._proved_at = NEVER_PROVED

    @property
    def proved_at(self):
        """When the last proof was requested (boot time, seconds)."""
        return self._proved_at

    @property
    def configuration(self):
        """Configuration in force; None until the first is accepted."""
        return (
            None
            if self._route_index is None
            else self._route_index.configuration
        )

    @property
    def version(self):
        """Version in force; 0 until the first is accepted."""
        return 0 if self._route_index is None else self.configuration.version

    def accept(self, configuration, sent_at):
        """Put a configuration in force unless it is older or the same.

        An older configuration does not count as a proof.

        Parameters
        ----------
        configuration : Configuration
            Configuration that the store returned as its newest.
        sent_at : float
            Boot time at which the read of the store was sent (seconds).

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
        self._route_index = _index.RouteIndex(configuration)
        self._accounts_by_key = {
            key: account
            for account in configuration.accounts or ()
            for key in account.keys
        }
        return True

    def record_proof(self, sent_at):
        """Record a proof that the version in force is the newest.

        Parameters
        ----------
        sent_at : float
            Boot time at which the read of the store was sent (seconds); a
            lower bound of it if another node passed the proof on.
        """
        self._proved_at = max(self._proved_at, sent_at)

    def get_proof_age(self, now):
        """Compute the time since the last proof.

        Parameters
        ----------
        now : float
            Boot time (seconds).

        Returns
        -------
        float
            Time since the last proof (seconds); infinite if there is none.
        """
        return now - self._proved_at

    def is_current(self, now):
        """Check whether the configuration is recent enough to accept keys.

        Parameters
        ----------
        now : float
            Boot time (seconds).

        Returns
        -------
        bool
            False if there is no configuration, or if the last proof is older
            than `max_proof_age`.
        """
        if self._route_index is None:
            return False
        return self.max_proof_age is None or (
            self.get_proof_age(now) <= self.max_proof_age
        )

    def find_route(self, host, path):
        """Find the route of a request.

        Parameters
        ----------
        host : str
            Host of the request, in any case and with or without a port.
        path : str
            Path of the request.

        Returns
        -------
        Route
            Route of the host with the longest matching path prefix.

        Raises
        ------
        balsamwind.exceptions.NotConfigured
            No configuration has been received yet.
        balsamwind.exceptions.NoSuchPath
            No route matches the host and path.
        """
        if self._route_index is None:
            raise exceptions.NotConfigured(
                'no configuration has been received yet'
            )
        route = self._route_index.find(host, path)
        if route is None:
            raise exceptions.NoSuchPath(f'no route matches {host}{path}')
        return route

    def find_service(self, name):
        """Find a service by its name.

        Parameters
        ----------
        name : str
            Name of the service.

        Returns
        -------
        Service or None
            None if there is no such service, or no configuration.
        """
        return (
            None
            if self._route_index is None
            else self._route_index.services.get(name)
        )

    def has_ranks(self, service):
        """Tell whether the requests to a service differ in rank.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            True if it has model engines, and its routes differ in priority or
            a client account has one.
        """
        return (
            self._route_index is not None
            and service in self._route_index.ranked_services
        )

    def authenticate(self, route, key, now):
        """Find the client account that an API key belongs to.

        On a route that requires a key, all keys are rejected while the
        configuration is not current, because keys may have been revoked or
        added since the last proof.

        Parameters
        ----------
        route : Route
            Route of the request.
        key : str
            API key of the request; empty if the request has none.
        now : float
            Boot time (seconds).

        Returns
        -------
        ClientAccount or None
            None if the configuration has no client accounts, or if the route
            is public and the key unknown.

        Raises
        ------
        balsamwind.exceptions.KeysUnproved
            The route requires a key, and the last proof is older than
            `max_proof_age`.
        balsamwind.exceptions.InvalidApiKey
            The route requires a key, and no client account has this one.
        """
        if self.configuration.accounts is None:
            return None
        account = self._accounts_by_key.get(key)
        if route.public:
            return account
        if not self.is_current(now):
            raise exceptions.KeysUnproved(
                f'configuration last proved {self.get_proof_age(now):.1f} s'
                ' ago; API keys are rejected until it is proved again'
            )
        if account is None:
            raise exceptions.InvalidApiKey(
                'no client account has this API key'
            )
        return account
