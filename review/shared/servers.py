"""Stand-ins for the servers of a plain service and for model engines."""

import asyncio
import json
import random
import time
import weakref

from review.shared import wire

HEARTBEAT = 1.2
SILENT_HEARTBEATS = 3


class Backend:
    """What plain servers and engines have in common.

    Parameters
    ----------
    world : World
        Gives the store and the record.
    server_id, service, zone : str
        Id, service and zone.
    host : str
        Loopback address to listen on.
    """

    def __init__(self, world, server_id, service, zone, host):
        self.world = world
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.host = host
        self.state = 'ready'
        self.slots = 6
        self.registered = True
        self.is_alive = True
        self.running = {}
        self.is_dark = False
        self.written_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.server = wire.Server(self.handle)
        self._beat = None

    @property
    def address(self):
        """Address in the entry."""
        return f'{self.host}:{self.server.port}'

    async def start(self, port=0):
        """Listen, and write the entry again and again."""
        await self.server.listen(self.host, port)
        self.write_entry()
        self._beat = asyncio.ensure_future(self._write_entries())

    async def _write_entries(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            self.write_entry()

    def expire_entry(self):
        """Remove an entry that was not renewed, as the store does."""
        silence = time.monotonic() - self.written_at
        if silence > SILENT_HEARTBEATS * HEARTBEAT:
            self.world.store.delete('servers', self.server_id)

    def describe(self):
        """Fields of the entry beyond those of all servers."""
        return {}

    def write_entry(self):
        """Write the entry, unless the server has left the store."""
        if not self.registered or self.is_dark:
            return
        if not self.world.store.is_up.is_set():
            return
        self.written_at = time.monotonic()
        spec = {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': '1',
            'SlotCount': self.slots,
            'State': self.state,
            'ColdLeftMs': 0,
            'Seq': 1,
            'born': self.born,
            **self.describe(),
        }
        self.world.store.put('servers', self.server_id, spec)

    def remove_entry(self):
        """Leave the store; the server goes on serving."""
        self.registered = False
        self.world.store.delete('servers', self.server_id)

    async def crash(self):
        """End at once; the entry expires after three heartbeats."""
        self.exit()
        if self.registered:
            self.registered = False
            await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT)
            self.world.store.delete('servers', self.server_id)

    def exit(self):
        """End the process; what runs is lost."""
        self.is_alive = False
        if self._beat is not None:
            self._beat.cancel()
        for request_id in list(self.running):
            self.world.record.lose(request_id, self.server_id)
        self.server.stop()

    def is_expected(self, request):
        """Whether a request names this server, or none."""
        expected = request.headers.get('x-balsamwind-expect-instance')
        return expected in (None, self.server_id)

    def begin(self, request, request_id):
        """Record that a request has begun to run here."""
        self.running[request_id] = time.monotonic()
        self.world.record.run(
            request_id,
            self.server_id,
            tenant=request.headers.get('x-balsamwind-tenant', ''),
        )


class PlainServer(Backend):
    """Server of a plain service."""

    work = 0.09

    async def handle(self, request, writer):
        """Run a request."""
        request_id = request.headers.get('x-balsamwind-request-id', '')
        fields = [('X-Balsamwind-Request-Id', request_id)]
        if not self.is_expected(request):
            writer.write(wire.make_response(421, b'', fields))
            return
        if request.path == '/health':
            fields = [('X-Balsamwind-Instance-Id', self.server_id)]
            writer.write(wire.make_response(200, b'', fields))
            return
        self.world.record.arrive(request_id, self.server_id)
        self.begin(request, request_id)
        try:
            await asyncio.sleep(self.work)
            self.running.pop(request_id, None)
            fields.append(('X-Balsamwind-Response-Stamp', self.server_id))
            body = f'{self.service} ran {request_id}'.encode()
            writer.write(wire.make_response(200, body, fields))
        finally:
            self.running.pop(request_id, None)


class Engine(Backend):
    """Model engine that takes orders and streams events."""

    def __init__(self, world, server_id, service, zone, host, domain):
        super().__init__(world, server_id, service, zone, host)
        self.domain = domain
        self.slots = 9
        self.staged = []
        self.last_model = ''
        self.group = None
        self.members = ()
        self.epoch_seen = 0
        self.fence = 0
        self.orders = 0
        self.first_event_time = 0.1
        self.event_time = 0.05
        self._tasks = set()

    def describe(self):
        """Fields that the entry and the report share."""
        models = []
        if self.last_model:
            models = [{'Name': self.last_model, 'Version': 1, 'Adapters': []}]
        return {
            'Stage': 'both',
            'Models': models,
            'Domain': self.domain,
            'Staged': list(self.staged),
            'group': None if self.group is None else dict(self.group),
        }

    def make_report(self):
        """Make the report (bytes)."""
        report = {
            **self.describe(),
            'Busy': False,
            'born': self.born,
            'pace': 1.0,
            'NumQueued': 0,
            'NumRunning': len(self.running),
            'KvUsedTokens': 0,
            'KvTotalTokens': 900000,
            'Handles': 0,
            'Seq': self.orders,
        }
        return json.dumps(report).encode()

    def exit(self):
        """End the process."""
        for task in self._tasks:
            task.cancel()
        super().exit()

    async def handle(self, request, writer):
        """Answer a report, an order or a request."""
        while self.is_dark:
            await asyncio.sleep(0.02)
        request_id = request.headers.get('x-balsamwind-request-id', '')
        fields = [('Content-Type', 'application/json')]
        if request_id:
            fields.append(('X-Balsamwind-Request-Id', request_id))
        if not self.is_expected(request):
            fields.append(('At-Server', self.server_id))
            return self.reply(request, writer, 421, b'', fields)
        if request.path == '/v1/report':
            return self.reply(request, writer, 200, self.make_report(), fields)
        if request.path == '/v1/order':
            status = self._take_order(json.loads(request.body))
            return self.reply(request, writer, status, b'', fields)
        return await self._infer(request, writer, request_id, fields)

    def reply(self, request, writer, status, body, fields):
        """Write a whole response."""
        self.write_answer(writer, wire.make_response(status, body, fields))

    def write_answer(self, writer, data, is_end=True):
        """Write an answer, or its next part."""
        writer.write(data)

    def _take_order(self, data):
        if data.get('Fence', 0) < self.fence:
            return 412
        self.fence = data.get('Fence', 0)
        if data.get('Precondition', self.orders) != self.orders:
            return 409
        match data['Operation']:
            case 'join':
                return self._join(data)
            case 'stage':
                return self._stage(data['Model'])
            case 'open' | 'close' | 'leave':
                return self._change(data)
        return 400

    def _begin(self, coroutine):
        self.orders += 1
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 202

    def _stage(self, model):
        if model in self.staged:
            return 200
        return self._begin(self._finish_stage(model))

    async def _finish_stage(self, model):
        await asyncio.sleep(self.world.load_time)
        self.staged = [model]
        self.write_entry()

    def _join(self, data):
        key = (data['group'], data['epoch'])
        if data['epoch'] < self.epoch_seen:
            return 412
        if self.group and key == (self.group['Name'], self.group['epoch']):
            same = tuple(data['Members']) == self.members
            return 200 if same else 412
        self._check_released(data['group'])
        self.epoch_seen = data['epoch']
        self.members = tuple(data['Members'])
        self.group = {
            'Name': data['group'],
            'epoch': data['epoch'],
            'rank': data['Members'].index(self.server_id),
            'State': 'joining',
        }
        self.write_entry()
        return self._begin(self._finish_join(key, data['Model']))

    @property
    def head(self):
        """Head of its group while that holds the group; else None."""
        head = (
            self.world.servers.get(self.members[0]) if self.members else None
        )
        if self.group is None or head is None or head.group is None:
            return None
        same = head.group['Name'] == self.group['Name']
        return head if same and head.is_alive else None

    def _check_released(self, new_group):
        """Record a join while the head of the old group is open."""
        head = self.head
        if head is not None and head.group['State'] == 'open':
            self.world.record.taken.append(self.server_id)
            self.world.record.add(
                'taken_from_open_group',
                server=self.server_id,
                group=self.group['Name'],
                head=head.server_id,
                head_dark=head.is_dark,
                new_group=new_group,
            )

    def go_dark(self, seconds):
        """Be silent for a while; the group breaks after the stall bound."""
        self.is_dark = True
        self.world.record.add('dark', server=self.server_id)
        loop = asyncio.get_running_loop()
        loop.call_later(self.world.stall_time, self._break_group, self.group)
        loop.call_later(seconds, self._come_back)

    def _break_group(self, group):
        head = self.head
        if self.is_dark and self.group is group and head is not None:
            head.group['State'] = 'broken'
            self.world.record.add('broken', head=head.server_id)
            head.write_entry()

    def _come_back(self):
        self.is_dark = False
        self.world.record.add('back', server=self.server_id)
        self.write_entry()

    async def _finish_join(self, key, model):
        if self.last_model == model:
            await asyncio.sleep(0.2)
        elif model in self.staged:
            await asyncio.sleep(self.world.warm_time)
        else:
            await asyncio.sleep(self.world.load_time)
            self.staged = [model]
        if self.group and key == (self.group['Name'], self.group['epoch']):
            self.last_model = model
            self.group['State'] = 'ready'
            self.write_entry()

    def _change(self, data):
        key = (data['group'], data['epoch'])
        if not self.group or key != (self.group['Name'], self.group['epoch']):
            return 409
        state = self.group['State']
        match data['Operation']:
            case 'leave':
                self.orders += 1
                self.group = None
                self.write_entry()
                return 200
            case 'open':
                if state == 'open':
                    return 200
                if state != 'ready' or self.group['rank']:
                    return 409
                return self._begin(self._finish_open(key))
        if state == 'ready':
            return 200
        if state != 'open':
            return 409
        self.group['State'] = 'ready'
        self.orders += 1
        self.write_entry()
        return 202

    async def _finish_open(self, key):
        await asyncio.sleep(self.world.form_time)
        if self.group and key == (self.group['Name'], self.group['epoch']):
            self.group['State'] = 'open'
            self.world.record.add('opened', head=self.server_id, group=key[0])
            self.write_entry()

    async def _infer(self, request, writer, request_id, fields):
        serves = self.group and self.group['State'] == 'open'
        if not self.group or self.group['rank']:
            return self.reply(request, writer, 421, b'', fields)
        self.world.record.arrive(request_id, self.server_id)
        if not serves or len(self.running) >= 3 * self.slots:
            fields = [*fields, ('X-Balsamwind-Not-Executed', '1')]
            return self.reply(request, writer, 503, b'', fields)
        await asyncio.sleep(self.first_event_time)
        self.begin(request, request_id)
        try:
            return await self._stream(request, writer, request_id)
        finally:
            self.running.pop(request_id, None)

    async def _stream(self, request, writer, request_id):
        first = int(request.headers.get('last-event-id', 0)) + 1
        usage = request.headers.get('x-balsamwind-token-usage', '0,5')
        count = max(1, int(usage.split(',')[1]) // 5)
        head = [
            ('Content-Type', 'text/event-stream'),
            ('X-Balsamwind-Request-Id', request_id),
            ('X-Balsamwind-Response-Stamp', self.server_id),
            ('Transfer-Encoding', 'chunked'),
        ]
        self.write_answer(writer, wire.make_head(200, head), False)
        for number in range(first, count + 1):
            event = f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
            chunk = b'%x\r\n%s\r\n' % (len(event), event)
            self.write_answer(writer, chunk, False)
            await writer.drain()
            await asyncio.sleep(self.event_time)
        self.running.pop(request_id, None)
        self.world.record.add('run_ended', id=request_id)
        self.write_answer(writer, b'0\r\n\r\n')


class FaultyEngine(Engine):
    """Engine that sends some of its answers a second time.

    The second copy comes where the next response on the connection is
    expected.
    """

    share = 0.0
    """Share of the answers that come again."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._written = weakref.WeakKeyDictionary()
        self._extra = weakref.WeakKeyDictionary()

    def write_answer(self, writer, data, is_end=True):
        """Write the next part of an answer, after a late second copy."""
        if writer not in self._written:
            extra = self._extra.pop(writer, None)
            if extra is not None:
                first = extra.partition(b'\r\n')[0].decode()
                self.world.record.add(
                    'second_copy', server=self.server_id, of=first.split()[1]
                )
                writer.write(extra)
        self._written[writer] = self._written.get(writer, b'') + data
        writer.write(data)
        if is_end:
            whole = self._written.pop(writer)
            if random.random() < self.share:
                self._extra[writer] = whole
