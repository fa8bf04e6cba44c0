"""Configuration in force, and how long keys are honoured."""

import pytest

from balsamwind import exceptions
from balsamwind import traffic


def _route(name, host, prefix, public=False):
    return traffic.Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=traffic.RequestKind.IDEMPOTENT,
        timeout=1.0,
        objective=0.1,
        priority=1,
        targets=(traffic.Target('svc'),),
        public=public,
    )


def _configuration(version, keys=('k1',)):
    return traffic.Configuration(
        version=version,
        routes=(
            _route('root', 'a.example', '/'),
            _route('deep', 'a.example', '/x/y/'),
            _route('open', 'b.example', '/', public=True),
        ),
        services=(traffic.Service('svc'),),
        accounts=(traffic.ClientAccount('acme', keys),),
    )


@pytest.fixture
def book():
    """A book with one configuration, proved at 0."""
    made = traffic.ConfigurationBook(4.0)
    made.accept(_configuration(5), 0.0)
    return made


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a.example', '/x/y/z', 'deep'),
        ('A.example:80', '/x/y/', 'deep'),
        ('a.example', '/x/y', 'root'),
        ('a.example', '/x/yy/z', 'root'),
        ('b.example', '/anything', 'open'),
    ],
)
def test_longest_prefix(book, host, path, name):
    assert book.find_route(host, path).name == name


@pytest.mark.parametrize('host', ['c.example', ''])
def test_no_route(book, host):
    with pytest.raises(exceptions.NoSuchPath):
        book.find_route(host, '/x/')


def test_nothing_known_is_not_a_missing_route():
    book = traffic.ConfigurationBook(4.0)
    with pytest.raises(exceptions.NotConfigured):
        book.find_route('a.example', '/')
    assert not book.is_current(0.0)


@pytest.mark.parametrize(
    ('versions', 'in_force'),
    [((6,), 6), ((4,), 5), ((6, 5), 6), ((5,), 5)],
)
def test_version_never_falls(book, versions, in_force):
    for version in versions:
        book.accept(_configuration(version), 1.0)
    assert book.version == in_force


def test_an_older_version_proves_nothing(book):
    book.accept(_configuration(4), 9.0)
    assert book.age(10.0) == 10.0


@pytest.mark.parametrize(
    ('now', 'key', 'error'),
    [
        (3.0, 'k1', None),
        (3.0, 'k2', exceptions.BadKey),
        (4.5, 'k1', exceptions.KeysUnproved),
        (4.5, 'k2', exceptions.KeysUnproved),
    ],
)
def test_keys(book, now, key, error):
    route = book.find_route('a.example', '/')
    if error is None:
        assert book.authenticate(route, key, now).name == 'acme'
    else:
        with pytest.raises(error):
            book.authenticate(route, key, now)


def test_public_routes_need_no_proof(book):
    route = book.find_route('b.example', '/')
    assert book.authenticate(route, '', 100.0) is None


def test_proof_counts_from_when_the_read_was_sent(book):
    book.confirm(2.0)
    assert book.is_current(5.9)
    assert not book.is_current(6.1)


def test_removed_key(book):
    book.accept(_configuration(6, ('k2',)), 1.0)
    route = book.find_route('a.example', '/')
    with pytest.raises(exceptions.BadKey):
        book.authenticate(route, 'k1', 1.0)
