"""Index of routes by host and path prefix."""


class RouteIndex:
    """Finds the route with the longest prefix.

    Parameters
    ----------
    configuration : Configuration
        Whose routes to index.
    """

    __slots__ = ('_hosts', 'configuration', 'services')

    def __init__(self, configuration):
        self.configuration = configuration
        self.services = {item.name: item for item in configuration.services}
        self._hosts = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host, path):
        """Route of a host (any case, port allowed) and path, or None."""
        prefixes = self._hosts.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
