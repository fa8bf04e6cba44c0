"""Injection of faults into the processes and connections of a soak test."""

import asyncio
import random
import signal
import time

from build_tools.pool_soak import _fleet

EXIT_TIMEOUT = _fleet.NODE_BOUNDS['GraceS'] + 0.3
"""Time within which a signalled process must exit (seconds)."""

RESTORE_TIME = 8.0
"""Time after the store came back from an older copy within which leases are
taken anew and the configuration is proved again (seconds)."""

RECOVERY_TIME = 2.5
"""Time for which a node may still be affected after a fault has been cleared
(seconds)."""


class FaultInjector:
    """Injector of random faults, one at a time.

    Several injectors may run concurrently.

    Parameters
    ----------
    fleet : Fleet
        Processes under test.
    checker : Checker
        Informed of moved routes and revoked keys, which change the answers
        that callers may get.
    number : int
        Index of the injector.
    seed : int
        Seed of the soak test.
    """

    def __init__(self, fleet, checker, number, seed):
        self._fleet = fleet
        self._checker = checker
        self._rng = random.Random(f'faults/{seed}/{number}')
        self._fault_methods = (
            self._pause_node,
            self._kill_node,
            self._kill_node_repeatedly,
            self._terminate_node,
            self._reload_node,
            self._kill_several_nodes,
            self._partition_node,
            self._silence_node_connections,
            self._take_store_down,
            self._slow_store,
            self._drop_store_answers,
            self._discard_store_history,
            self._hang_engine,
            self._crash_engine,
            self._hang_domain,
            self._drain_engine,
            self._partition_engine,
            self._disturb_connections,
            self._delay_orders,
            self._drop_service_answers,
            self._move_route,
            self._rotate_key,
            self._write_many_versions,
        )

    async def run(self, seconds):
        """Inject faults for some time and print each of them.

        Parameters
        ----------
        seconds : float
            Time after which no new fault is injected (seconds).
        """
        started_at = time.monotonic()
        while (elapsed := time.monotonic() - started_at) < seconds:
            description = await self._rng.choice(self._fault_methods)()
            print(f'{elapsed:6.1f} s  {description}', flush=True)
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))

    async def run_store_restores(self, seconds):
        """Restore the store from older copies for some time.

        Parameters
        ----------
        seconds : float
            Time after which no restore is begun (seconds).
        """
        started_at = time.monotonic()
        while (elapsed := time.monotonic() - started_at) < seconds:
            age = self._rng.uniform(0.5, 4.0)
            self._mark_all_disturbed(age + RECOVERY_TIME + RESTORE_TIME)
            await self._fleet.send_command(
                restore_store={
                    'age': age,
                    'rewrite_delay': self._rng.uniform(0.1, 1.5),
                }
            )
            print(
                f'{elapsed:6.1f} s  the store lost the changes of {age:.1f} s',
                flush=True,
            )
            await self._sleep_random(9.0, 16.0)

    async def run_broken_heads(self, seconds):
        """Let one server after the other break some heads of its answers.

        Parameters
        ----------
        seconds : float
            Time after which no other server does (seconds).
        """
        started_at = time.monotonic()
        names = [*self._fleet.engine_names, *self._fleet.service_names]
        while (elapsed := time.monotonic() - started_at) < seconds:
            name = self._rng.choice(names)
            share = self._rng.choice((0.1, 0.5, 1.0))
            await self._set_server_state(name, broken_share=share)
            await self._sleep_random(0.3, 2.0)
            await self._set_server_state(name, broken_share=0.0)
            print(
                f'{elapsed:6.1f} s  {name} broke heads ({share})', flush=True
            )

    async def replace_node(self, node, build):
        """Replace a node by one of another build, as an operator does.

        Parameters
        ----------
        node : Node
            The node.
        build : str
            Name of the other build.
        """
        node.next_build = build
        await self._restart(node, signal.SIGTERM, self._rng.uniform(0.1, 1.0))

    async def _sleep_random(self, low, high):
        await asyncio.sleep(self._rng.uniform(low, high))

    def _choose_node(self):
        return self._rng.choice(self._fleet.nodes)

    def _choose_engine(self):
        return self._rng.choice(self._fleet.engine_names)

    def _mark_all_disturbed(self, seconds):
        for node in self._fleet.nodes:
            node.mark_disturbed(seconds)

    async def _pause_node(self):
        node = self._choose_node()
        process = node.process
        seconds = self._rng.uniform(0.3, 6.0)
        node.mark_disturbed(seconds + RECOVERY_TIME)
        node.pause_count += 1
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        return f'{node.name} was paused for {seconds:.1f} s'

    async def _restart(self, node, signal_number, pause):
        async with node.restart_lock:
            node.mark_disturbed(12.0)
            pause_count = node.pause_count
            node.process.send_signal(signal.SIGCONT)
            started_at = time.monotonic()
            node.process.send_signal(signal_number)
            if signal_number == signal.SIGTERM:
                node.stops.append([started_at, float('inf')])
            await node.wait_until_exited()
            exited_at = time.monotonic()
            if signal_number == signal.SIGTERM:
                node.stops[-1][1] = exited_at
            duration = exited_at - started_at
            if duration > EXIT_TIMEOUT and node.pause_count == pause_count:
                self._checker.violate(
                    'GRACE', f'{node.name} exited only after {duration:.1f} s'
                )
            await asyncio.sleep(pause)
            node.start()
            node.mark_disturbed(RECOVERY_TIME)

    async def _kill_node(self):
        node = self._choose_node()
        await self._restart(node, signal.SIGKILL, self._rng.uniform(0.1, 2.0))
        return f'{node.name} was killed'

    async def _kill_node_repeatedly(self):
        node = self._choose_node()
        for _ in range(3):
            await self._restart(node, signal.SIGKILL, 0.1)
            await self._sleep_random(0.2, 1.5)
        return f'{node.name} was killed three times'

    async def _terminate_node(self):
        node = self._choose_node()
        await self._restart(node, signal.SIGTERM, self._rng.uniform(0.1, 1.0))
        return f'{node.name} was terminated and restarted'

    async def _reload_node(self):
        node = self._choose_node()
        node.settings['extra'] = self._rng.choice((40, 50, 60))
        node.write_settings()
        signalled = self._rng.random() < 0.6 and not node.restart_lock.locked()
        if signalled:
            node.process.send_signal(signal.SIGHUP)
        return f'{node.name}: settings changed, SIGHUP sent: {signalled}'

    async def _kill_several_nodes(self):
        share = self._rng.choice((0.5, 1.0))
        nodes = [n for n in self._fleet.nodes if self._rng.random() < share]
        await asyncio.gather(
            *(self._restart(node, signal.SIGKILL, 0.3) for node in nodes)
        )
        return f'{len(nodes)} nodes were killed at once'

    async def _partition_node(self):
        node = self._choose_node()
        mode = self._rng.choice(('refuse', 'silent_up', 'silent_down'))
        seconds = self._rng.uniform(0.5, 8.0)
        node.mark_disturbed(seconds + RECOVERY_TIME)
        setattr(node.store_proxy.faults, mode, True)
        if mode == 'refuse':
            node.store_proxy.reset()
        await asyncio.sleep(seconds)
        setattr(node.store_proxy.faults, mode, False)
        return (
            f'{node.name} was partitioned from the store'
            f' ({mode}, {seconds:.1f} s)'
        )

    async def _silence_node_connections(self):
        node = self._choose_node()
        node.mark_disturbed(RECOVERY_TIME)
        node.store_proxy.stall_open_connections()
        return f'{node.name}: open store connections delivered no more data'

    async def _take_store_down(self):
        mode = self._rng.choice(('silent', 'reset', 'refuse'))
        seconds = self._rng.uniform(0.5, 7.0)
        self._mark_all_disturbed(seconds + RECOVERY_TIME)
        await self._fleet.send_command(store={'down': mode})
        await asyncio.sleep(seconds)
        await self._fleet.send_command(store={'down': ''})
        return f'the store was down ({mode}, {seconds:.1f} s)'

    async def _slow_store(self):
        self._mark_all_disturbed(RECOVERY_TIME + 4.0)
        await self._fleet.send_command(
            store={'delay': self._rng.uniform(0.1, 0.7)}
        )
        await self._sleep_random(1.0, 4.0)
        await self._fleet.send_command(store={'delay': 0.0})
        return 'the store answered slowly'

    async def _drop_store_answers(self):
        self._mark_all_disturbed(RECOVERY_TIME + 4.0)
        await self._fleet.send_command(store={'lose_answers': 0.4})
        await self._sleep_random(1.0, 4.0)
        await self._fleet.send_command(store={'lose_answers': 0.0})
        return 'the store dropped answers'

    async def _discard_store_history(self):
        await self._fleet.send_command(forget_history=True)
        return 'the store discarded its watch history'

    async def _set_server_state(self, name, **values):
        await self._fleet.send_command(server=name, set=values)

    async def _hang_engine(self):
        name = self._choose_engine()
        await self._set_server_state(name, dark=True)
        await self._sleep_random(0.3, 8.0)
        await self._set_server_state(name, dark=False)
        return f'{name} did not answer'

    async def _crash_engine(self):
        name = self._choose_engine()
        await self._set_server_state(name, gone=True)
        await self._sleep_random(0.1, 6.0)
        await self._fleet.send_command(restart=name)
        return f'{name} crashed and was restarted'

    async def _hang_domain(self):
        zone = self._rng.choice(_fleet.ZONES)
        names = [n for n in self._fleet.engine_names if n.startswith(zone)]
        for name in names:
            await self._set_server_state(name, dark=True)
        await self._sleep_random(1.0, 8.0)
        for name in names:
            await self._set_server_state(name, dark=False)
            await self._sleep_random(0.0, 0.3)
        return f'all engines of {zone} did not answer'

    async def _drain_engine(self):
        name = self._choose_engine()
        await self._set_server_state(name, state='draining')
        await self._sleep_random(2.5, 4.0)
        await self._set_server_state(name, gone=True)
        await self._sleep_random(1.0, 2.0)
        await self._fleet.send_command(restart=name)
        return f'{name} drained, exited and was restarted'

    async def _partition_engine(self):
        name = self._choose_engine()
        await self._set_server_state(name, cut_from_store=True)
        await self._sleep_random(0.5, 6.0)
        await self._set_server_state(name, cut_from_store=False)
        return f'{name} was partitioned from the store'

    async def _disturb_connections(self):
        name = self._rng.choice(list(self._fleet.proxies))
        proxy = self._fleet.proxies[name]
        match self._rng.choice(('delay', 'reset', 'silence', 'refuse', 'up')):
            case 'delay':
                proxy.faults.delay = 0.1
                await self._sleep_random(0.5, 4.0)
                proxy.faults.delay = 0.0
            case 'reset':
                proxy.reset()
            case 'silence':
                proxy.stall_open_connections()
            case 'refuse':
                proxy.faults.refuse = True
                proxy.reset()
                await self._sleep_random(0.5, 4.0)
                proxy.faults.refuse = False
            case 'up':
                proxy.faults.silent_up = True
                await self._sleep_random(0.5, 4.0)
                proxy.faults.silent_up = False
        return f'connections to {name} were disturbed'

    async def _delay_orders(self):
        names = self._rng.sample(self._fleet.engine_names, 12)
        for name in names:
            await self._set_server_state(name, late_orders=0.35)
        await self._sleep_random(2.0, 5.0)
        for name in names:
            await self._set_server_state(name, late_orders=0.0)
        return 'engines executed orders late'

    async def _drop_service_answers(self):
        name = self._rng.choice(self._fleet.service_names)
        await self._set_server_state(name, lose_answers=0.3)
        await self._sleep_random(1.0, 4.0)
        await self._set_server_state(name, lose_answers=0.0)
        return f'{name} dropped answers'

    async def _move_route(self):
        self._fleet.are_routes_moved = not self._fleet.are_routes_moved
        await self._fleet.write_configuration()
        self._checker.record_route_move(self._fleet.are_routes_moved)
        return f'version {self._fleet.version} moved the routes'

    async def _rotate_key(self):
        """Add an API key, wait until it is in force, and revoke the oldest."""
        account = self._rng.choice(list(self._fleet.client_keys))
        key = f'key-{self._rng.randrange(10**9)}'
        self._fleet.configured_keys[account].append(key)
        await self._fleet.write_configuration()
        await self._sleep_random(4.0, 5.0)
        self._fleet.client_keys[account].append(key)
        revoked_key = self._fleet.client_keys[account].pop(0)
        self._checker.keys_in_revocation.add(revoked_key)
        self._fleet.revoked_keys.append((account, revoked_key))
        self._fleet.configured_keys[account].remove(revoked_key)
        await self._fleet.write_configuration()
        self._checker.revoked_at[revoked_key] = time.monotonic()
        return f'{revoked_key} of {account} was revoked'

    async def _write_many_versions(self):
        for _ in range(12):
            await self._fleet.write_configuration()
            await asyncio.sleep(0.08)
        return f'versions up to {self._fleet.version} were written quickly'
