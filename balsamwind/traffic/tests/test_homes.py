"""Tests of the data centres in which requests may run."""

import dataclasses

import pytest

from balsamwind import objects
from balsamwind import traffic

REGIONS = {'z1': 'north', 'z2': 'north', 'z3': 'south'}

ROUTE = traffic.Route(
    'ask',
    'a.example',
    '/ask/',
    traffic.RequestKind.STREAM,
    4.0,
    0.3,
    1,
    (traffic.Target('llm'),),
)

ACCOUNT = traffic.ClientAccount('acme', ('k1',))


def make_route(*regions, **fields):
    """Make a route that is restricted to regions."""
    return dataclasses.replace(ROUTE, allowed_regions=regions, **fields)


def make_account(*regions):
    """Make a client account that is restricted to regions."""
    return dataclasses.replace(ACCOUNT, allowed_regions=regions)


@pytest.mark.parametrize(
    ('route', 'account', 'data_centres'),
    [
        pytest.param(make_route(), None, None, id='public route'),
        pytest.param(make_route(), make_account(), None, id='no lists'),
        pytest.param(make_route('north'), None, ('z1', 'z2'), id='route'),
        pytest.param(
            make_route(), make_account('south'), ('z3',), id='account'
        ),
        pytest.param(
            make_route('north', 'south'),
            make_account('south'),
            ('z3',),
            id='intersection',
        ),
        pytest.param(
            make_route('north'), make_account('south'), (), id='no common'
        ),
        pytest.param(make_route('east'), None, (), id='unknown region'),
        pytest.param(
            make_route(*traffic.NO_REGIONS), None, (), id='unreadable list'
        ),
        pytest.param(
            make_route('north'),
            make_account(*traffic.NO_REGIONS),
            (),
            id='unreadable list of the account',
        ),
    ],
)
def test_data_centres_of_a_request(route, account, data_centres):
    # An empty result must not be taken for a request without restrictions.
    homes = traffic.Homes(REGIONS)
    for _ in range(2):
        assert homes.find(route, account) == data_centres


def test_restricted_request_runs_nowhere_without_known_regions():
    homes = traffic.Homes({})
    assert homes.find(make_route('north'), None) == ()
    assert homes.find(ROUTE, None) is None


def _make_configuration(routes, accounts=(), version=1):
    return traffic.Configuration(
        version, tuple(routes), (), accounts=tuple(accounts)
    )


@pytest.mark.parametrize(
    ('routes', 'accounts', 'pairs'),
    [
        pytest.param([ROUTE], [ACCOUNT], [], id='no lists'),
        pytest.param(
            [make_route('north')], [make_account('north')], [], id='common'
        ),
        pytest.param(
            [make_route('north'), make_route('south', name='b')],
            [make_account('south')],
            [('ask', 'acme')],
            id='one route',
        ),
        pytest.param(
            [make_route('east')],
            [make_account('north')],
            [('ask', '')],
            id='route alone',
        ),
        pytest.param(
            [make_route('north', public=True)],
            [make_account('south')],
            [],
            id='public routes have no account',
        ),
    ],
)
def test_routes_and_accounts_without_a_home_are_found(routes, accounts, pairs):
    # Their requests are all rejected, which an operator must learn of.
    configuration = _make_configuration(routes, accounts)
    assert traffic.Homes(REGIONS).find_without_home(configuration) == pairs


def test_findings_are_few_for_many_routes():
    routes = [make_route('east', name=f'r{number}') for number in range(5000)]
    pairs = traffic.Homes(REGIONS).find_without_home(
        _make_configuration(routes)
    )
    assert len(pairs) == 20


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        pytest.param(make_route(), make_route('north'), id='added'),
        pytest.param(make_route('north'), make_route('south'), id='changed'),
        pytest.param(make_route('north'), make_route(), id='removed'),
    ],
)
def test_regions_are_part_of_a_change(before, after):
    # A difference that left them out would let requests run anywhere.
    base = _make_configuration([before], [make_account('north')])
    newer = _make_configuration([after], [make_account('south')], 2)
    change = traffic.plan_change(base, newer)
    sent = objects.encode(change)
    received = objects.decode(traffic.ConfigurationChange, sent)
    assert received.with_regions
    assert traffic.apply_change(base, received) == newer


def test_change_of_an_older_build_is_recognised():
    # It lacks the regions, and nothing else shows that.
    newer = _make_configuration([make_route('north')])
    change = traffic.plan_change(traffic.NO_CONFIGURATION, newer)
    sent = objects.encode(change)
    del sent['with_regions'], sent['routes'][0]['allowed_regions']
    received = objects.decode(traffic.ConfigurationChange, sent)
    assert not received.with_regions
