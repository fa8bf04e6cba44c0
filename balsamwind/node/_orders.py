"""Carries out the actions of a shard's planner, order by order."""

import asyncio

from balsamwind import exceptions
from balsamwind import pool

ORDER_TIMEOUT = 0.5
"""Longest wait for the answer to an order (seconds)."""

TRIES = 3
"""How often an order without an answer is given (count)."""

POLL = 0.02
"""How often the registry is looked at (seconds)."""

QUICK_JOIN = 0.2
"""Time of a join with the model of the engine's last group (seconds)."""

JOIN_SLACK = 1.5
"""How much longer than expected a join may take (seconds)."""

CLOSE_TIMEOUT = 3.0
"""How long a group that closes may finish its requests (seconds)."""

CUT_TIMEOUT = 1.0
"""How long a group takes to close when its requests are cut (seconds)."""

EPOCHS_A_LEASE = 100000
"""Epochs that one holder of a lease may use (count)."""


class OrderGiver:
    """Gives orders while the lease is held.

    Parameters
    ----------
    shard : str
        Name of the shard.
    outside, registry, lease, prober, log
        The platform, entries, lease of the shard, who answers, log.
    """

    def __init__(self, shard, outside, registry, lease, prober, log):
        self._shard = shard
        self._outside = outside
        self._registry = registry
        self._lease = lease
        self._prober = prober
        self._log = log
        self._count = 0
        self._sequences = {}
        self._closed = set()
        self.busy = set()
        self.forming = {}

    def start(self, action, terms):
        """Carry out an action of the planner, beside others."""
        match action:
            case pool.CloseGroup(group=group):
                members = group.members
                work = self._close(action)
            case pool.OpenGroup(group=group):
                members = group.members
                work = self._open(group.head, group.name, group.epoch, terms)
            case pool.FormGroup(members=members):
                work = self._form(action, terms)
            case pool.StageModel(engine=engine, model=model):
                members = (engine,)
                work = self._stage(engine, model)
        ids = {member.server_id for member in members}
        self.busy |= ids
        asyncio.ensure_future(self._run(work, ids, action))

    async def _run(self, work, ids, action):
        try:
            await work
        except exceptions.BalsamwindError as error:
            self._log.warning(
                'action_failed',
                action=type(action).__name__,
                engines=sorted(ids),
                reason=str(error),
            )
        except Exception:
            self._log.exception('action_crashed')
        finally:
            self.busy -= ids

    def _make_epoch(self):
        self._count += 1
        return self._lease.fencing * EPOCHS_A_LEASE + self._count

    async def _order(self, record, order):
        """Give one order once.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The lease is no longer held.
        """
        if not self._lease.held:
            raise exceptions.Conflict('the lease is no longer held')
        sequence = await self._find_sequence(record)
        if not self._lease.held:
            raise exceptions.Conflict('the lease is no longer held')
        result = await self._outside.order(
            record, order, self._lease.fencing, sequence, ORDER_TIMEOUT
        )
        self._note_result(record, sequence, result)
        if result is pool.OrderResult.FENCED:
            self._lease.lose(f'{record.server_id}: {order}')
        self._log.debug(
            'order',
            engine=record.server_id,
            order=repr(order),
            result=result.value,
        )
        return result

    async def _find_sequence(self, record):
        """Orders that the engine has accepted since its start (count)."""
        life = (record.server_id, record.born)
        sequence = self._sequences.get(life)
        if sequence is None:
            report = await self._outside.ask_engine(record, ORDER_TIMEOUT)
            sequence = self._sequences[life] = report.sequence
        return sequence

    def _note_result(self, record, sequence, result):
        life = (record.server_id, record.born)
        if result is pool.OrderResult.BEGUN:
            self._sequences[life] = sequence + 1
        elif result is not pool.OrderResult.DONE:
            self._sequences.pop(life, None)

    async def _form(self, action, terms):
        members = action.members
        epoch = self._make_epoch()
        ids = tuple(member.server_id for member in members)
        name = pool.make_group_name(action.model, self._shard, epoch)
        order = pool.Join(name, epoch, action.model, ids)
        self._log.info(
            'group_forming',
            group=name,
            members=ids,
            was=[member.model for member in members],
        )
        size = len(ids)
        self.forming[action.model] = self.forming.get(action.model, 0) + size
        try:
            await self._check_released(members)
            results = await asyncio.gather(
                *(self._join(member, order) for member in members)
            )
            if not all(results):
                self._log.info('group_not_formed', group=name, joins=results)
                return
            limit = _expect_join(members, action.model, terms) + JOIN_SLACK
            if not await self._wait_ready(ids, order, limit):
                self._log.info(
                    'group_not_ready', group=name, states=self._states(ids)
                )
                return
            await self._open(members[0], name, epoch, terms)
        finally:
            self.forming[action.model] -= size

    async def _check_released(self, members):
        """Ask the heads of the members' last groups whether they are open.

        Heads that were closed from here are not asked, as reports lag.

        Raises
        ------
        balsamwind.exceptions.Conflict
            One is, whatever the entries say.
        balsamwind.exceptions.TransportError
            One does not answer.
        """
        keys = {item.membership.key for item in members if item.membership}
        keys -= self._closed
        heads = [
            record
            for record in self._registry
            if record.membership is not None
            and record.membership.rank == 0
            and record.membership.key in keys
            and record.server_id not in self._prober.down
        ]
        reports = await asyncio.gather(
            *(self._outside.ask_engine(head, ORDER_TIMEOUT) for head in heads)
        )
        for head, report in zip(heads, reports, strict=True):
            if report.born == head.born and _heads_open_group(report):
                raise exceptions.Conflict(
                    f'{head.server_id} heads {report.membership}'
                )

    def _states(self, ids):
        rows = {}
        for server_id in ids:
            record = self._registry.get(server_id)
            rows[server_id] = repr(record and record.membership)
        return rows

    async def _join(self, member, order):
        for _ in range(TRIES):
            result = await self._order(member, order)
            if result.accepted:
                return True
            if result not in (
                pool.OrderResult.UNKNOWN,
                pool.OrderResult.UNFIT,
            ):
                return False
            if member.server_id in self._prober.down:
                return False
        return False

    async def _wait_ready(self, ids, order, limit):
        key = (order.group, order.epoch)
        for _ in range(int(limit / POLL)):
            waiting = 0
            for server_id in ids:
                record = self._registry.get(server_id)
                if record is None or not record.usable:
                    return False
                if server_id in self._prober.down:
                    return False
                place = record.membership
                if (
                    place is None
                    or place.key != key
                    or place.state is not pool.MemberState.READY
                ):
                    waiting += 1
            if not waiting:
                return True
            await asyncio.sleep(POLL)
        return False

    async def _open(self, head, name, epoch, terms):
        for _ in range(TRIES):
            result = await self._order(head, pool.Open(name, epoch))
            if result.accepted:
                break
            if result is pool.OrderResult.FENCED:
                return
            await asyncio.sleep(5 * POLL)
        else:
            self._log.info('group_not_opened', group=name)
            return
        limit = terms.form_time + JOIN_SLACK
        state = await self._wait_state(
            head, (name, epoch), {pool.MemberState.READY}, limit
        )
        self._log.info('group_opened', group=name, state=state)

    async def _wait_state(self, head, key, states, limit):
        """Wait until the head's state is none of `states`; its name."""
        for _ in range(int(limit / POLL)):
            record = self._registry.get(head.server_id)
            place = record and record.membership
            if place is None or place.key != key:
                return 'gone'
            if place.state not in states:
                return place.state.value
            if head.server_id in self._prober.down:
                return 'down'
            await asyncio.sleep(POLL)
        return 'late'

    async def _close(self, action):
        group = action.group
        self._log.info(
            'group_closing',
            group=group.name,
            cut=action.cut,
            reason=action.reason,
        )
        cut = action.cut
        states = {pool.MemberState.OPEN, pool.MemberState.CLOSING}
        for limit in (CUT_TIMEOUT if cut else CLOSE_TIMEOUT, CUT_TIMEOUT):
            order = pool.Close(group.name, group.epoch, cut)
            result = await self._order(group.head, order)
            if result is pool.OrderResult.FENCED:
                return
            state = await self._wait_state(
                group.head, group.key, states, limit
            )
            if state == pool.MemberState.READY.value:
                self._closed.add(group.key)
            if state != 'late':
                break
            cut = True
        self._log.info(
            'group_closed',
            group=group.name,
            state=state,
            result=result.value,
        )

    async def _stage(self, engine, model):
        result = await self._order(engine, pool.Stage(model))
        self._log.info(
            'model_staging',
            engine=engine.server_id,
            model=model,
            result=result.value,
        )
        if result.accepted:
            for _ in range(int(CLOSE_TIMEOUT / POLL)):
                record = self._registry.get(engine.server_id)
                if record is None or model in record.staged:
                    return
                await asyncio.sleep(POLL)


def _heads_open_group(report):
    place = report.membership
    return (
        place is not None
        and place.rank == 0
        and place.state in (pool.MemberState.OPEN, pool.MemberState.CLOSING)
    )


def _expect_join(members, model, terms):
    """Longest time that the joins of these members take (seconds)."""
    known = terms.find_model(model)
    times = []
    for member in members:
        if member.model == model:
            times.append(QUICK_JOIN)
        elif model in member.staged:
            times.append(known.warm_time)
        else:
            times.append(known.load_time)
    return max(times)
