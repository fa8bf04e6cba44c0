"""Stand-in of the model engines of a data centre, one listener a VM.

An answer is made of the words of the prompt, so that a test can tell what
the whole answer is. Faults are set by ``POST /admin/<vm>`` at the control
listener (``POST /admin/cut`` takes names of entries that get no answer):
``kill`` closes the listener and all connections, ``revive`` opens
it again with the state it had, ``wipe`` revives it empty, ``stall`` stops
all answers, ``slow`` stretches the time between tokens, ``drain`` refuses
new requests, ``lose_events`` drops cache events and so leaves a gap.

Published formats: cache events in the load report (hashes as made by
:func:`balsamwind.routing.hash_blocks`); ``POST /engine/kv/export`` with
``{"request_id"}`` answers a `KvExport`; ``POST /engine/kv/import`` with
``{"request_id", "export"}`` fetches it from its source by ``GET
/engine/kv/<handle>``.
"""

import argparse
import asyncio
import collections
import dataclasses
import json

from tornado import httpserver
from tornado import web

from balsamwind import objects
from balsamwind import ports
from standins import engine_handlers
from standins import platform

MAX_BLOCKS = 256
"""Prompt blocks in the cache of one engine (count)."""

MAX_EVENTS = 16
"""Cache events in a report (count)."""

MAX_KV = 100
"""Requests whose KV cache an engine keeps (count)."""

KV_TOKEN_SIZE = 160000
"""KV cache of one token (bytes)."""


class Fleet:
    """All VMs of this process, by address."""

    def __init__(self, token_delay=0.02, load_delay=0.2, check_fencing=True):
        self.vms = {}
        self.cut = frozenset()
        self.token_delay = token_delay
        self.load_delay = load_delay
        self.check_fencing = check_fencing

    def add(self, name, port=0):
        """Start the engine of one VM."""
        vm = Vm(self, name)
        vm.open(port)
        self.vms[vm.address] = vm
        return vm

    def find(self, name):
        """VM by name."""
        return next(vm for vm in self.vms.values() if vm.name == name)


class PrefixCache:
    """Prompt blocks in the cache of one engine, and what changed."""

    def __init__(self):
        self.blocks = collections.OrderedDict()
        self.events = collections.deque(maxlen=MAX_EVENTS)
        self.sequence = 0

    def take(self, blocks):
        """Prefill the blocks that are missing; how many were (count)."""
        missing = [block for block in blocks if block not in self.blocks]
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        removed = []
        while len(self.blocks) > MAX_BLOCKS:
            removed.append(self.blocks.popitem(last=False)[0])
        if missing or removed:
            self.sequence += 1
            self.events.append(
                ports.CacheEvent(self.sequence, tuple(missing), tuple(removed))
            )
        return len(missing)

    def clear(self):
        """Lose everything."""
        self.__init__()


class Vm:
    """One VM and its engine."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.port = 0
        self.alive = False
        self.stalled = False
        self.slow = 1.0
        self.order = None
        self.state = ports.EngineState.EMPTY
        self.fencing = 0
        self.cached = set()
        self.running = 0
        self.started = 0
        self.attempts = []
        self.cache = PrefixCache()
        self.kv = collections.OrderedDict()
        self.draining = False
        self._server = None

    @property
    def address(self):
        """``host:port`` of the engine."""
        return f'127.0.0.1:{self.port}'

    def open(self, port):
        """Listen."""
        application = web.Application(
            engine_handlers.make_routes(self),
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)
        self.port = platform.listen(self._server, port)
        self.alive = True

    async def kill(self):
        """Close the listener and all connections."""
        self.alive = False
        self._server.stop()
        await self._server.close_all_connections()

    def revive(self):
        """Listen again as if nothing happened."""
        self.open(self.port)

    def wipe(self):
        """Listen again with nothing loaded."""
        self.order = None
        self.state = ports.EngineState.EMPTY
        self.cached = set()
        self.cache.clear()
        self.kv.clear()
        if not self.alive:
            self.revive()

    def keep_kv(self, request_id, tokens):
        """Keep the KV cache of a request, for a while."""
        self.kv[request_id] = tokens
        self.kv.move_to_end(request_id)
        if len(self.kv) > MAX_KV:
            self.kv.popitem(last=False)

    def export_kv(self, request_id):
        """What another engine may fetch; None if it is not held."""
        if request_id not in self.kv or not self.whole():
            return None
        tokens = self.kv[request_id]
        return ports.KvExport(
            source=self.address,
            handle=request_id,
            model=self.order.model,
            version=self.order.version,
            tokens=tokens,
            size=tokens * KV_TOKEN_SIZE,
        )

    def whole(self):
        """Whether every member of this VM's group is here and well."""
        if self.order is None:
            return False
        for address in self.order.members:
            vm = self.fleet.vms.get(address)
            if vm is None or not vm.alive or vm.stalled:
                return False
            if vm.order is None or vm.order.group != self.order.group:
                return False
        return True

    def report(self):
        """Load report."""
        order = self.order
        state = self.state
        if state is ports.EngineState.READY and not self.whole():
            state = ports.EngineState.BROKEN
        elif state is ports.EngineState.READY and self.draining:
            state = ports.EngineState.DRAINING
        return ports.EngineReport(
            vm=self.name,
            state=state,
            group=order.group if order else '',
            generation=order.generation if order else 0,
            model=order.model if order else '',
            version=order.version if order else '',
            running=self.running,
            fencing=self.fencing,
            cached=tuple(sorted(self.cached)),
            cache_events=tuple(self.cache.events),
        )

    def take_order(self, order):
        """Obey an order; the refusal's code, or empty."""
        if self.fleet.check_fencing and order.fencing < self.fencing:
            return 'old_fencing'
        self.fencing = max(self.fencing, order.fencing)
        if order.kind == 'unload':
            if self.order and self.order.group == order.group:
                self.order = None
                self.state = ports.EngineState.EMPTY
            return ''
        if order == self.order or (
            self.order
            and (order.group, order.generation)
            == (self.order.group, self.order.generation)
        ):
            return ''
        self.order = order
        self.cache.clear()
        self.kv.clear()
        self.state = ports.EngineState.LOADING
        asyncio.ensure_future(self._load(order))
        return ''

    async def _load(self, order):
        weights = f'{order.model}@{order.version}'
        if weights not in self.cached:
            await asyncio.sleep(self.fleet.load_delay)
        if self.order is order:
            self.cached.add(weights)
            self.state = ports.EngineState.READY


class _AdminHandler(web.RequestHandler):
    def initialize(self, fleet):
        self.fleet = fleet

    def get(self, name):
        vm = self.fleet.find(name)
        report = objects.encode(dataclasses.replace(vm.report()))
        self.write({**report, 'started': vm.started, 'attempts': vm.attempts})

    async def post(self, name):
        data = json.loads(self.request.body)
        if name == 'cut':
            self.fleet.cut = frozenset(data['entries'])
            self.write({})
            return
        vm = self.fleet.find(name)
        match data['fault']:
            case 'kill':
                await vm.kill()
            case 'revive':
                vm.revive()
            case 'wipe':
                vm.wipe()
            case 'stall':
                vm.stalled = data['value']
            case 'slow':
                vm.slow = data['value']
            case 'drain':
                vm.draining = data['value']
            case 'lose_events':
                vm.cache.events.clear()
        self.write({})


def make_admin_server(fleet):
    """HTTP server that takes faults; it does not listen yet."""
    return httpserver.HTTPServer(
        web.Application(
            [('/admin/([^/]+)', _AdminHandler, {'fleet': fleet})],
            log_function=lambda handler: None,
        )
    )


async def main():
    """Run the engines of a settings file until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--admin-port', type=int, required=True)
    parser.add_argument('--vms', required=True)
    parser.add_argument('--data-centre', required=True)
    parser.add_argument('--token-delay', type=float, default=0.02)
    arguments = parser.parse_args()
    fleet = Fleet(arguments.token_delay)
    with open(arguments.vms, encoding='utf-8') as file:
        rows = json.load(file)
    for row in rows:
        if row['data_centre'] == arguments.data_centre:
            fleet.add(row['name'], int(row['address'].rsplit(':', 1)[1]))
    platform.listen(make_admin_server(fleet), arguments.admin_port)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
