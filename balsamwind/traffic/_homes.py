"""Homes of requests: the data centres in which they may run.

A route and a client account may each list the regions that serve their
requests. If both have a list, both apply.
"""

NO_REGIONS = ('',)
"""Stands for a list that can't be read: no data centre has this region, so
that such requests run nowhere instead of everywhere."""

MAX_HOMELESS_PAIRS = 20
"""Routes and accounts without a common region that are reported (count)."""


def find_regions(route_regions, account_regions):
    """Find the regions in which a request may run.

    Parameters
    ----------
    route_regions, account_regions : tuple of str
        Regions of the route and of the client account; empty for all.

    Returns
    -------
    frozenset of str or None
        None for all regions.
    """
    if not route_regions and not account_regions:
        return None
    if not route_regions or not account_regions:
        return frozenset(route_regions or account_regions)
    return frozenset(route_regions) & frozenset(account_regions)


class Homes:
    """Data centres in which the requests of routes and accounts may run.

    Parameters
    ----------
    regions : dict of str to str
        Region of each data centre.
    """

    __slots__ = ('_found', '_regions')

    def __init__(self, regions):
        self._regions = dict(regions)
        self._found = {}

    def clear(self):
        """Forget what was found for earlier versions of the configuration."""
        self._found.clear()

    def find(self, route, account):
        """Find the data centres in which a request may run.

        Parameters
        ----------
        route : Route
            Route of the request.
        account : ClientAccount or None
            Client account; None if the route requires no API key.

        Returns
        -------
        tuple of str or None
            The data centres, sorted; None for all.
        """
        route_regions = route.allowed_regions
        account_regions = () if account is None else account.allowed_regions
        if not route_regions and not account_regions:
            return None
        return self._find_by_lists(route_regions, account_regions)

    def _find_by_lists(self, route_regions, account_regions):
        key = (route_regions, account_regions)
        found = self._found.get(key)
        if found is None:
            found = self._found[key] = self._find_data_centres(
                find_regions(route_regions, account_regions)
            )
        return found

    def _find_data_centres(self, allowed):
        if allowed is None:
            return None
        return tuple(
            sorted(
                data_centre
                for data_centre, region in self._regions.items()
                if region in allowed
            )
        )

    def find_without_home(self, configuration):
        """Find the routes and accounts whose requests can run nowhere.

        Parameters
        ----------
        configuration : Configuration
            A configuration.

        Returns
        -------
        list of (str, str)
            Names of the route and of the account, of `MAX_HOMELESS_PAIRS` at
            most; the account is empty if the route alone has no home.
        """
        restricted = [
            account
            for account in configuration.accounts or ()
            if account.allowed_regions
        ]
        if not self._has_any_without_home(configuration.routes, restricted):
            return []
        pairs = []
        for route in configuration.routes:
            if self.find(route, None) == ():
                pairs.append((route.name, ''))
            elif not route.public:
                pairs += [
                    (route.name, account.name)
                    for account in restricted
                    if self.find(route, account) == ()
                ]
            if len(pairs) >= MAX_HOMELESS_PAIRS:
                break
        return pairs[:MAX_HOMELESS_PAIRS]

    def _has_any_without_home(self, routes, restricted):
        """Compare each list of a route with each one of an account once.

        There are thousands of routes, but few different lists.
        """
        route_lists = {route.allowed_regions for route in routes}
        account_lists = {account.allowed_regions for account in restricted}
        return any(
            self._find_by_lists(of_route, of_account) == ()
            for of_route in route_lists
            for of_account in (*account_lists, ())
        )
