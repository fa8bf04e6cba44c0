"""Differences between versions of the configuration."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from balsamwind import objects
from balsamwind import traffic


def _make_route(number, timeout=1.0):
    return traffic.Route(
        f'r{number}',
        f'h{number % 3}.example',
        f'/p{number}/',
        traffic.RequestKind.IDEMPOTENT,
        timeout,
        0.3,
        0,
        (traffic.Target('app'),),
    )


def _make_configuration(version, timeouts):
    """Make a configuration with a route for each number in `timeouts`."""
    routes = [_make_route(*item) for item in timeouts.items()]
    return traffic.Configuration(version, tuple(routes), ())


ROUTES = st.dictionaries(
    st.integers(0, 30), st.sampled_from([1.0, 2.0]), max_size=20
)


@hypothesis.given(ROUTES, ROUTES)
@hypothesis.settings(derandomize=True)
def test_change_leads_from_one_version_to_the_other(old, new):
    base = _make_configuration(3, old)
    newer = _make_configuration(9, new)
    change = traffic.plan_change(base, newer)
    sent = objects.decode(traffic.ConfigurationChange, objects.encode(change))
    result = traffic.apply_change(base, sent)
    assert set(result.routes) == set(newer.routes)
    assert dataclasses.replace(result, routes=()) == dataclasses.replace(
        newer, routes=()
    )


def test_change_lists_only_what_differs():
    base = _make_configuration(3, {1: 1.0, 2: 1.0, 3: 1.0})
    newer = _make_configuration(4, {2: 1.0, 3: 2.0, 4: 1.0})
    change = traffic.plan_change(base, newer)
    assert {route.name for route in change.routes} == {'r3', 'r4'}
    assert change.removed == (traffic.RouteKey('h1.example', '/p1/'),)


def test_change_of_another_version_is_not_applied():
    base = _make_configuration(3, {1: 1.0})
    change = traffic.plan_change(base, _make_configuration(4, {}))
    with pytest.raises(ValueError, match='got version 5'):
        traffic.apply_change(_make_configuration(5, {}), change)


def test_two_routes_of_one_prefix_are_not_sent_as_a_change():
    base = _make_configuration(3, {1: 1.0})
    twice = dataclasses.replace(base, version=4, routes=base.routes * 2)
    assert traffic.plan_change(base, twice) is None
