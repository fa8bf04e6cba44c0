"""Stand-in for the model engines of a data centre, one listener for each VM.

An answer repeats the words of the prompt, so that a test knows the whole
answer. ``POST /admin/<vm>`` at the administration listener sets a fault:

- ``kill`` closes the listener and all connections,
- ``revive`` listens again with the state from before,
- ``wipe`` drops order, weights and caches, and listens again if killed,
- ``stall`` holds back all answers,
- ``slow`` multiplies the time between tokens,
- ``drain`` refuses new requests,
- ``lose_events`` drops cache events, which leaves a gap in their sequence.

``POST /admin/cut`` takes the names of entries that get no answer.

Published formats: the load report carries cache events, whose hashes are
those of :func:`balsamwind.routing.hash_blocks`. ``POST /engine/kv/export``
with ``{"request_id"}`` answers a `KvExport`. ``POST /engine/kv/import`` with
``{"request_id", "export"}`` fetches the exported KV cache from its source by
``GET /engine/kv/<handle>``.
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
"""Largest number of prompt blocks in the cache of one engine (count)."""

MAX_EVENTS = 16
"""Largest number of cache events in a report (count)."""

MAX_KV_REQUESTS = 100
"""Largest number of requests whose KV cache an engine keeps (count)."""

KV_BYTES_PER_TOKEN = 160000
"""Size of the KV cache of one token (bytes)."""


class Fleet:
    """The VMs of this process, by address.

    Parameters
    ----------
    token_delay : float
        Time between two tokens (seconds).
    load_delay : float
        Time that a load of weights takes that the VM does not hold (seconds).
    check_fencing : bool
        Whether engines refuse orders with an older fencing number.

    Attributes
    ----------
    vms : dict
        VMs by the address of their engine.
    cut_entries : frozenset of str
        Names of entries that get no answer.
    """

    def __init__(self, token_delay=0.02, load_delay=0.2, check_fencing=True):
        self.vms = {}
        self.cut_entries = frozenset()
        self.token_delay = token_delay
        self.load_delay = load_delay
        self.check_fencing = check_fencing

    def add(self, name, port=0):
        """Start the engine of one VM.

        Parameters
        ----------
        name : str
            Name of the VM.
        port : int
            Port to listen on; 0 picks a free one.

        Returns
        -------
        Vm
        """
        vm = Vm(self, name)
        vm.open(port)
        self.vms[vm.address] = vm
        return vm

    def find_vm(self, name):
        """Find a VM by its name.

        Parameters
        ----------
        name : str
            Name of the VM.

        Returns
        -------
        Vm
        """
        return next(vm for vm in self.vms.values() if vm.name == name)


class PrefixCache:
    """Cache of prompt blocks of one engine, in the order of last use.

    Each change is kept as a numbered event for the load report.
    """

    def __init__(self):
        self.blocks = collections.OrderedDict()
        self.events = collections.deque(maxlen=MAX_EVENTS)
        self.sequence = 0

    def prefill(self, blocks):
        """Add the blocks of a prompt, and evict the least recently used ones.

        Parameters
        ----------
        blocks : sequence of int
            Hashes of the blocks of the prompt.

        Returns
        -------
        int
            Blocks that were not in the cache (count).
        """
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
        """Remove all blocks and events; the next event has number 1."""
        self.__init__()


class Vm:
    """One VM and its engine.

    Parameters
    ----------
    fleet : Fleet
        VMs of this process; members of a group look up each other there.
    name : str
        Name of the VM.

    Attributes
    ----------
    alive : bool
        Whether the engine listens.
    stalled : bool
        Whether all answers are held back.
    delay_factor : float
        Factor by which the time between two tokens is multiplied.
    order : Order or None
        Order whose model is loaded or being loaded.
    state : EngineState
        State of the load; the report derives broken and draining from it.
    fencing : int
        Highest fencing number that was accepted.
    cached_weights : set of str
        Weights that the VM holds, ``model@version``.
    running : int
        Requests that run now (count).
    started_requests : int
        Requests that began to run so far (count).
    attempt_ids : list of str
        Attempts that began to run, in their order.
    cache : PrefixCache
        Prompt blocks in the cache of the engine.
    kv : dict
        Tokens in the KV cache of each request, by request id (count).
    draining : bool
        Whether new requests are refused.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.port = 0
        self.alive = False
        self.stalled = False
        self.delay_factor = 1.0
        self.order = None
        self.state = ports.EngineState.EMPTY
        self.fencing = 0
        self.cached_weights = set()
        self.running = 0
        self.started_requests = 0
        self.attempt_ids = []
        self.cache = PrefixCache()
        self.kv = collections.OrderedDict()
        self.draining = False
        self._server = None

    @property
    def address(self):
        """Address that the engine listens on, ``host:port``."""
        return f'127.0.0.1:{self.port}'

    def open(self, port):
        """Start to listen.

        Parameters
        ----------
        port : int
            Port to listen on; 0 picks a free one.
        """
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
        """Listen again on the same port with the state from before."""
        self.open(self.port)

    def wipe(self):
        """Unload the model, and listen again if the engine was killed.

        The order, the weights and the caches are lost. The fencing number
        stays.
        """
        self.order = None
        self.state = ports.EngineState.EMPTY
        self.cached_weights = set()
        self.cache.clear()
        self.kv.clear()
        if not self.alive:
            self.revive()

    def keep_kv(self, request_id, tokens):
        """Keep the KV cache of a request.

        Beyond `MAX_KV_REQUESTS` requests, the cache that was updated least
        recently is evicted.

        Parameters
        ----------
        request_id : str
            Id of the request.
        tokens : int
            Tokens in its KV cache (count).
        """
        self.kv[request_id] = tokens
        self.kv.move_to_end(request_id)
        if len(self.kv) > MAX_KV_REQUESTS:
            self.kv.popitem(last=False)

    def export_kv(self, request_id):
        """Describe the KV cache of a request for the engine that fetches it.

        Parameters
        ----------
        request_id : str
            Id of the request.

        Returns
        -------
        KvExport or None
            None if the cache is not held, or the group lacks a healthy member.
        """
        if request_id not in self.kv or not self.is_group_healthy():
            return None
        tokens = self.kv[request_id]
        return ports.KvExport(
            source=self.address,
            handle=request_id,
            model=self.order.model,
            version=self.order.version,
            tokens=tokens,
            size=tokens * KV_BYTES_PER_TOKEN,
        )

    def is_group_healthy(self):
        """Return whether every member of this VM's group is healthy.

        A member is healthy if it is alive, not stalled, and holds an order
        of the same group.

        Returns
        -------
        bool
        """
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
        """Make the load report.

        Returns
        -------
        EngineReport
        """
        order = self.order
        state = self.state
        if state is ports.EngineState.READY and not self.is_group_healthy():
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
            cached=tuple(sorted(self.cached_weights)),
            cache_events=tuple(self.cache.events),
        )

    def apply_order(self, order):
        """Carry out an order to load or unload a model.

        An order that repeats the current group and generation has no effect.

        Parameters
        ----------
        order : Order
            Order of the control plane.

        Returns
        -------
        str
            Code of the refusal; empty if the order is accepted.
        """
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
        asyncio.ensure_future(self._load_weights(order))
        return ''

    async def _load_weights(self, order):
        weights = f'{order.model}@{order.version}'
        if weights not in self.cached_weights:
            await asyncio.sleep(self.fleet.load_delay)
        if self.order is order:
            self.cached_weights.add(weights)
            self.state = ports.EngineState.READY


class _AdminHandler(web.RequestHandler):
    def initialize(self, fleet):
        self.fleet = fleet

    def get(self, name):
        vm = self.fleet.find_vm(name)
        report = objects.encode(dataclasses.replace(vm.report()))
        self.write(
            {
                **report,
                'started': vm.started_requests,
                'attempts': vm.attempt_ids,
            }
        )

    async def post(self, name):
        data = json.loads(self.request.body)
        if name == 'cut':
            self.fleet.cut_entries = frozenset(data['entries'])
            self.write({})
            return
        vm = self.fleet.find_vm(name)
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
                vm.delay_factor = data['value']
            case 'drain':
                vm.draining = data['value']
            case 'lose_events':
                vm.cache.events.clear()
        self.write({})


def make_admin_server(fleet):
    """Make the HTTP server that takes faults; it does not listen yet.

    Parameters
    ----------
    fleet : Fleet
        VMs that get the faults.

    Returns
    -------
    tornado.httpserver.HTTPServer
    """
    return httpserver.HTTPServer(
        web.Application(
            [('/admin/([^/]+)', _AdminHandler, {'fleet': fleet})],
            log_function=lambda handler: None,
        )
    )


async def main():
    """Serve the engines of one data centre until the process is killed."""
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
