"""Random faults on a cluster of real processes, with checked callers.

Callers ask for completions and record payouts while VMs, entries, services
and the platform are given faults. At the end every answer must have been
whole or ended by an error, every payout must have taken effect at most once
(never if all its answers said "not run", once if one said it was done), and
the promised groups must serve again at every entry.
"""

import argparse
import collections
from concurrent import futures
import json
import random
import signal
import sys
import threading
import time

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions
from build_tools import logs

PROMPT = 'one two three four five six seven'
CALLERS = 8
RESTARTING = threading.Lock()
"""One entry is restarted at a time, so that none is started twice."""

LEDGER = '/services/circle-ledger/payouts'


class Tally:
    """Outcomes and violations, from all callers."""

    def __init__(self):
        self._lock = threading.Lock()
        self.outcomes = collections.Counter()
        self.violations = []
        self.payouts = {}

    def count(self, outcome):
        """Count an outcome."""
        with self._lock:
            self.outcomes[outcome] += 1

    def violate(self, text):
        """Note that a promise was broken."""
        with self._lock:
            self.violations.append(text)

    def settle(self, effects):
        """Compare what callers were told of payouts with their effects."""
        counts = collections.Counter(effect['key'] for effect in effects)
        for key, said in self.payouts.items():
            count = counts[key]
            if count > 1:
                self.violate(f'{key}: {count} effects')
            if 'done' in said and count != 1:
                self.violate(f'{key}: told done, {count} effects')
            if set(said) == {'not_run'} and count:
                self.violate(f'{key}: told not run, {count} effects')


class Caller(threading.Thread):
    """One caller after another, until told to stop."""

    def __init__(self, cluster, tally, stopping, number, seed):
        super().__init__(daemon=True)
        self._cluster = cluster
        self._tally = tally
        self._stopping = stopping
        self._number = number
        self._rng = random.Random(f'{seed}/{number}')

    def run(self):
        """Send requests."""
        count = 0
        while not self._stopping.is_set():
            count += 1
            if self._rng.random() < 0.5:
                self._complete()
            else:
                self._pay(f'payout-{self._number}-{count}')

    def _entry(self):
        return self._rng.choice(list(self._cluster.entries))

    def _complete(self):
        count = self._rng.randint(1, 60)
        stream = callers.Stream(self._cluster, self._entry(), PROMPT, count)
        stream.start()
        stream.join(60)
        words = PROMPT.split()
        wanted = [f'{words[i % len(words)]} ' for i in range(count)]
        if stream.done and stream.tokens != wanted:
            self._tally.violate(f'wrong answer: {stream.tokens}')
        if stream.tokens != wanted[: len(stream.tokens)]:
            self._tally.violate(f'wrong tokens: {stream.tokens}')
        if stream.is_alive():
            self._tally.violate('no end after 60 s')
        self._tally.count(f'completion {stream.error or "whole"}')
        if not stream.done:
            time.sleep(0.1)

    def _pay(self, key):
        said = []
        body = {'circle': 'soak', 'member': 'm', 'amount': 1}
        for _ in range(self._rng.randint(1, 3)):
            said.append(self._send(key, body))
            self._tally.count(f'payout {said[-1]}')
            if said[-1] == 'not_run':
                time.sleep(0.1)
        self._tally.payouts[key] = said

    def _send(self, key, body):
        try:
            status, _, data = self._cluster.request(
                self._entry(),
                LEDGER,
                body,
                callers.KEY,
                {'Idempotency-Key': key, 'X-Request-Timeout': '6'},
            )
        except ConnectionRefusedError:
            return 'no entry'
        except OSError as error:
            refused = isinstance(
                getattr(error, 'reason', None), ConnectionRefusedError
            )
            return 'no entry' if refused else 'connection lost'
        if status == 200:
            return 'done'
        return json.loads(data)['error']['run']


class Faults:
    """Gives faults, one after another, and takes them back."""

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self._kinds = (
            self._kill_vm,
            self._restart_vm,
            self._stall_vm,
            self._slow_vm,
            self._pause_entry,
            self._kill_entry,
            self._stop_platform,
            self._lose_writes,
            self._lose_payouts,
            self._leave,
            self._cut,
        )

    def run(self, seconds):
        """Give faults for some time, and print them."""
        began = time.monotonic()
        while (at := time.monotonic() - began) < seconds:
            fault = self._rng.choice(self._kinds)()
            print(f'{at:6.1f} s  {fault}', flush=True)
            time.sleep(self._rng.uniform(0.2, 2.0))

    def _vm(self):
        return self._rng.choice(self._cluster.vms)['name']

    def _hold(self, low, high):
        time.sleep(self._rng.uniform(low, high))

    def _kill_vm(self):
        vm = self._vm()
        self._cluster.fault(vm, 'kill')
        self._hold(1, 4)
        self._cluster.fault(vm, 'wipe')
        return f'{vm} died and was replaced'

    def _restart_vm(self):
        vm = self._vm()
        self._cluster.fault(vm, 'kill')
        self._hold(0.1, 2)
        self._cluster.fault(vm, 'revive')
        return f'{vm} came back as if nothing happened'

    def _stall_vm(self):
        vm = self._vm()
        self._cluster.fault(vm, 'stall', True)
        self._hold(0.5, 3)
        self._cluster.fault(vm, 'stall', False)
        return f'{vm} was frozen'

    def _slow_vm(self):
        vm = self._vm()
        self._cluster.fault(vm, 'slow', 10.0)
        self._hold(0.5, 2)
        self._cluster.fault(vm, 'slow', 1.0)
        return f'{vm} was slow'

    def _pause_entry(self):
        name = self._rng.choice(list(self._cluster.entries))
        process = self._cluster.processes[name]
        process.send_signal(signal.SIGSTOP)
        self._hold(1, 5)
        process.send_signal(signal.SIGCONT)
        return f'{name} was paused'

    def _kill_entry(self):
        name = self._rng.choice(list(self._cluster.entries))
        number = self._rng.choice((signal.SIGKILL, signal.SIGTERM))
        with RESTARTING:
            process = self._cluster.processes[name]
            process.send_signal(number)
            process.wait(60)
            self._cluster.start_entry(name)
        return f'{name} was restarted'

    def _platform(self, **faults):
        conditions.post_json(
            f'http://{self._cluster.platform}/admin/faults', faults
        )

    def _stop_platform(self):
        self._platform(down=True)
        self._hold(1, 6)
        self._platform(down=False)
        return 'the platform was down'

    def _lose_writes(self):
        self._platform(lose_answers=self._rng.randint(1, 8))
        return 'the platform lost answers'

    def _lose_payouts(self):
        address = self._rng.choice(list(self._cluster.service.values()))
        fault = self._rng.choice(('lose_answers', 'refuse'))
        count = self._rng.randint(1, 5)
        conditions.post_json(f'http://{address}/admin', {fault: count})
        return f'a ledger had {fault} {count} times'

    def _leave(self):
        vm = self._vm()
        rows = [
            {**row, 'state': 'leaving'} if row['name'] == vm else row
            for row in self._cluster.vms
        ]
        self._set_vms(rows)
        self._hold(2, 5)
        self._cluster.fault(vm, 'wipe')
        self._set_vms(self._cluster.vms)
        return f'{vm} was on the leaving list'

    def _cut(self):
        place = self._rng.choice(cluster_module.DATA_CENTRES)
        self._cluster.cut(place)
        self._hold(2, 8)
        self._cluster.cut()
        return f'{place} was cut off'

    def _set_vms(self, rows):
        conditions.post_json(
            f'http://{self._cluster.platform}/admin/vms', {'vms': rows}
        )


def give_faults(cluster, seed, seconds, at_once):
    """Give faults for some time, several independent ones at a time.

    Raises
    ------
    Exception
        A fault could not be given or taken back.
    """
    with futures.ThreadPoolExecutor(at_once) as pool:
        running = [
            pool.submit(
                Faults(cluster, random.Random(f'{seed}/{number}')).run,
                seconds,
            )
            for number in range(at_once)
        ]
    for each in running:
        each.result()


def print_state(cluster):
    """Print what every entry says of nodes, groups and VMs."""
    for name in cluster.entries:
        status = cluster.status(name) or {'groups': (), 'nodes': ()}
        alive = [node['name'] for node in status['nodes'] if node['alive']]
        print(f'{name}: alive {alive}, leads {status.get("shards")}')
        print(f'  store {status.get("store")}, short {status.get("short")}')
        for group in status['groups']:
            print(
                f'  {group["name"][-10:]} {group["data_centre"]}'
                f' {group["state"]} {group["generation"]}'
                f' serves {group["serving"]}: {group["reason"]}'
            )
        for vm in status.get('vms', ()):
            if not vm['up']:
                print(f'  not up: {vm}')


def run(cluster, seed, seconds, at_once):
    """Run callers and faults; the tally."""
    tally = Tally()
    stopping = threading.Event()
    threads = [
        Caller(cluster, tally, stopping, number, seed)
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    give_faults(cluster, seed, seconds, at_once)
    stopping.set()
    for thread in threads:
        thread.join(90)
    began = time.monotonic()
    try:
        cluster.wait_until_serving(3)
    except AssertionError as error:
        tally.violate(f'not recovered: {error}')
        print_state(cluster)
    print(f'recovered {time.monotonic() - began:.1f} s after the last fault')
    tally.settle(cluster.effects())
    return tally


def main():
    """Run the soak; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--at-once', type=int, default=1)
    parser.add_argument('--logs', action='store_true')
    arguments = parser.parse_args()
    with cluster_module.open_cluster(links=True) as cluster:
        conditions.wait_for(
            lambda: all(cluster.status(name) for name in cluster.entries),
            'all entries answer',
        )
        cluster.apply(callers.make_contract())
        cluster.wait_until_serving(3)
        tally = run(
            cluster, arguments.seed, arguments.seconds, arguments.at_once
        )
        for outcome, count in sorted(tally.outcomes.items()):
            print(f'{count:6d}  {outcome}')
        for name in cluster.entries:
            log = cluster.log(name)
            for crash in logs.find_crashes(log):
                tally.violate(f'{name}: {crash}')
            if arguments.logs and tally.violations:
                print(f'--- {name}\n{log[-4000:]}')
    for violation in tally.violations:
        print(f'violated: {violation}')
    print(f'seed {arguments.seed}: {len(tally.violations)} violations')
    return 1 if tally.violations else 0


if __name__ == '__main__':
    sys.exit(main())
