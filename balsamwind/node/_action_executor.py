"""Execution of the planner's actions by orders to the engines of a shard."""

import asyncio
import collections

from balsamwind import exceptions
from balsamwind.node import _order_sender
from balsamwind import pool

MAX_ATTEMPTS = 3
"""Number of attempts at a join or an opening before it is given up (count)."""

POLL_INTERVAL = 0.02
"""Time between two looks at the registry while waiting for a state
(seconds)."""

SAME_MODEL_JOIN_TIME = 0.2
"""Duration of a join if the engine still holds the model, which was that of
its last group (seconds)."""

JOIN_MARGIN = 1.5
"""Time added to the expected duration of a join or an opening before the
executor gives up waiting (seconds)."""

CLOSE_TIMEOUT = 3.0
"""Time that a closing group has to finish its requests, and longest wait for a
model to be staged (seconds)."""

CUT_TIMEOUT = 1.0
"""Time that a group has to close when its requests are aborted (seconds)."""

EPOCHS_PER_LEASE = 100000
"""Epochs reserved for one holder of a lease (count). Epochs of a later holder
are larger, because they begin at the fencing number times this number."""


class ActionExecutor:
    """Executes planned actions while the lease of the shard is held.

    Parameters
    ----------
    shard : str
        Name of the shard.
    platform : balsamwind.platform.PlatformClient
        Client of the engines.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    lease : ShardLease
        Lease of the shard.
    prober : Prober
        Health checks of the shard's engines.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the shard.

    Attributes
    ----------
    orders : OrderSender
        Sends the orders.
    forming : dict of str to int
        Engines of the groups that are being formed, by model (count).
    break_time : float
        Time after which the head of an open group that has lost a member has
        broken it (seconds).
    """

    def __init__(self, shard, platform, registry, lease, prober, clock, log):
        self._shard = shard
        self._platform = platform
        self._registry = registry
        self._lease = lease
        self._prober = prober
        self._log = log
        self._epoch_count = 0
        self._known_closed = set()
        self._closed_under = lease.fencing
        self._actions_in_progress = collections.Counter()
        self.orders = _order_sender.OrderSender(
            platform, registry, lease, clock, log
        )
        self.forming = {}
        self.break_time = float('inf')

    @property
    def _closed_groups(self):
        """Keys of groups that were closed under the present lease (set).

        Another leader may have opened earlier ones again.
        """
        if self._closed_under != self._lease.fencing:
            self._closed_under = self._lease.fencing
            self._known_closed.clear()
        return self._known_closed

    @property
    def busy(self):
        """Ids of the engines that an action in progress deals with."""
        return self._actions_in_progress.keys()

    def start(self, action, engine_profile):
        """Start executing an action concurrently with those in progress.

        Parameters
        ----------
        action : CloseGroup, OpenGroup, FormGroup, StageModel or DisbandGroup
            Action of the planner, from :mod:`balsamwind.pool`.
        engine_profile : balsamwind.traffic.EngineProfile
            Profile of the engines of the service.
        """
        match action:
            case pool.CloseGroup(group=group):
                members = group.members
                coroutine = self._close_group(action)
            case pool.OpenGroup(group=group):
                members = group.members
                coroutine = self._adopt_and_open(group, engine_profile)
            case pool.FormGroup(members=members):
                coroutine = self._form_group(action, engine_profile)
            case pool.StageModel(engine=engine, model=model):
                members = (engine,)
                coroutine = self._stage_model(engine, model)
            case pool.DisbandGroup(members=members):
                coroutine = self._disband_group(action)
        ids = {member.server_id for member in members}
        self._actions_in_progress.update(ids)
        asyncio.ensure_future(
            self._run_action(coroutine, ids, action, self._lease.fencing)
        )

    async def _run_action(self, coroutine, ids, action, fencing):
        _order_sender.PLANNED_UNDER.set(fencing)
        try:
            await coroutine
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
            # A model may be staged while its engine joins a group.
            self._actions_in_progress -= collections.Counter(ids)

    def _next_epoch(self):
        self._epoch_count += 1
        return self._lease.fencing * EPOCHS_PER_LEASE + self._epoch_count

    async def _form_group(self, action, engine_profile):
        members = action.members
        epoch = self._next_epoch()
        ids = tuple(member.server_id for member in members)
        name = pool.make_group_name(action.model, self._shard, epoch)
        order = pool.Join(name, epoch, action.model, ids)
        self._log.info(
            'group_forming',
            group=name,
            members=ids,
            was=[member.model for member in members],
        )
        self._log_reuse(action)
        member_count = len(ids)
        self.forming[action.model] = (
            self.forming.get(action.model, 0) + member_count
        )
        try:
            await self.orders.check_members(members, order)
            await self._release(members, action.evidence)
            if not await self._join_members(members, order):
                return
            timeout = (
                _estimate_join_time(members, action.model, engine_profile)
                + JOIN_MARGIN
            )
            if not await self._wait_ready(ids, order, timeout):
                self._log.info(
                    'group_not_ready',
                    group=name,
                    states=self._describe_memberships(ids),
                )
                return
            await self._open_group(members[0], name, epoch, engine_profile)
        finally:
            self.forming[action.model] -= member_count

    def _log_reuse(self, action):
        """Log what shows that the last groups of members are not open.

        A head that says itself that it does not serve is the usual case.
        """
        for member in action.members:
            match action.evidence.get(member.server_id):
                case None | pool.HeadNotServing():
                    continue
                case evidence:
                    self._log.info(
                        'member_reused',
                        engine=member.server_id,
                        group=member.membership.group,
                        evidence=repr(evidence),
                    )

    async def _disband_group(self, action):
        """Order members to leave, and hold them until no head can be open.

        Other members than those that have left do not matter: a group that
        lacks one moves nothing, and is broken after the stall bound.
        """
        group = action.group
        self._log.info(
            'group_disbanding',
            group=group.name,
            members=[member.server_id for member in action.members],
            reason=action.reason,
        )
        order = pool.Leave(group.name, group.epoch)
        results = await asyncio.gather(
            *(self._order_to_leave(member, order) for member in action.members)
        )
        await asyncio.sleep(self.break_time)
        self._log.info('group_disbanded', group=group.name, left=results)

    async def _order_to_leave(self, member, order):
        """Order one engine to leave; whether it has."""
        for _ in range(MAX_ATTEMPTS):
            result = await self.orders.send(member, order)
            if result.accepted:
                return True
            if result is not pool.OrderResult.UNKNOWN:
                return False
        return False

    async def _release(self, members, evidence):
        """See to it that the members' last groups are not open, and stay so.

        A late order of an earlier holder of the lease may open a group after
        its head was asked. A head that is not among the members leaves its
        group; one that is among them joins first. Heads of groups that this
        executor has closed under its present lease are not asked, because
        their reports may lag behind; they refuse older orders already.

        Raises
        ------
        balsamwind.exceptions.Conflict
            A head reports that its group is open, whatever the entries say,
            or does not leave it.
        balsamwind.exceptions.TransportError
            A head does not answer.
        """
        heads = self._find_last_heads(members, evidence)
        reports = await asyncio.gather(
            *(
                self._platform.fetch_engine_report(
                    head, _order_sender.ORDER_TIMEOUT
                )
                for head in heads
            )
        )
        for head, report in zip(heads, reports, strict=True):
            _order_sender.check_not_serving(head, report)
        member_ids = {member.server_id for member in members}
        await asyncio.gather(
            *(
                self._make_leave(head)
                for head in heads
                if head.server_id not in member_ids
            )
        )

    def _find_last_heads(self, members, evidence):
        """Find the heads that must answer before the members are moved.

        One that does not answer need not only if the plan stands on evidence
        for that: its entry may lag behind its opening.
        """
        keys = {item.membership.key for item in members if item.membership}
        keys -= self._closed_groups
        answering_keys = {
            item.membership.key
            for item in members
            if item.membership and _needs_answer(evidence.get(item.server_id))
        }
        return [
            record
            for record in map(self.orders.reported.correct, self._registry)
            if record.membership is not None
            and record.membership.rank == 0
            and record.membership.key in keys
            and (
                record.server_id not in self._prober.down
                or record.membership.key in answering_keys
            )
        ]

    async def _make_leave(self, head):
        membership = head.membership
        if membership.state is pool.MemberState.BROKEN:
            return
        order = pool.Leave(membership.group, membership.epoch)
        result = await self.orders.send(head, order)
        if not result.accepted:
            raise exceptions.Conflict(
                f'{head.server_id} does not leave its group: {result.value}'
            )

    async def _join_members(self, members, order):
        """Order engines to join; the heads of their last groups come first.

        Returns
        -------
        bool
            Whether all have accepted.
        """
        heads = [
            member
            for member in members
            if member.membership is not None and member.membership.rank == 0
        ]
        others = [member for member in members if member not in heads]
        for part in (heads, others):
            results = await asyncio.gather(
                *(self._join_member(member, order) for member in part)
            )
            if not all(results):
                self._log.info(
                    'group_not_formed', group=order.group, joins=results
                )
                return False
        return True

    def _describe_memberships(self, ids):
        memberships = {}
        for server_id in ids:
            record = self._registry.get(server_id)
            memberships[server_id] = repr(record and record.membership)
        return memberships

    async def _join_member(self, member, order):
        for _ in range(MAX_ATTEMPTS):
            result = await self.orders.send(member, order)
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

    async def _wait_ready(self, ids, order, timeout):
        key = (order.group, order.epoch)
        for _ in range(int(timeout / POLL_INTERVAL)):
            pending = 0
            for server_id in ids:
                record = self._registry.get(server_id)
                if record is None or not record.usable:
                    return False
                if server_id in self._prober.down:
                    return False
                membership = record.membership
                if (
                    membership is None
                    or membership.key != key
                    or membership.state is not pool.MemberState.READY
                ):
                    pending += 1
            if not pending:
                return True
            await asyncio.sleep(POLL_INTERVAL)
        return False

    async def _adopt_and_open(self, group, engine_profile):
        """Open a group that stands, as no late order can take its members.

        The last holder of the lease may have ordered members to join another
        group, without an answer. Once an engine has seen the fencing number of
        this lease, it refuses orders of the last one. To join the group that
        it is in changes nothing else.
        """
        ids = tuple(member.server_id for member in group.members)
        order = pool.Join(group.name, group.epoch, group.model, ids)
        if group.epoch // EPOCHS_PER_LEASE != self._lease.fencing:
            results = await asyncio.gather(
                *(self._join_member(member, order) for member in group.members)
            )
            if not all(results):
                self._log.info(
                    'group_not_adopted', group=group.name, joins=results
                )
                return
        await self._open_group(
            group.head, group.name, group.epoch, engine_profile
        )

    async def _open_group(self, head, name, epoch, engine_profile):
        self._closed_groups.discard((name, epoch))
        for _ in range(MAX_ATTEMPTS):
            result = await self.orders.send(head, pool.Open(name, epoch))
            if result.accepted:
                break
            if result is pool.OrderResult.FENCED:
                return
            await asyncio.sleep(5 * POLL_INTERVAL)
        else:
            self._log.info('group_not_opened', group=name)
            return
        timeout = engine_profile.form_time + JOIN_MARGIN
        state = await self._wait_state(
            head, (name, epoch), {pool.MemberState.READY}, timeout
        )
        self._log.info('group_opened', group=name, state=state)

    async def _wait_state(self, head, key, states, timeout):
        """Wait until the head leaves `states`.

        Returns
        -------
        str
            New state of the head; 'gone' if it has left the group, 'down' if
            it does not answer, 'late' after `timeout` seconds.
        """
        for _ in range(int(timeout / POLL_INTERVAL)):
            record = self._registry.get(head.server_id)
            membership = record and record.membership
            if membership is None or membership.key != key:
                return 'gone'
            if membership.state not in states:
                return membership.state.value
            if head.server_id in self._prober.down:
                return 'down'
            await asyncio.sleep(POLL_INTERVAL)
        return 'late'

    async def _close_group(self, action):
        group = action.group
        self._log.info(
            'group_closing',
            group=group.name,
            cut=action.cut,
            reason=action.reason,
        )
        cut = action.cut
        states = {pool.MemberState.OPEN, pool.MemberState.CLOSING}
        for timeout in (CUT_TIMEOUT if cut else CLOSE_TIMEOUT, CUT_TIMEOUT):
            order = pool.Close(group.name, group.epoch, cut)
            result = await self.orders.send(group.head, order)
            if result is pool.OrderResult.FENCED:
                return
            state = await self._wait_state(
                group.head, group.key, states, timeout
            )
            if (
                state == pool.MemberState.READY.value
                and self.orders.is_plan_current
            ):
                self._closed_groups.add(group.key)
            if state != 'late':
                break
            cut = True
        self._log.info(
            'group_closed',
            group=group.name,
            state=state,
            result=result.value,
        )

    async def _stage_model(self, engine, model):
        result = await self.orders.send(engine, pool.Stage(model))
        self._log.info(
            'model_staging',
            engine=engine.server_id,
            model=model,
            result=result.value,
        )
        if result.accepted:
            for _ in range(int(CLOSE_TIMEOUT / POLL_INTERVAL)):
                record = self._registry.get(engine.server_id)
                if record is None or model in record.staged:
                    return
                await asyncio.sleep(POLL_INTERVAL)


def _needs_answer(evidence):
    """Whether evidence on a head holds only while the head answers."""
    return (
        isinstance(evidence, pool.HeadNotServing)
        and evidence.state is not pool.MemberState.BROKEN
    )


def _estimate_join_time(members, model, engine_profile):
    """Return the longest duration of the joins of these members (seconds)."""
    model_profile = engine_profile.find_model(model)
    times = []
    for member in members:
        if member.model == model:
            times.append(SAME_MODEL_JOIN_TIME)
        elif model in member.staged:
            times.append(model_profile.staged_load_time)
        else:
            times.append(model_profile.load_time)
    return max(times)
