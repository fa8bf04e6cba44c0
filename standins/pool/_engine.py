"""A model engine that carries out orders and streams events."""

import asyncio
import contextlib
import time

SERVING_STATES = ('open', 'closing')
"""States of a head in which requests may run."""


class GroupBroken(Exception):
    """The group of a request is broken, closed or another one by now."""


class Engine:
    """One engine.

    Parameters
    ----------
    platform : FakePlatform
        Gives the other engines, the store, the durations and the trace.
    server_id : str
        Id of the engine.
    service : str
        Name of the service.
    zone : str
        Data centre of the engine.
    domain : str
        Fabric domain of the engine.
    port : int
        Port that it listens on.
    address : str or None
        Address in its entry; None for the loopback address with `port`.

    Attributes
    ----------
    incarnation : int
        Number that grows with each restart, published as ``born``.
    staged : list of str
        Models whose weights are staged.
    state : str
        State in its entry.
    slot_count : int
        Requests that can run at the same time (count).
    queue_limit : int
        Requests that can wait for a slot (count).
    dark : bool
        Whether all calls to it hang and its streams pause, as on a frozen
        host.
    gone : bool
        Whether it resets all new calls, as if its process were dead.
    leaving : bool
        Whether all its answers say that it is leaving.
    rate_limit : float or None
        Requests that it takes from all nodes (per second), which all its
        answers state; None if they state none.
    arrival_times : list of float
        When requests reached it (seconds, monotonic clock).
    cut_from_store : bool
        Whether it cannot write its entry.
    served_headers : list of dict
        Headers of the requests that ran.
    cut_after_event : int or None
        Number of the event after which a stream breaks off in the middle of
        the next one; None if streams are whole.
    event_count : int
        Events of a stream (count).
    event_interval : float
        Time between two events (seconds).
    late_orders : float
        Share of orders that get no answer and are carried out later.
    broken_share : float
        Share of streams whose answer has a broken head.
    order_count : int
        Accepted orders that started work or left a group (count); reported as
        ``Seq``.
    fencing_number : int
        Fencing number of the last order; orders with a lower one are refused.
    group : dict or None
        Group that it belongs to, with name, epoch, rank and state.
    members : tuple of str
        Ids of the engines of the group; the first is the head.
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
        self.incarnation = 1700000000000 + port
        self._tasks = set()
        self._staging_ends_at = {}
        self.open_handlers = set()
        self.staged = []
        self.state = 'ready'
        self.slot_count = 9
        self.queue_limit = 20
        self.dark = False
        self.leaving = False
        self.rate_limit = None
        self.arrival_times = []
        self.cut_from_store = False
        self.gone = False
        self.served_headers = []
        self.cut_after_event = None
        self.event_count = 6
        self.event_interval = 0.01
        self.late_orders = 0.0
        self.broken_share = 0.0
        self._reset_state()

    def _reset_state(self):
        """Set the state of a process that has just started."""
        self.order_count = 0
        self.fencing_number = 0
        self.model = ''
        self.group = None
        self.members = ()
        self._last_epoch = 0
        self._last_model = ''
        self.running = 0
        self.waiting = 0
        self._stalled_since = None

    @property
    def group_key(self):
        """Name and epoch of its group, or None."""
        if self.group is None:
            return None
        return (self.group['Name'], self.group['epoch'])

    @property
    def alive(self):
        """Whether it works: neither hung nor dead."""
        return not self.dark and not self.gone

    def write_entry(self):
        """Write the entry of this engine if it can reach the store."""
        if not self._platform.can_write_entry(self):
            return
        spec = {
            'Service': self.service,
            'Address': self._address,
            'Zone': self._zone,
            'SlotCount': self.slot_count,
            'State': self.state,
            'Seq': 99,
            'Domain': self._domain,
            **self._describe_state(),
        }
        self._platform.store.put('servers', self.server_id, spec)

    def _describe_state(self):
        models = [{'Name': self.model}] if self.model else []
        return {
            'born': self.incarnation,
            'Models': models,
            'Staged': list(self.staged),
            'group': self.group and dict(self.group),
        }

    def report(self):
        """Make the load report.

        Returns
        -------
        dict
        """
        return {
            'Seq': self.order_count,
            'NumRunning': self.running,
            'NumQueued': self.waiting,
            'pace': 1.0,
            **self._describe_state(),
        }

    def kill(self):
        """Lose state, tasks and connections, as a killed process does."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self._staging_ends_at.clear()
        for handler in list(self.open_handlers):
            handler.request.connection.stream.close()
        self._reset_state()

    def restart(self):
        """Kill the engine and start it again under the same id.

        The new process has a higher incarnation number.
        """
        self.kill()
        self.leaving = False
        self.rate_limit = None
        self.incarnation += 1
        self.state = 'ready'
        self.write_entry()

    def apply_order(self, data):
        """Carry out an order, or refuse it.

        Parameters
        ----------
        data : dict
            Order as it was received.

        Returns
        -------
        int
            HTTP status of the answer: 202 if the order was accepted, 200 if it
            was carried out before, 400 for an unknown operation, 409 if the
            precondition or the state does not fit, and 412 for an older
            fencing number or epoch, or for a join of the current group with
            other members.
        """
        if data.get('Fence', 0) < self.fencing_number:
            return 412
        self.fencing_number = data.get('Fence', 0)
        if data.get('Precondition', self.order_count) != self.order_count:
            return 409
        match data['Operation']:
            case 'join':
                return self._join(data)
            case 'open' | 'close' | 'leave':
                return self._change_group(data)
            case 'stage' | 'Stage':
                return self._stage(data['Model'])
        return 400

    def _start_task(self, coroutine):
        """Count an order, and start the task that carries it out."""
        self.order_count += 1
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _stage(self, model):
        if model in self.staged:
            return 200
        self._platform.trace.record_load(self._platform.times)
        self._staging_ends_at[model] = (
            time.monotonic() + self._platform.times.load
        )
        self._start_task(self._finish_staging(model))
        return 202

    async def _finish_staging(self, model):
        await asyncio.sleep(self._platform.times.load)
        self._staging_ends_at.pop(model, None)
        self.staged = [model]
        self.write_entry()

    def _join(self, data):
        group_key = (data['group'], data['epoch'])
        if data['epoch'] < self._last_epoch:
            return 412
        if group_key == self.group_key:
            same_members = tuple(data['Members']) == self.members
            return 200 if same_members else 412
        self._check_not_in_use()
        self._last_epoch = data['epoch']
        self.members = tuple(data['Members'])
        self.group = {
            'Name': data['group'],
            'epoch': data['epoch'],
            'rank': data['Members'].index(self.server_id),
            'State': 'joining',
        }
        self._start_task(self._finish_join(group_key, data['Model']))
        self.write_entry()
        return 202

    def _check_not_in_use(self):
        """Check that the head of the old group no longer serves."""
        if self.group is None:
            return
        head = self._platform.engines.get(self.members[0])
        if (
            head is not None
            and head.group_key == self.group_key
            and not head.gone
            and head.group['State'] in SERVING_STATES
        ):
            self._platform.trace.add_violation(
                'TWO',
                f'{self.server_id} left {self.group_key} '
                f'while its head still serves: {head.group}',
            )

    async def _finish_join(self, group_key, model):
        await asyncio.sleep(self._start_model_switch(model))
        if self.group_key != group_key:
            return
        self.model = self._last_model = model
        self.group['State'] = 'ready'
        self._platform.trace.record_ready(self.server_id, group_key)
        self.write_entry()

    def _start_model_switch(self, model):
        times = self._platform.times
        if model == self._last_model:
            return times.quick_join
        if model in self.staged:
            return times.warm
        if model in self._staging_ends_at:
            remaining = self._staging_ends_at[model] - time.monotonic()
            return max(0.0, remaining) + times.warm
        self._platform.trace.record_load(times)
        self.staged = [model]
        return times.load

    def _change_group(self, data):
        if self.group is None or self.group_key != (
            data['group'],
            data['epoch'],
        ):
            return 409
        match data['Operation'], self.group['State']:
            case 'leave', _:
                self.group = None
                self.order_count += 1
                self.write_entry()
                return 202
            case 'open', 'open':
                return 200
            case 'open', 'ready':
                self._start_task(self._finish_open(self.group_key))
                return 202
            case 'close', 'ready':
                return 200
            case 'close', _:
                cut = data.get('CloseMode') == 'cut'
                self._start_task(self._finish_close(self.group_key, cut))
                return 202
        return 409

    async def _finish_open(self, group_key):
        await asyncio.sleep(self._platform.times.form)
        if self.group_key == group_key and self.group['State'] == 'ready':
            self._set_state('open')

    async def _finish_close(self, group_key, cut):
        self._set_state('closing')
        while self.running and not cut and self.group_key == group_key:
            await asyncio.sleep(0.02)
        if self.group_key == group_key and self.group['State'] == 'closing':
            self._set_state('ready')

    def _set_state(self, state):
        self.group['State'] = state
        self._stalled_since = None
        self.write_entry()

    def break_if_stalled(self):
        """Break the group if it has lacked a member for too long.

        The limit is `Times.stall`.
        """
        if self.group is None or self.group['State'] not in SERVING_STATES:
            return
        if self._are_members_alive():
            self._stalled_since = None
            return
        now = time.monotonic()
        if self._stalled_since is None:
            self._stalled_since = now
        if now - self._stalled_since > self._platform.times.stall:
            self._set_state('broken')

    def _are_members_alive(self):
        engines = [
            self._platform.engines.get(member) for member in self.members
        ]
        return all(
            member is not None
            and member.alive
            and member.group_key == self.group_key
            for member in engines
        )

    @contextlib.contextmanager
    def admit(self):
        """Count a request as waiting until the block ends.

        Yields
        ------
        bool
            False if neither a slot nor a place in the queue is free.
        """
        if self.running + self.waiting >= self.slot_count + self.queue_limit:
            yield False
            return
        self.waiting += 1
        try:
            yield True
        finally:
            self.waiting -= 1

    async def acquire_slot(self, size):
        """Wait for a slot in the current group, and check that it is complete.

        Parameters
        ----------
        size : int
            Members that the group must have (count).

        Returns
        -------
        (str, int)
            Name and epoch of the group.

        Raises
        ------
        GroupBroken
            The group stopped serving while the request waited.
        """
        group_key = self.group_key
        while self.running >= self.slot_count or self._is_stalled():
            await asyncio.sleep(0.01)
            self._check_serving(group_key)
        self._check_serving(group_key)
        self.running += 1
        self._platform.trace.check_group_complete(
            group_key, self.members, size
        )
        return group_key

    async def wait_while_stalled(self, group_key, is_abandoned):
        """Wait while the group lacks a member or this engine hangs.

        Parameters
        ----------
        group_key : tuple
            Name and epoch of the group in which the request runs.
        is_abandoned : callable
            Returns whether the request has lost its connection, which ends
            the wait.

        Raises
        ------
        GroupBroken
            It is broken, closed, or another one by now.
        """
        self._check_serving(group_key)
        while self._is_stalled() and not is_abandoned():
            await asyncio.sleep(0.01)
            self._check_serving(group_key)

    def _is_stalled(self):
        return self.dark or self._stalled_since is not None

    def _check_serving(self, group_key):
        if (
            self.group_key != group_key
            or self.group['State'] not in SERVING_STATES
        ):
            raise GroupBroken(str(self.group))
