"""HTTP handlers of one stand-in engine."""

import asyncio
import json

from tornado import httpclient
from tornado import iostream
from tornado import web

from balsamwind import objects
from balsamwind import ports
from balsamwind import routing


def make_routes(vm):
    """Make the routes of the engine of a VM.

    Parameters
    ----------
    vm : Vm
        VM whose engine answers.

    Returns
    -------
    list of tuple
        Routes for `tornado.web.Application`.
    """
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
    """Make the tokens of the whole answer to a prompt.

    Parameters
    ----------
    prompt : str
        Prompt, of at least one word unless `count` is 0.
    count : int
        Tokens of the answer (count).

    Returns
    -------
    list of str
        Words of the prompt, repeated in their order.
    """
    words = prompt.split()
    return [f'{words[i % len(words)]} ' for i in range(count)]


class _EngineHandler(web.RequestHandler):
    def initialize(self, vm):
        self.vm = vm

    async def prepare(self):
        entry_names = self.request.headers.get('User-Agent', '').split()[-1:]
        while self.vm.stalled or self.vm.fleet.cut_entries.intersection(
            entry_names
        ):
            await asyncio.sleep(0.05)

    def refuse(self, status, code):
        self.set_status(status)
        self.finish({'code': code, 'not_run': True})


class _ReportHandler(_EngineHandler):
    def get(self):
        self.finish(json.dumps(objects.encode(self.vm.report())))


class _OrderHandler(_EngineHandler):
    def post(self):
        order = objects.decode(ports.Order, json.loads(self.request.body))
        code = self.vm.apply_order(order)
        if code:
            self.refuse(409, code)
        else:
            self.finish({})


class _GenerateHandler(_EngineHandler):
    def on_connection_close(self):
        self.disconnected = True

    async def post(self):
        self.disconnected = False
        vm = self.vm
        call = objects.decode(
            ports.GenerateRequest, json.loads(self.request.body)
        )
        report = vm.report()
        if (report.group, report.generation) != (call.group, call.generation):
            self.refuse(409, 'wrong_group')
            return
        if report.state is not ports.EngineState.READY:
            self.refuse(503, report.state.value)
            return
        vm.started_requests += 1
        vm.cache.prefill(routing.hash_blocks(call.model, call.prompt))
        vm.attempt_ids.append(call.attempt_id)
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
            await asyncio.sleep(
                self.vm.fleet.token_delay * self.vm.delay_factor
            )
            while self.vm.stalled:
                await asyncio.sleep(0.05)
            if self.disconnected:
                return
            if not self.vm.is_group_healthy():
                self.request.connection.stream.close()
                return
            await self._write_event(
                {
                    'attempt': call.attempt_id,
                    'index': index,
                    'text': tokens[index],
                }
            )
            self.vm.keep_kv(call.request_id, len(tokens) + index + 1)
        await self._write_event(
            {
                'attempt': call.attempt_id,
                'finish': 'stop',
                'tokens': len(tokens),
            }
        )

    async def _write_event(self, event):
        data = json.dumps(event, ensure_ascii=False)
        self.write(f'data: {data}\n\n')
        await self.flush()


class _ExportHandler(_EngineHandler):
    def post(self):
        request_id = json.loads(self.request.body)['request_id']
        export = self.vm.export_kv(request_id)
        if export is None:
            self.refuse(404, 'no_cache')
        else:
            self.finish(json.dumps(objects.encode(export)))


class _KvHandler(_EngineHandler):
    def get(self, handle):
        export = self.vm.export_kv(handle)
        if export is None:
            self.refuse(404, 'no_cache')
        else:
            self.finish({'tokens': export.tokens})


class _ImportHandler(_EngineHandler):
    async def post(self):
        vm = self.vm
        data = json.loads(self.request.body)
        export = objects.decode(ports.KvExport, data['export'])
        own_model = vm.order and (vm.order.model, vm.order.version)
        if own_model != (export.model, export.version):
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
