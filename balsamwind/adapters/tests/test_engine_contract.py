"""Contract tests of the engine port: reports, orders and faults."""

import asyncio
import json

import pytest

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from standins import engines

TIMEOUT = 0.3
"""Timeout of one call (seconds)."""

State = ports.EngineState


def make_order(kind='load', group='g', generation=1, fencing=5):
    return ports.Order(kind, group, generation, fencing, 'm', '1')


def run_check(check, check_fencing=True):
    """Await ``check(engine, vm)`` with a stand-in of one VM."""

    async def main():
        fleet = engines.Fleet(load_delay=0.0, check_fencing=check_fencing)
        client = adapters.HttpClient()
        vm = fleet.add('v')
        try:
            await check(adapters.HttpEngine(client), vm)
        finally:
            client.close()
            await vm.kill()

    asyncio.run(main())


async def wait_until(check):
    while not check():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    'orders, refused, check_fencing, group',
    [
        ([make_order()], [], True, ('g', 1)),
        ([make_order(), make_order()], [], True, ('g', 1)),
        ([make_order(), make_order(generation=2)], [], True, ('g', 2)),
        ([make_order(), make_order('unload')], [], True, ('', 0)),
        ([make_order(), make_order('unload', 'h')], [], True, ('g', 1)),
        ([make_order(), make_order('load', 'h')], [], True, ('h', 1)),
        (
            [make_order(), make_order('load', 'h', fencing=4)],
            [1],
            True,
            ('g', 1),
        ),
        (
            [make_order(), make_order('unload', fencing=4)],
            [1],
            True,
            ('g', 1),
        ),
        (
            [make_order(), make_order('load', 'h', fencing=4)],
            [],
            False,
            ('h', 1),
        ),
    ],
)
def test_report_shows_the_last_accepted_order(
    orders, refused, check_fencing, group
):
    """The report shows the last order that the engine accepted.

    An engine that checks fencing numbers refuses a stale order; one that
    does not check them executes it, which its report shows.
    """

    async def check(engine, vm):
        refused_indexes = []
        for index, order in enumerate(orders):
            try:
                await engine.order(vm.address, order, TIMEOUT)
            except exceptions.BackendRefused as error:
                assert error.run == exceptions.NOT_RUN
                assert error.reason == 'old_fencing'
                refused_indexes.append(index)
        assert refused_indexes == refused
        report = await engine.report(vm.address, TIMEOUT)
        assert (report.group, report.generation) == group

    run_check(check, check_fencing)


def test_loaded_engine_reports_its_model():
    async def check(engine, vm):
        await engine.order(vm.address, make_order(), TIMEOUT)
        await wait_until(lambda: vm.state is State.READY)
        report = await engine.report(vm.address, TIMEOUT)
        assert report.state is State.READY
        assert (report.model, report.version) == ('m', '1')
        assert report.fencing == 5
        assert report.cached == ('m@1',)

    run_check(check)


@pytest.mark.parametrize('call', ['report', 'order'])
@pytest.mark.parametrize('fault, sent', [('kill', False), ('stall', True)])
def test_unresponsive_engine_is_a_transport_error(call, fault, sent):
    async def check(engine, vm):
        if fault == 'kill':
            await vm.kill()
        vm.stalled = fault == 'stall'
        with pytest.raises(exceptions.TransportError) as caught:
            if call == 'report':
                await engine.report(vm.address, TIMEOUT)
            else:
                await engine.order(vm.address, make_order(), TIMEOUT)
        assert caught.value.sent is sent
        vm.stalled = False

    run_check(check)


@pytest.mark.parametrize(
    'fault, group, state',
    [('revive', 'g', State.READY), ('wipe', '', State.EMPTY)],
)
def test_restarted_engine_reports_its_state(fault, group, state):
    async def check(engine, vm):
        await engine.order(vm.address, make_order(), TIMEOUT)
        await wait_until(lambda: vm.state is State.READY)
        await vm.kill()
        getattr(vm, fault)()
        report = await engine.report(vm.address, TIMEOUT)
        assert (report.group, report.state) == (group, state)

    run_check(check)


MALFORMED_BODIES = [
    '',
    'x',
    '[]',
    '{"vm": "v"}',
    '{"vm": "v", "state": "odd"}',
    '{"vm": 5, "state": "ready"}',
    '{"vm": "v", "state": "ready", "generation": "1"}',
]


@pytest.mark.parametrize('status', [200, 500, 503])
@pytest.mark.parametrize('body', [*MALFORMED_BODIES, '{"not_run": true}'])
def test_malformed_response_is_an_error_of_the_port(status, body):
    """A malformed response raises no other error than the port documents.

    An order counts as not executed only if the response says so.
    """

    async def check(engine, vm):
        async def respond(reader, writer):
            request = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
            if 'content-length: ' in request:
                length = request.split('content-length: ')[1].split('\r')[0]
                await reader.readexactly(int(length))
            response = (
                f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n'
            )
            response += 'Connection: close\r\n'
            writer.write(f'{response}\r\n{body}'.encode())
            writer.close()

        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        address = f'127.0.0.1:{port}'
        port_errors = (exceptions.TransportError, exceptions.BackendRefused)
        with pytest.raises(port_errors):
            await engine.report(address, TIMEOUT)
        if status != 200:
            with pytest.raises(port_errors) as caught:
                await engine.order(address, make_order(), TIMEOUT)
            was_refused = isinstance(caught.value, exceptions.BackendRefused)
            assert was_refused is _says_not_run(body)
        server.close()

    run_check(check)


def _says_not_run(body):
    try:
        return bool(json.loads(body).get('not_run'))
    except (ValueError, AttributeError):
        return False


def _make_export(handle):
    value = objects.encode(ports.KvExport('h:1', handle, 'm', '1', 4, 9))
    body = json.dumps(value).encode()
    return b'HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


def test_export_of_another_request_was_taken_for_the_next():
    # The cache of another request was imported; engines write copies.
    exports = [_make_export('a'), _make_export('b')]

    async def respond(reader, writer):
        copy = b''
        while await reader.read(65536):
            export = exports.pop(0)
            writer.write(copy + export)
            copy = export

    async def check(engine, vm):
        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        address = '%s:%d' % server.sockets[0].getsockname()
        handles = [
            (await engine.export_kv(address, name, TIMEOUT)).handle
            for name in ('a', 'b')
        ]
        server.close()
        assert handles == ['a', 'b']

    run_check(check)
