"""Requests go on to a server whose entry was removed, without an end.

The path of one node to the store fails for 3 s, is back for a moment, and
fails again for half a second. A server leaves in that half second: its entry
is removed, and it serves on for a while, as the pages allow.
"""

import asyncio
import os
import pathlib
import random
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path[:0] = [str(HERE.parent / 'shared-3'), str(ROOT)]

import client as client_module  # noqa: E402
import fleet as fleet_module  # noqa: E402
import plain_server  # noqa: E402
from standins.pool import _store  # noqa: E402
from standins import ports  # noqa: E402
from standins import proxy as proxy_module  # noqa: E402
from tornado import httpserver  # noqa: E402
from tornado import web  # noqa: E402

ZONE = 'z1'
HOST = 'review.example'
SERVERS = 5
"""Servers at the start (count)."""

ROUNDS = 6
"""Servers that leave, one after the other (count)."""

FIRST_CUT = 3.0
"""Time for which the store turns the node away (seconds)."""

PAUSE = 1.8
"""Time until it does so again (seconds)."""

SECOND_CUT = 0.45
"""Time for which it does so then (seconds)."""

REST = 5.5
"""Time until the next round (seconds)."""

DRAIN_BOUND = 2.0
"""``DrainMs`` (seconds)."""

EXIT_AFTER = 6.0
"""Time for which a server serves on after its entry was removed (seconds)."""

HELD, NOT_RUN, BROKEN = 0, 2, 3
"""Exit codes; ``run.sh`` makes 1 of the last one and 2 of all others."""

CALLERS_PER_NODE = 6
BUDGET = 4.0

CONFIGURATION = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'pay',
            'Host': HOST,
            'PathPrefix': '/pay/',
            'Kind': 'non_idempotent',
            'TimeoutMs': 4000,
            'SloMs': 400,
            'Service': 'ledger',
            'MaxAttempts': 1,
        }
    ],
    'Services': [{'Name': 'ledger', 'MaxConns': 96}],
    'Limits': {'IdleTimeoutMs': 10000, 'HeaderTimeoutMs': 2000},
}


def _serve_store(store, port):
    options = {'store': store}
    application = web.Application(
        [
            (r'/v1/objects/([^/]+)', _store.StoreHandler, options),
            (r'/v1/objects/([^/]+)/([^/]+)', _store.StoreHandler, options),
        ],
        log_function=lambda handler: None,
    )
    httpserver.HTTPServer(application).listen(port, '127.0.0.1')


class Case:
    """Everything that the script starts, and what it records."""

    def __init__(self, has_trouble, folder):
        self._has_trouble = has_trouble
        self._began_at = time.monotonic()
        self._lines = []
        self._runs = []
        self._sent = {}
        self._is_stopping = False
        self._store = _store.Store()
        self._store.era = 0
        hosts = fleet_module.find_network(4)
        found = ports.find_free_ports(1 + len(hosts) + SERVERS + ROUNDS)
        store_port = found.pop()
        _serve_store(self._store, store_port)
        self._store.put('config', 'main', CONFIGURATION)
        self._proxies = [
            proxy_module.FaultProxy(found.pop(), f'127.0.0.1:{store_port}')
            for _ in hosts
        ]
        self._server_ports = found
        self._servers = [self._start_server() for _ in range(SERVERS)]
        self.nodes = [
            fleet_module.Node(
                f'front-{ZONE}-{number}', ZONE, host, proxy.address, folder
            )
            for number, (host, proxy) in enumerate(
                zip(hosts, self._proxies, strict=True), 1
            )
        ]

    def _start_server(self):
        port = self._server_ports.pop()
        return plain_server.PlainServer(
            self._store, f's{port}', 'ledger', ZONE, port, self._runs
        )

    def note(self, text):
        """Put a line on record."""
        now = time.monotonic() - self._began_at
        self._lines.append(f'{now:8.3f} {text}')

    async def run(self):
        """Run the case; its exit code."""
        for proxy in self._proxies:
            await proxy.start()
        # The last node leads, as it may after restarts of the others.
        *others, last = self.nodes
        last.start()
        if not await last.wait_until_ready(15.0):
            self.note(f'{last.name} is not ready')
            return NOT_RUN
        await asyncio.sleep(3.0)
        for node in others:
            node.start()
        for node in others:
            if not await node.wait_until_ready(15.0):
                self.note(f'{node.name} is not ready')
                return NOT_RUN
        await asyncio.sleep(3.0)
        # Callers come to two nodes that nothing happens to.
        callers = [
            asyncio.ensure_future(self._call(node))
            for node in self.nodes[1:3]
            for _ in range(CALLERS_PER_NODE)
        ]
        leaving = []
        for _ in range(ROUNDS):
            leaving.append(asyncio.ensure_future(await self._play_round()))
        await asyncio.gather(*leaving)
        self._is_stopping = True
        await asyncio.gather(*callers)
        return self._judge()

    async def _play_round(self):
        """Play one round; the coroutine that ends the server that left."""
        self._servers.append(self._start_server())
        await self._cut(FIRST_CUT)
        await asyncio.sleep(PAUSE)
        cut = asyncio.ensure_future(self._cut(SECOND_CUT))
        await asyncio.sleep(SECOND_CUT / 2)
        server = self._servers.pop(0)
        server.remove_entry()
        self.note(f'the entry of {server.server_id} is removed')
        await cut
        await asyncio.sleep(REST)
        return server.leave(EXIT_AFTER)

    async def _cut(self, seconds):
        """Let the store turn one node away, by resets."""
        proxy = self._proxies[0]
        if self._has_trouble:
            self.note(f'the store turns {self.nodes[0].name} away')
            proxy.faults.refuse = True
            proxy.reset()
        await asyncio.sleep(seconds)
        if self._has_trouble:
            proxy.faults.refuse = False
            self.note(f'the store serves {self.nodes[0].name} again')

    async def _call(self, node):
        caller = client_module.Client(node.host, fleet_module.FRONT_PORT)
        while not self._is_stopping:
            sent_at = time.monotonic()
            request_id, status = await caller.request('/pay/x', HOST, BUDGET)
            self._sent[request_id] = (node.name, sent_at, status)
            await asyncio.sleep(random.uniform(0.0, 0.05))
        caller.close()

    def _judge(self):
        late, lost = [], []
        for arrived_at, server, request_id, ended_at in self._runs:
            name, sent_at, status = self._sent.get(request_id, ('?', 0, '?'))
            line = (
                f'{arrived_at - self._began_at:8.3f} run of {request_id} at'
                f' {server.server_id}, sent to {name} at'
                f' {sent_at - self._began_at:.3f}, answered {status}'
            )
            if ended_at is None:
                line += ', cut by the exit of the server'
            after = server.find_time_since_removal(arrived_at)
            if after > 0.0:
                line += f', {after:.3f} s after the removal of its entry'
            if after > DRAIN_BOUND:
                late.append((after, server.server_id))
                if ended_at is None and status != 200:
                    lost.append(request_id)
            self._lines.append(line)
        ran = {request_id for _, _, request_id, _ in self._runs}
        for request_id, (name, sent_at, status) in self._sent.items():
            if request_id not in ran:
                self._lines.append(
                    f'{sent_at - self._began_at:8.3f} no run of {request_id},'
                    f' sent to {name}, answered {status}'
                )
        self._lines.sort()
        servers = {server_id for _, server_id in late}
        self.note(
            f'{len(self._sent)} requests, {len(self._runs)} runs;'
            f' {len(late)} reached {len(servers)} of {ROUNDS} servers later'
            f' than {DRAIN_BOUND} s after the removal of the entry, the last'
            f' {max(late, default=(0.0, ""))[0]:.3f} s after;'
            f' {len(lost)} of these had begun and were lost as the server'
            ' exited'
        )
        print(self._lines[-1])
        return BROKEN if late else HELD

    def end(self):
        """End all processes, and write the record."""
        for node in self.nodes:
            node.end()
        (HERE / 'record.txt').write_text(
            '\n'.join(self._lines) + '\n', encoding='utf-8'
        )


async def _main():
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        case = Case(has_trouble, pathlib.Path(folder))
        try:
            async with asyncio.timeout(115.0):
                return await case.run()
        except TimeoutError:
            case.note('the case did not end in time')
            return NOT_RUN
        except Exception as error:
            case.note(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            case.end()


if __name__ == '__main__':
    sys.exit(asyncio.run(_main()))
