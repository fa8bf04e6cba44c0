"""Faults from outside, given and taken back."""

import asyncio
import random
import signal
import time

from build_tools.pool_soak import _fleet

GRACE = _fleet.BOUNDS['GraceS'] + 0.3
"""Time in which a process that was asked to must have ended (seconds)."""

LASTING = 2.5
"""How long the effect of a fault of the store lasts after it (seconds)."""


class Faults:
    """Gives faults one after another; several of these run side by side.

    Parameters
    ----------
    fleet : Fleet
        Processes.
    checks : Checks
        Is told what excuses callers' answers, and of keys taken away.
    number, seed : int
        Which of those side by side, and the soak's seed.
    """

    def __init__(self, fleet, checks, number, seed):
        self._fleet = fleet
        self._checks = checks
        self._rng = random.Random(f'faults/{seed}/{number}')
        self._kinds = (
            self._pause_node,
            self._kill_node,
            self._kill_series,
            self._stop_node,
            self._reload_node,
            self._kill_many,
            self._cut_node,
            self._silence_node,
            self._break_store,
            self._slow_store,
            self._lose_answers,
            self._forget_history,
            self._darken_engine,
            self._crash_engine,
            self._darken_domain,
            self._drain_engine,
            self._cut_engine,
            self._harm_wire,
            self._carry_out_late,
            self._lose_service_answers,
            self._move_route,
            self._take_key,
            self._storm,
        )

    async def run(self, seconds):
        """Give faults for some time, and print them."""
        began = time.monotonic()
        while (at := time.monotonic() - began) < seconds:
            text = await self._rng.choice(self._kinds)()
            print(f'{at:6.1f} s  {text}', flush=True)
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))

    async def _hold(self, low, high):
        await asyncio.sleep(self._rng.uniform(low, high))

    def _node(self):
        return self._rng.choice(self._fleet.nodes)

    def _engine(self):
        return self._rng.choice(self._fleet.engine_names)

    def _touch_all(self, seconds):
        for node in self._fleet.nodes:
            node.touch(seconds)

    async def _pause_node(self):
        node = self._node()
        process = node.process
        seconds = self._rng.uniform(0.3, 6.0)
        node.touch(seconds + LASTING)
        node.pauses += 1
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        return f'{node.name} was paused for {seconds:.1f} s'

    async def _restart(self, node, number, pause):
        async with node.restarting:
            node.touch(12.0)
            pauses = node.pauses
            node.process.send_signal(signal.SIGCONT)
            node.process.send_signal(number)
            began = time.monotonic()
            await node.wait()
            took = time.monotonic() - began
            if took > GRACE and node.pauses == pauses:
                self._checks.violate(
                    'GRACE', f'{node.name} ended after {took:.1f} s'
                )
            await asyncio.sleep(pause)
            node.start()
            node.touch(LASTING)

    async def _kill_node(self):
        node = self._node()
        await self._restart(node, signal.SIGKILL, self._rng.uniform(0.1, 2.0))
        return f'{node.name} was killed'

    async def _kill_series(self):
        node = self._node()
        for _ in range(3):
            await self._restart(node, signal.SIGKILL, 0.1)
            await self._hold(0.2, 1.5)
        return f'{node.name} was killed three times'

    async def _stop_node(self):
        node = self._node()
        await self._restart(node, signal.SIGTERM, self._rng.uniform(0.1, 1.0))
        return f'{node.name} was stopped and started'

    async def _reload_node(self):
        node = self._node()
        node.settings['extra'] = self._rng.choice((40, 50, 60))
        node.write_settings()
        signalled = self._rng.random() < 0.6 and not node.restarting.locked()
        if signalled:
            node.process.send_signal(signal.SIGHUP)
        return f'{node.name}: settings changed, signalled {signalled}'

    async def _kill_many(self):
        share = self._rng.choice((0.5, 1.0))
        nodes = [n for n in self._fleet.nodes if self._rng.random() < share]
        await asyncio.gather(
            *(self._restart(node, signal.SIGKILL, 0.3) for node in nodes)
        )
        return f'{len(nodes)} nodes were killed at once'

    async def _cut_node(self):
        node = self._node()
        how = self._rng.choice(('refuse', 'silent_up', 'silent_down'))
        seconds = self._rng.uniform(0.5, 8.0)
        node.touch(seconds + LASTING)
        setattr(node.wire.faults, how, True)
        if how == 'refuse':
            node.wire.reset()
        await asyncio.sleep(seconds)
        setattr(node.wire.faults, how, False)
        return f'{node.name} was cut from the store ({how}, {seconds:.1f} s)'

    async def _silence_node(self):
        node = self._node()
        node.touch(LASTING)
        node.wire.silence()
        return f'{node.name}: open connections to the store went silent'

    async def _break_store(self):
        how = self._rng.choice(('silent', 'reset', 'refuse'))
        seconds = self._rng.uniform(0.5, 7.0)
        self._touch_all(seconds + LASTING)
        await self._fleet.tell(store={'down': how})
        await asyncio.sleep(seconds)
        await self._fleet.tell(store={'down': ''})
        return f'the store was down ({how}, {seconds:.1f} s)'

    async def _slow_store(self):
        self._touch_all(LASTING + 4.0)
        await self._fleet.tell(store={'delay': self._rng.uniform(0.1, 0.7)})
        await self._hold(1.0, 4.0)
        await self._fleet.tell(store={'delay': 0.0})
        return 'the store was slow'

    async def _lose_answers(self):
        self._touch_all(LASTING + 4.0)
        await self._fleet.tell(store={'lose_answers': 0.4})
        await self._hold(1.0, 4.0)
        await self._fleet.tell(store={'lose_answers': 0.0})
        return 'the store lost answers'

    async def _forget_history(self):
        await self._fleet.tell(forget_history=True)
        return 'the store forgot its history'

    async def _set(self, name, **values):
        await self._fleet.tell(server=name, set=values)

    async def _darken_engine(self):
        name = self._engine()
        await self._set(name, dark=True)
        await self._hold(0.3, 8.0)
        await self._set(name, dark=False)
        return f'{name} was dark'

    async def _crash_engine(self):
        name = self._engine()
        await self._set(name, gone=True)
        await self._hold(0.1, 6.0)
        await self._fleet.tell(restart=name)
        return f'{name} crashed and started again'

    async def _darken_domain(self):
        zone = self._rng.choice(_fleet.ZONES)
        names = [n for n in self._fleet.engine_names if n.startswith(zone)]
        for name in names:
            await self._set(name, dark=True)
        await self._hold(1.0, 8.0)
        for name in names:
            await self._set(name, dark=False)
            await self._hold(0.0, 0.3)
        return f'all engines of {zone} were dark'

    async def _drain_engine(self):
        name = self._engine()
        await self._set(name, state='draining')
        await self._hold(2.5, 4.0)
        await self._set(name, gone=True)
        await self._hold(1.0, 2.0)
        await self._fleet.tell(restart=name)
        return f'{name} drained, left and came back'

    async def _cut_engine(self):
        name = self._engine()
        await self._set(name, cut_from_store=True)
        await self._hold(0.5, 6.0)
        await self._set(name, cut_from_store=False)
        return f'{name} did not reach the store'

    async def _harm_wire(self):
        name = self._rng.choice(list(self._fleet.wires))
        wire = self._fleet.wires[name]
        match self._rng.choice(('delay', 'reset', 'silence', 'refuse', 'up')):
            case 'delay':
                wire.faults.delay = 0.1
                await self._hold(0.5, 4.0)
                wire.faults.delay = 0.0
            case 'reset':
                wire.reset()
            case 'silence':
                wire.silence()
            case 'refuse':
                wire.faults.refuse = True
                wire.reset()
                await self._hold(0.5, 4.0)
                wire.faults.refuse = False
            case 'up':
                wire.faults.silent_up = True
                await self._hold(0.5, 4.0)
                wire.faults.silent_up = False
        return f'connections to {name} were harmed'

    async def _carry_out_late(self):
        names = self._rng.sample(self._fleet.engine_names, 12)
        for name in names:
            await self._set(name, late_orders=0.35)
        await self._hold(2.0, 5.0)
        for name in names:
            await self._set(name, late_orders=0.0)
        return 'orders were carried out late'

    async def _lose_service_answers(self):
        name = self._rng.choice(self._fleet.service_names)
        await self._set(name, lose_answers=0.3)
        await self._hold(1.0, 4.0)
        await self._set(name, lose_answers=0.0)
        return f'{name} lost answers'

    async def _move_route(self):
        self._fleet.moved = not self._fleet.moved
        await self._fleet.configure()
        self._checks.note_move(self._fleet.moved)
        return f'routes were moved by version {self._fleet.version}'

    async def _take_key(self):
        """Take a key away for good, after another one has come."""
        account = self._rng.choice(list(self._fleet.keys))
        key = f'key-{self._rng.randrange(10**9)}'
        self._fleet.configured[account].append(key)
        await self._fleet.configure()
        await self._hold(4.0, 5.0)
        self._fleet.keys[account].append(key)
        taken = self._fleet.keys[account].pop(0)
        self._checks.retiring.add(taken)
        self._fleet.retired.append((account, taken))
        self._fleet.configured[account].remove(taken)
        await self._fleet.configure()
        self._checks.revoked[taken] = time.monotonic()
        return f'{taken} was taken away from {account}'

    async def _storm(self):
        for _ in range(12):
            await self._fleet.configure()
            await asyncio.sleep(0.08)
        return f'versions came quickly, up to {self._fleet.version}'
