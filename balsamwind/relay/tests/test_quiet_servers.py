"""Backend servers that ask for a pause get no requests until it is over."""

import asyncio
import contextlib
import dataclasses
import random

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node import _updates
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _quiet_servers
from balsamwind.relay.tests import forwarding
from balsamwind import traffic

SERVICE = traffic.Service(
    'llm', engine=traffic.EngineProfile((traffic.ModelProfile('m', 2),))
)
REQUIREMENTS = relay.RequestRequirements('m', 700, 150, 4.0)


def _make_record(name, born=1):
    return pool.ServerRecord(name, 'llm', 'x:1', 'z1', born=born)


def _make_backends(names=('a', 'b', 'c')):
    return [
        relay.Backend(('llm', name, 1), _make_record(name), 4, 'm')
        for name in names
    ]


class _Table:
    def __init__(self, backends):
        self.backends = backends

    def get_by_service(self, service):
        return self.backends


def _choose_here(backends, quiet, now):
    chosen = relay.choose_backend(
        backends,
        SERVICE.engine,
        REQUIREMENTS,
        'z1',
        (),
        now,
        random.Random(1),
        quiet,
    )
    return getattr(chosen, 'key', chosen)


def _choose_at_another_node(backends, quiet, now):
    """Let another node choose, with a clock of its own."""
    request = _updates.decode_frame(
        _updates.encode_frame(
            _updates.PlacementRequest(
                1, 'llm', REQUIREMENTS, (), quiet.list(now)
            )
        )
    )
    session = relay.PlacementSession(_Table(backends), 'z1', random.Random(1))
    other_now = now + 5000.0
    placed = session.place(
        1,
        SERVICE,
        request.requirements,
        (),
        other_now,
        relay.make_quiet_servers(request.quiet, other_now),
    )
    if isinstance(placed, relay.Placement):
        return dataclasses.astuple(placed.key)
    return placed


@pytest.mark.parametrize('choose', [_choose_here, _choose_at_another_node])
@pytest.mark.parametrize(
    ('pauses', 'now', 'expected'),
    [
        pytest.param({'a': 2.0, 'b': 3.0}, 11.0, {'c'}, id='two of three'),
        pytest.param({'a': 2.0, 'b': 3.0}, 12.5, {'a', 'c'}, id='one is over'),
        pytest.param({}, 11.0, {'a', 'b', 'c'}, id='none'),
        pytest.param({'a': 0.0}, 10.0, {'a', 'b', 'c'}, id='of no length'),
    ],
)
def test_quiet_servers_are_not_chosen(choose, pauses, now, expected):
    backends = _make_backends()
    quiet = relay.QuietServers()
    for name, pause in pauses.items():
        quiet.record(_make_record(name), pause, 10.0)
    chosen = set()
    for _ in range(12):
        key = choose(backends, quiet, now)
        chosen.add(key[1])
        backends[[b.key for b in backends].index(key)].in_flight += 1
    assert chosen == expected


@pytest.mark.parametrize('choose', [_choose_here, _choose_at_another_node])
def test_request_is_rejected_until_the_first_pause_is_over(choose):
    quiet = relay.QuietServers()
    for name, pause in (('a', 2.5), ('b', 1.5), ('c', 9.0)):
        quiet.record(_make_record(name), pause, 10.0)
    rejection = choose(_make_backends(), quiet, 10.5)
    assert isinstance(rejection, relay.NoBackendAvailable)
    assert rejection.retry_after == pytest.approx(1.0)


def test_absurd_pause_is_bounded():
    quiet = relay.QuietServers()
    record = _make_record('a')
    quiet.record(record, 1e12, 10.0)
    assert quiet.find_end(record, 10.0) == 10.0 + _quiet_servers.MAX_PAUSE


def test_shorter_pause_does_not_end_a_longer_one():
    quiet = relay.QuietServers()
    record = _make_record('a')
    quiet.record(record, 5.0, 10.0)
    quiet.record(record, 0.1, 10.5)
    assert quiet.find_end(record, 14.0) == 15.0


def test_server_that_started_again_wants_no_pause():
    quiet = relay.QuietServers()
    quiet.record(_make_record('a', born=1), 5.0, 10.0)
    assert quiet.find_end(_make_record('a', born=2), 11.0) is None


def test_list_for_another_node_is_bounded_and_names_the_longest():
    quiet = relay.QuietServers()
    for number in range(3 * _quiet_servers.MAX_LISTED):
        quiet.record(_make_record(f'e{number}'), 1.0 + number, 10.0)
    listed = quiet.list(10.0)
    assert len(listed) == _quiet_servers.MAX_LISTED
    assert min(item.time_left for item in listed) > _quiet_servers.MAX_LISTED


REJECTION = (
    b'HTTP/1.1 503 X\r\nX-Balsamwind-Not-Executed: 1\r\n'
    b'Retry-After: %s\r\nContent-Length: 0\r\n\r\n'
)


@contextlib.asynccontextmanager
async def _open_engine(arrivals, name, response):
    async def handle(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\nhi')
                arrivals.append(name)
                writer.write(response)

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    async with server:
        yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'


def _make_answer():
    body = forwarding.make_event(0)
    head = forwarding.make_head(framing=f'Content-Length: {len(body)}\r\n')
    return head + body


def _send(responses, count, pause=0.0):
    """Send requests to engines that answer each in their own way."""

    async def scenario():
        arrivals, errors = [], []
        async with contextlib.AsyncExitStack() as stack:
            addresses = [
                await stack.enter_async_context(
                    _open_engine(arrivals, name, response)
                )
                for name, response in responses.items()
            ]
            client = adapters.HttpClient()
            stack.callback(client.close)
            fake_relay = forwarding.FakeRelay(
                addresses, client, forwarding.Clock()
            )
            for _ in range(count):
                errors.append(await forwarding.send_one(fake_relay))
                await asyncio.sleep(pause)
            ejected = [
                backend.is_ejected(fake_relay.clock.monotonic())
                for backend in fake_relay.get_by_service('llm')
            ]
        return arrivals, errors, ejected

    return asyncio.run(scenario())


def test_engine_that_asks_for_quiet_gets_no_request_before_it_is_over():
    responses = {'a': REJECTION % b'5', 'b': _make_answer()}
    arrivals, errors, ejected = _send(responses, 6)
    assert errors == [None] * 6
    assert arrivals.count('a') == 1
    assert ejected == [False, False]


def test_requests_reach_the_engine_again_afterwards():
    arrivals, errors, _ = _send({'a': REJECTION % b'0.05'}, 2, pause=0.1)
    assert arrivals == ['a', 'a']


def test_request_is_rejected_at_once_while_all_engines_want_quiet():
    responses = {'a': REJECTION % b'5', 'b': REJECTION % b'2.5'}
    arrivals, errors, _ = _send(responses, 4)
    assert sorted(arrivals) == ['a', 'b']
    for error in errors[1:]:
        assert error.run == exceptions.NOT_RUN
        assert 1.0 < error.retry_after <= 2.5
