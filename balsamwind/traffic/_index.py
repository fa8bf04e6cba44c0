"""Lookup of routes by host and path prefix."""


class RouteIndex:
    """Index of the routes and services of one configuration.

    Parameters
    ----------
    configuration : Configuration
        Configuration to index.

    Attributes
    ----------
    services : dict of str to Service
        Services by name.
    ranked_services : frozenset of str
        Names of the services of model engines whose requests differ in rank.
    """

    __slots__ = (
        '_routes_by_host',
        'configuration',
        'ranked_services',
        'services',
    )

    def __init__(self, configuration):
        self.configuration = configuration
        self.services = {
            service.name: service for service in configuration.services
        }
        self.ranked_services = _find_ranked_services(configuration)
        self._routes_by_host = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = (
                route
            )

    def find(self, host, path):
        """Find the route with the longest prefix of a path.

        A prefix ends with a slash and matches whole path segments only:
        ``/x/y/`` matches ``/x/y/z``, but neither ``/x/y`` nor ``/x/yy/z``.

        Parameters
        ----------
        host : str
            Host of the request, in any case and with or without a port.
        path : str
            Path of the request.

        Returns
        -------
        Route or None
            None if no route matches.
        """
        routes_by_prefix = self._routes_by_host.get(
            host.partition(':')[0].lower()
        )
        if routes_by_prefix is None:
            return None
        slash = path.rfind('/')
        while slash >= 0:
            route = routes_by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind('/', 0, slash)
        return None


def _find_ranked_services(configuration):
    """Find the services whose requests differ in rank, by name."""
    with_engines = {
        service.name
        for service in configuration.services
        if service.engine is not None
    }
    if any(
        account.rank is not None for account in configuration.accounts or ()
    ):
        return frozenset(with_engines)
    priorities = {}
    for route in configuration.routes:
        for target in route.targets:
            priorities.setdefault(target.service, set()).add(route.priority)
    return frozenset(
        name for name in with_engines if len(priorities.get(name, ())) > 1
    )
