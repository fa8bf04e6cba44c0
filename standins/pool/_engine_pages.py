"""What an engine answers."""

import asyncio
import json
import random

from tornado import iostream
from tornado import web

from standins.pool import _engine
from standins.pool import _witness

HANG = 30.0
"""How long a call to a dark engine hangs (seconds)."""

LATE = (2.0, 6.0)
"""How much later a late order is carried out (seconds)."""


class _EngineHandler(web.RequestHandler):
    def initialize(self, engine, platform):
        self._engine = engine
        self._platform = platform
        self._left = False
        engine.handlers.add(self)

    def on_finish(self):
        self._engine.handlers.discard(self)

    def on_connection_close(self):
        self._left = True
        self._engine.handlers.discard(self)

    def _reset(self):
        self.request.connection.stream.close()
        raise web.Finish

    async def prepare(self):
        if self._engine.gone:
            self._reset()
        born = self._engine.born
        while self._engine.dark:
            await asyncio.sleep(0.02)
            if self._engine.born != born or self._left:
                self._reset()


class ReportHandler(_EngineHandler):
    """Report of an engine."""

    def get(self):
        self.finish(self._engine.report())


class OrderHandler(_EngineHandler):
    """Orders to an engine."""

    async def post(self):
        data = json.loads(self.request.body)
        expected = self.request.headers.get('X-Balsamwind-Expect-Instance')
        if expected not in (None, self._engine.server_id):
            self.set_status(421)
            return self.finish()
        if random.random() < self._engine.late_orders:
            loop = asyncio.get_running_loop()
            life = self._engine.born
            loop.call_later(random.uniform(*LATE), self._carry_out, data, life)
            await asyncio.sleep(HANG)
            self._reset()
        self.set_status(self._engine.order(data))
        return self.finish()

    def _carry_out(self, data, life):
        if self._engine.alive and self._engine.born == life:
            self._engine.order(data)


class ServeHandler(_EngineHandler):
    """Requests to an engine."""

    async def post(self):
        engine = self._engine
        headers = self.request.headers
        request_id = headers.get('X-Balsamwind-Request-Id', '')
        expected = headers.get('X-Balsamwind-Expect-Instance')
        group = engine.group
        if expected != engine.server_id or not group:
            self.set_status(421)
            return self.finish()
        self._platform.witness.note_arrival(
            engine.service, request_id, engine.server_id
        )
        with engine.admit() as admitted:
            if not admitted or group['State'] != 'open':
                return self._refuse()
            try:
                key = await engine.start_work(self._platform.size(group))
            except _engine.GroupBroken:
                return self._refuse()
        try:
            return await self._stream(key)
        finally:
            if engine.key == key:
                engine.running -= 1

    def _refuse(self):
        self.set_status(503)
        self.set_header('X-Balsamwind-Not-Executed', '1')
        self.set_header('At-Server', self._engine.server_id)
        return self.finish()

    async def _stream(self, key):
        engine = self._engine
        headers = self.request.headers
        first = int(headers.get('Last-Event-Id', '0')) + 1
        run = self._platform.witness.begin(
            _witness.Run(
                request_id=headers['X-Balsamwind-Request-Id'],
                service=engine.service,
                server_id=engine.server_id,
                path=self.request.path,
                body=self.request.body.decode('latin-1'),
                account=headers.get('X-Balsamwind-Tenant', ''),
                first_event=first,
                leaked_key='Authorization' in headers,
            )
        )
        ending = 'cut'
        engine.served.append(dict(headers))
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('X-Balsamwind-Request-Id', run.request_id)
        self.set_header('X-Balsamwind-Response-Stamp', engine.server_id)
        try:
            for number in range(first, engine.events + 1):
                await engine.go_on(key)
                if self._left:
                    ending = 'caller gone'
                    return None
                if engine.cut_after is not None and number > engine.cut_after:
                    self.write(f'id: {number}\nda')
                    await self.flush()
                    self._reset()
                self.write(
                    f'id: {number}\ndata: token {number} {run.request_id}\n\n'
                )
                await self.flush()
                await asyncio.sleep(engine.pause)
            ending = 'whole'
            return await self.finish()
        except (_engine.GroupBroken, iostream.StreamClosedError):
            return self._reset()
        finally:
            self._platform.witness.end(run, ending)
