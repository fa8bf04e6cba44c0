"""Stand-in of the model engines of a data centre, one listener a VM.

An answer is made of the words of the prompt, so that a test can tell what
the whole answer is. Faults are set by ``POST /admin/<vm>`` at the control
listener: ``kill`` closes the listener and all connections, ``revive`` opens
it again with the state it had, ``wipe`` revives it empty, ``stall`` stops
all answers, ``slow`` stretches the time between tokens.
"""

import argparse
import asyncio
import dataclasses
import json

from tornado import httpserver
from tornado import iostream
from tornado import web

from balsamwind import objects
from balsamwind import ports
from standins import platform


def make_answer(prompt, count):
    """Tokens of the whole answer to a prompt."""
    words = prompt.split()
    return [f'{words[i % len(words)]} ' for i in range(count)]


class Fleet:
    """All VMs of this process, by address."""

    def __init__(self, token_delay=0.02, load_delay=0.2, check_fencing=True):
        self.vms = {}
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
        self._server = None

    @property
    def address(self):
        """``host:port`` of the engine."""
        return f'127.0.0.1:{self.port}'

    def open(self, port):
        """Listen."""
        arguments = {'vm': self}
        application = web.Application(
            [
                ('/engine/report', _ReportHandler, arguments),
                ('/engine/orders', _OrderHandler, arguments),
                ('/engine/generate', _GenerateHandler, arguments),
            ],
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
        if not self.alive:
            self.revive()

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


class _Handler(web.RequestHandler):
    def initialize(self, vm):
        self.vm = vm

    async def prepare(self):
        while self.vm.stalled:
            await asyncio.sleep(0.05)

    def refuse(self, status, code):
        self.set_status(status)
        self.finish({'code': code, 'not_run': True})


class _ReportHandler(_Handler):
    def get(self):
        self.finish(json.dumps(objects.encode(self.vm.report())))


class _OrderHandler(_Handler):
    def post(self):
        order = objects.decode(ports.Order, json.loads(self.request.body))
        code = self.vm.take_order(order)
        if code:
            self.refuse(409, code)
        else:
            self.finish({})


class _GenerateHandler(_Handler):
    def on_connection_close(self):
        self.gone = True

    async def post(self):
        self.gone = False
        vm = self.vm
        call = objects.decode(ports.Generate, json.loads(self.request.body))
        report = vm.report()
        if (report.group, report.generation) != (call.group, call.generation):
            self.refuse(409, 'wrong_group')
            return
        if report.state is not ports.EngineState.READY:
            self.refuse(503, report.state.value)
            return
        vm.started += 1
        vm.attempts.append(call.attempt_id)
        vm.running += 1
        try:
            await self._generate(call)
        except iostream.StreamClosedError:
            return
        finally:
            vm.running -= 1

    async def _generate(self, call):
        tokens = make_answer(call.prompt, call.max_tokens)
        for index in range(len(call.resume), len(tokens)):
            await asyncio.sleep(self.vm.fleet.token_delay * self.vm.slow)
            while self.vm.stalled:
                await asyncio.sleep(0.05)
            if self.gone:
                return
            if not self.vm.whole():
                self.request.connection.stream.close()
                return
            await self._write(
                {
                    'attempt': call.attempt_id,
                    'index': index,
                    'text': tokens[index],
                }
            )
        await self._write(
            {
                'attempt': call.attempt_id,
                'finish': 'stop',
                'tokens': len(tokens),
            }
        )

    async def _write(self, event):
        data = json.dumps(event, ensure_ascii=False)
        self.write(f'data: {data}\n\n')
        await self.flush()


class _AdminHandler(web.RequestHandler):
    def initialize(self, fleet):
        self.fleet = fleet

    def get(self, name):
        vm = self.fleet.find(name)
        report = objects.encode(dataclasses.replace(vm.report()))
        self.write({**report, 'started': vm.started, 'attempts': vm.attempts})

    async def post(self, name):
        vm = self.fleet.find(name)
        data = json.loads(self.request.body)
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
    arguments = parser.parse_args()
    fleet = Fleet()
    with open(arguments.vms, encoding='utf-8') as file:
        rows = json.load(file)
    for row in rows:
        if row['data_centre'] == arguments.data_centre:
            fleet.add(row['name'], int(row['address'].rsplit(':', 1)[1]))
    platform.listen(make_admin_server(fleet), arguments.admin_port)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
