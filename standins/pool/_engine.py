"""A model engine that follows orders and streams events."""

import asyncio
import contextlib
import time

BUSY_STATES = ('open', 'closing')
"""States of a head in which requests may run."""


class GroupBroken(Exception):
    """The group of the request has lost a member for too long."""


class Engine:
    """One engine.

    Parameters
    ----------
    platform : PoolPlatform
        Other engines, the store, how long things take, and the witness.
    server_id, service, zone, domain : str
        Identity and place.
    port : int
        Where it listens.
    address : str or None
        Address in its entry, if that is not the port.
    """

    def __init__(
        self, platform, server_id, service, zone, domain, port, address=None
    ):
        self.server_id = server_id
        self.port = port
        self._platform = platform
        self.service = service
        self._zone = zone
        self._domain = domain
        self._address = address or f'127.0.0.1:{port}'
        self.born = 1700000000000 + port
        self._work = set()
        self._staging = {}
        self.handlers = set()
        self.staged = []
        self.state = 'ready'
        self.slots = 9
        self.queue = 20
        self.dark = False
        self.cut_from_store = False
        self.gone = False
        self.served = []
        self.cut_after = None
        self.events = 6
        self.pause = 0.01
        self.late_orders = 0.0
        self._forget()

    def _forget(self):
        """Start anew, as a process that has just begun."""
        self.orders = 0
        self.fence = 0
        self.model = ''
        self.group = None
        self.members = ()
        self._epochs = 0
        self._last_model = ''
        self.running = 0
        self.waiting = 0
        self._stalled_at = None

    @property
    def key(self):
        """Name and epoch of its group, or None."""
        if self.group is None:
            return None
        return (self.group['Name'], self.group['epoch'])

    @property
    def alive(self):
        """Whether it does its work."""
        return not self.dark and not self.gone

    def write_entry(self):
        """Write this engine's entry, if it reaches the store."""
        if not self._platform.may_write(self):
            return
        spec = {
            'Service': self.service,
            'Address': self._address,
            'Zone': self._zone,
            'SlotCount': self.slots,
            'State': self.state,
            'Seq': 99,
            'Domain': self._domain,
            **self._describe(),
        }
        self._platform.store.put('servers', self.server_id, spec)

    def _describe(self):
        models = [{'Name': self.model}] if self.model else []
        return {
            'born': self.born,
            'Models': models,
            'Staged': list(self.staged),
            'group': self.group and dict(self.group),
        }

    def report(self):
        """What it says of itself."""
        return {
            'Seq': self.orders,
            'NumRunning': self.running,
            'NumQueued': self.waiting,
            'pace': 1.0,
            **self._describe(),
        }

    def end(self):
        """End as a process that is killed."""
        for task in self._work:
            task.cancel()
        self._work.clear()
        self._staging.clear()
        for handler in list(self.handlers):
            handler.request.connection.stream.close()
        self._forget()

    def restart(self):
        """End all that runs and start again under the same id."""
        self.end()
        self.born += 1
        self.state = 'ready'
        self.write_entry()

    def order(self, data):
        """Take an order; the status of the answer."""
        if data.get('Fence', 0) < self.fence:
            return 412
        self.fence = data.get('Fence', 0)
        if data.get('Precondition', self.orders) != self.orders:
            return 409
        match data['Operation']:
            case 'join':
                return self._join(data)
            case 'open' | 'close' | 'leave':
                return self._change(data)
            case 'stage' | 'Stage':
                return self._stage(data['Model'])
        return 400

    def _begin(self, work):
        """Carry out an order; at once if it takes no time."""
        self.orders += 1
        task = asyncio.ensure_future(work)
        self._work.add(task)
        task.add_done_callback(self._work.discard)

    def _stage(self, model):
        if model in self.staged:
            return 200
        self._platform.witness.note_load(self._platform.times)
        self._staging[model] = time.monotonic() + self._platform.times.load
        self._begin(self._finish_staging(model))
        return 202

    async def _finish_staging(self, model):
        await asyncio.sleep(self._platform.times.load)
        self._staging.pop(model, None)
        self.staged = [model]
        self.write_entry()

    def _join(self, data):
        key = (data['group'], data['epoch'])
        if data['epoch'] < self._epochs:
            return 412
        if key == self.key:
            same = tuple(data['Members']) == self.members
            return 200 if same else 412
        self._check_left()
        self._epochs = data['epoch']
        self.members = tuple(data['Members'])
        self.group = {
            'Name': data['group'],
            'epoch': data['epoch'],
            'rank': data['Members'].index(self.server_id),
            'State': 'joining',
        }
        self._begin(self._finish_join(key, data['Model']))
        self.write_entry()
        return 202

    def _check_left(self):
        """Check that no head may still use this engine."""
        if self.group is None:
            return
        head = self._platform.engines.get(self.members[0])
        if (
            head is not None
            and head.key == self.key
            and not head.gone
            and head.group['State'] in BUSY_STATES
        ):
            self._platform.witness.violate(
                'TWO', f'{self.server_id} leaves {self.key} of {head.group}'
            )

    async def _finish_join(self, key, model):
        await asyncio.sleep(self._find_join_time(model))
        if self.key != key:
            return
        self.model = self._last_model = model
        self.group['State'] = 'ready'
        self._platform.witness.note_ready(self.server_id, key)
        self.write_entry()

    def _find_join_time(self, model):
        times = self._platform.times
        if model == self._last_model:
            return times.quick_join
        if model in self.staged:
            return times.warm
        if model in self._staging:
            left = self._staging[model] - time.monotonic()
            return max(0.0, left) + times.warm
        self._platform.witness.note_load(times)
        self.staged = [model]
        return times.load

    def _change(self, data):
        if self.group is None or self.key != (data['group'], data['epoch']):
            return 409
        match data['Operation'], self.group['State']:
            case 'leave', _:
                self.group = None
                self.orders += 1
                self.write_entry()
                return 202
            case 'open', 'open':
                return 200
            case 'open', 'ready':
                self._begin(self._finish_open(self.key))
                return 202
            case 'close', 'ready':
                return 200
            case 'close', _:
                cut = data.get('CloseMode') == 'cut'
                self._begin(self._finish_close(self.key, cut))
                return 202
        return 409

    async def _finish_open(self, key):
        await asyncio.sleep(self._platform.times.form)
        if self.key == key and self.group['State'] == 'ready':
            self._set_state('open')

    async def _finish_close(self, key, cut):
        self._set_state('closing')
        while self.running and not cut and self.key == key:
            await asyncio.sleep(0.02)
        if self.key == key and self.group['State'] == 'closing':
            self._set_state('ready')

    def _set_state(self, state):
        self.group['State'] = state
        self._stalled_at = None
        self.write_entry()

    def watch_members(self):
        """Break the group if a member has been lost for too long."""
        if self.group is None or self.group['State'] not in BUSY_STATES:
            return
        if self._has_all_members():
            self._stalled_at = None
            return
        now = time.monotonic()
        if self._stalled_at is None:
            self._stalled_at = now
        if now - self._stalled_at > self._platform.times.stall:
            self._set_state('broken')

    def _has_all_members(self):
        engines = [self._platform.engines.get(item) for item in self.members]
        return all(
            item is not None and item.alive and item.key == self.key
            for item in engines
        )

    @contextlib.contextmanager
    def admit(self):
        """Count a request until the block ends; False if there is no room.

        Yields
        ------
        bool
        """
        if self.running + self.waiting >= self.slots + self.queue:
            yield False
            return
        self.waiting += 1
        try:
            yield True
        finally:
            self.waiting -= 1

    async def start_work(self, size):
        """Wait for a slot; check the group when work begins in it."""
        key = self.key
        while self.running >= self.slots or self._stands_still():
            await asyncio.sleep(0.01)
            self._check_open(key)
        self._check_open(key)
        self.running += 1
        self._platform.witness.check_whole(key, self.members, size)
        return key

    async def go_on(self, key):
        """Wait while the group stands still.

        Raises
        ------
        GroupBroken
            It is broken, closed, or another one by now.
        """
        self._check_open(key)
        while self._stands_still():
            await asyncio.sleep(0.01)
            self._check_open(key)

    def _stands_still(self):
        return self.dark or self._stalled_at is not None

    def _check_open(self, key):
        if self.key != key or self.group['State'] not in BUSY_STATES:
            raise GroupBroken(str(self.group))
