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
    """

    __slots__ = ('_routes_by_host', 'configuration', 'services')

    def __init__(self, configuration):
        self.configuration = configuration
        self.services = {
            service.name: service for service in configuration.services
        }
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
