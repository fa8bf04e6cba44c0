"""HTTP handlers of an engine."""

import asyncio
import json
import random
import time

from tornado import iostream
from tornado import web

from standins.pool import _engine
from standins.pool import _trace

HANG_TIME = 30.0
"""Time after which the connection of an unanswered order closes (seconds)."""

LATE_ORDER_DELAY = (2.0, 6.0)
"""Shortest and longest delay of a late order (seconds)."""


class _EngineHandler(web.RequestHandler):
    def initialize(self, engine, platform):
        self._engine = engine
        self._platform = platform
        self._disconnected = False
        engine.open_handlers.add(self)

    def on_finish(self):
        self._engine.open_handlers.discard(self)

    def on_connection_close(self):
        self._disconnected = True
        self._engine.open_handlers.discard(self)

    def _reset(self):
        self.request.connection.stream.close()
        raise web.Finish

    async def prepare(self):
        if self._engine.gone:
            self._reset()
        incarnation = self._engine.incarnation
        while self._engine.dark:
            await asyncio.sleep(0.02)
            if self._engine.incarnation != incarnation or self._disconnected:
                self._reset()
        if self._engine.leaving:
            self.set_header('Server-Leaving', '1')
        if self._engine.rate_limit is not None:
            self.set_header('Server-Limit', str(self._engine.rate_limit))


class ReportHandler(_EngineHandler):
    """Load report of an engine."""

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
            incarnation = self._engine.incarnation
            loop.call_later(
                random.uniform(*LATE_ORDER_DELAY),
                self._apply_late_order,
                data,
                incarnation,
            )
            await asyncio.sleep(HANG_TIME)
            self._reset()
        self.set_status(self._engine.apply_order(data))
        return self.finish()

    def _apply_late_order(self, data, incarnation):
        if self._engine.alive and self._engine.incarnation == incarnation:
            self._engine.apply_order(data)


class InferenceHandler(_EngineHandler):
    """Requests that an engine runs."""

    async def post(self):
        engine = self._engine
        headers = self.request.headers
        request_id = headers.get('X-Balsamwind-Request-Id', '')
        expected = headers.get('X-Balsamwind-Expect-Instance')
        group = engine.group
        if expected != engine.server_id or not group:
            self.set_status(421)
            return self.finish()
        engine.arrival_times.append(time.monotonic())
        self._platform.trace.record_arrival(
            engine.service, request_id, engine.server_id
        )
        with engine.admit() as admitted:
            if not admitted or group['State'] != 'open':
                return self._refuse()
            try:
                group_key = await engine.acquire_slot(
                    self._platform.get_group_size(group)
                )
            except _engine.GroupBroken:
                return self._refuse()
        try:
            if self._platform.has_deadly_body(self.request):
                self._platform.crash_on_request(engine)
                raise web.Finish
            return await self._stream_events(group_key)
        finally:
            if engine.group_key == group_key:
                engine.running -= 1

    def _refuse(self):
        self.set_status(503)
        headers = self.request.headers
        self.set_header(
            'X-Balsamwind-Request-Id',
            headers.get('X-Balsamwind-Request-Id', ''),
        )
        self.set_header('X-Balsamwind-Not-Executed', '1')
        self.set_header('At-Server', self._engine.server_id)
        return self.finish()

    async def _stream_events(self, group_key):
        engine = self._engine
        headers = self.request.headers
        first_event = int(headers.get('Last-Event-Id', '0')) + 1
        run = self._platform.trace.begin_run(
            _trace.Run(
                request_id=headers['X-Balsamwind-Request-Id'],
                service=engine.service,
                server_id=engine.server_id,
                path=self.request.path,
                body=self.request.body.decode('latin-1'),
                account=headers.get('X-Balsamwind-Tenant', ''),
                first_event=first_event,
                leaked_key='Authorization' in headers,
            )
        )
        ending = 'cut'
        engine.served_headers.append(dict(headers))
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('X-Balsamwind-Request-Id', run.request_id)
        self.set_header('X-Balsamwind-Response-Stamp', engine.server_id)
        is_deadly = self._platform.is_deadly(headers)
        incarnation = engine.incarnation
        if is_deadly:
            await self.flush()
            self._platform.deadly_arrivals.append(time.monotonic())
            event_time = self._platform.deadly_ending.draw_event_time()
            ends_at = time.monotonic() + event_time
        try:
            self._platform.may_break_head(engine, self)
            for number in range(first_event, engine.event_count + 1):
                if is_deadly and time.monotonic() >= ends_at:
                    silence = self._platform.deadly_ending.draw_silence()
                    await asyncio.sleep(silence)
                    if engine.incarnation == incarnation:
                        self._platform.crash_on_request(engine)
                    raise web.Finish
                await engine.wait_while_stalled(
                    group_key, lambda: self._disconnected
                )
                if self._disconnected:
                    ending = 'caller gone'
                    return None
                if (
                    engine.cut_after_event is not None
                    and number > engine.cut_after_event
                ):
                    self.write(f'id: {number}\nda')
                    await self.flush()
                    self._reset()
                self.write(
                    f'id: {number}\ndata: token {number} {run.request_id}\n\n'
                )
                await self.flush()
                await asyncio.sleep(engine.event_interval)
            ending = 'whole'
            return await self.finish()
        except _engine.GroupBroken:
            return self._reset()
        except iostream.StreamClosedError:
            ending = 'caller gone'
            return self._reset()
        finally:
            self._platform.trace.end_run(run, ending)
