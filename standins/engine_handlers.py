"""Routes of one stand-in engine."""

import asyncio
import json

from tornado import httpclient
from tornado import iostream
from tornado import web

from balsamwind import objects
from balsamwind import ports
from balsamwind import routing


def make_routes(vm):
    """Routes of the engine of a VM."""
    arguments = {'vm': vm}
    return [
        ('/engine/report', _ReportHandler, arguments),
        ('/engine/orders', _OrderHandler, arguments),
        ('/engine/generate', _GenerateHandler, arguments),
        ('/engine/kv/export', _ExportHandler, arguments),
        ('/engine/kv/import', _ImportHandler, arguments),
        ('/engine/kv/([^/]+)', _KvHandler, arguments),
    ]


def make_answer(prompt, count):
    """Tokens of the whole answer to a prompt."""
    words = prompt.split()
    return [f'{words[i % len(words)]} ' for i in range(count)]


class _Handler(web.RequestHandler):
    def initialize(self, vm):
        self.vm = vm

    async def prepare(self):
        entry = self.request.headers.get('User-Agent', '').split()[-1:]
        while self.vm.stalled or self.vm.fleet.cut.intersection(entry):
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
        vm.cache.take(routing.hash_blocks(call.model, call.prompt))
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
            self.vm.keep_kv(call.request_id, len(tokens) + index + 1)
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


class _ExportHandler(_Handler):
    def post(self):
        request_id = json.loads(self.request.body)['request_id']
        export = self.vm.export_kv(request_id)
        if export is None:
            self.refuse(404, 'no_cache')
        else:
            self.finish(json.dumps(objects.encode(export)))


class _KvHandler(_Handler):
    def get(self, handle):
        export = self.vm.export_kv(handle)
        if export is None:
            self.refuse(404, 'no_cache')
        else:
            self.finish({'tokens': export.tokens})


class _ImportHandler(_Handler):
    async def post(self):
        vm = self.vm
        data = json.loads(self.request.body)
        export = objects.decode(ports.KvExport, data['export'])
        own = vm.order and (vm.order.model, vm.order.version)
        if own != (export.model, export.version):
            self.refuse(409, 'other_model')
            return
        url = f'http://{export.source}/engine/kv/{export.handle}'
        try:
            answer = await httpclient.AsyncHTTPClient().fetch(url)
        except (OSError, httpclient.HTTPError):
            self.refuse(404, 'no_cache')
            return
        vm.keep_kv(data['request_id'], json.loads(answer.body)['tokens'])
        self.finish({})
