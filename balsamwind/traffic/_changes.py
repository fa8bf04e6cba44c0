"""Differences between two versions of the configuration."""

import dataclasses

from balsamwind.traffic import _objects

NO_CONFIGURATION = _objects.Configuration(0, (), ())
"""Base of a change that contains a whole configuration."""


@dataclasses.dataclass(slots=True, frozen=True)
class RouteKey:
    """Host and path prefix that identify a route.

    Parameters
    ----------
    host : str
        Host in lower case, without a port.
    prefix : str
        Path prefix; begins and ends with a slash.
    """

    host: str
    prefix: str


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """What turns one version of the configuration into a newer one.

    Only routes are listed as differences: there can be thousands of them,
    and few of anything else.

    Parameters
    ----------
    base_version : int
        Version that the change applies to.
    version : int
        Version that results.
    routes : tuple of Route
        Routes that are new or differ.
    removed : tuple of RouteKey
        Routes that are gone.
    services : tuple of Service
        All services of the new version.
    limits : RequestLimits
        Limits of the new version.
    accounts : tuple of ClientAccount or None
        All client accounts of the new version.
    with_regions : bool
        Whether the allowed regions of routes and accounts are included. Nodes
        of builds that don't know them leave them out, and a change without
        them must not be applied.
    """

    base_version: int
    version: int
    routes: tuple[_objects.Route, ...]
    removed: tuple[RouteKey, ...]
    services: tuple[_objects.Service, ...]
    limits: _objects.RequestLimits
    accounts: tuple[_objects.ClientAccount, ...] | None
    with_regions: bool = False


def plan_change(base, configuration):
    """Find the difference between two versions.

    Parameters
    ----------
    base : Configuration
        Older version.
    configuration : Configuration
        Newer version.

    Returns
    -------
    ConfigurationChange or None
        None if a version has two routes of the same host and prefix: the
        order of its routes matters then, and a difference does not show it.
    """
    old_routes = _index_routes(base)
    new_routes = _index_routes(configuration)
    if old_routes is None or new_routes is None:
        return None
    return ConfigurationChange(
        base_version=base.version,
        version=configuration.version,
        routes=tuple(
            route
            for key, route in new_routes.items()
            if old_routes.get(key) != route
        ),
        removed=tuple(key for key in old_routes if key not in new_routes),
        services=configuration.services,
        limits=configuration.limits,
        accounts=configuration.accounts,
        with_regions=True,
    )


def apply_change(base, change):
    """Make the newer version from the older one.

    Parameters
    ----------
    base : Configuration
        Version `change.base_version`.
    change : ConfigurationChange
        Difference to the newer version.

    Returns
    -------
    Configuration
        Its routes may be in another order than where the change was planned.

    Raises
    ------
    ValueError
        The change applies to another version.
    """
    if change.base_version != base.version:
        raise ValueError(
            f'got version {base.version}, the change applies to'
            f' {change.base_version}'
        )
    routes = {_make_key(route): route for route in base.routes}
    for key in change.removed:
        routes.pop(key, None)
    for route in change.routes:
        routes[_make_key(route)] = route
    return _objects.Configuration(
        version=change.version,
        routes=tuple(routes.values()),
        services=change.services,
        limits=change.limits,
        accounts=change.accounts,
    )


def _make_key(route):
    return RouteKey(route.host, route.prefix)


def _index_routes(configuration):
    routes = {_make_key(route): route for route in configuration.routes}
    return routes if len(routes) == len(configuration.routes) else None
