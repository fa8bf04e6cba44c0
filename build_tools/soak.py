"""Soak test: random faults on a cluster of real processes under load.

Callers request completions and record payouts while faults are injected into
VMs, entries, services and the platform. The run passes if each answer was
complete or ended by an error, each payout took effect at most once (never if
all its answers said "not run", exactly once if one said "done"), and the
replica groups of the contract serve again at every entry at the end.
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
CALLER_COUNT = 8
RESTART_LOCK = threading.Lock()
"""Serialises restarts of entries: concurrent faults could otherwise start two
processes for one entry."""

PAYOUT_PATH = '/services/circle-ledger/payouts'


class Recorder:
    """Thread-safe record of the outcomes and violations of all callers.

    Attributes
    ----------
    outcomes : collections.Counter
        Number of requests by outcome.
    violations : list of str
        Descriptions of broken guarantees.
    payouts : dict of str to list of str
        Results that the answers reported for each payout, by idempotency
        key.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self.outcomes = collections.Counter()
        self.violations = []
        self.payouts = {}

    def count(self, outcome):
        """Count the outcome of a request.

        Parameters
        ----------
        outcome : str
            Kind and result of the request.
        """
        with self._lock:
            self.outcomes[outcome] += 1

    def violate(self, text):
        """Record a broken guarantee.

        Parameters
        ----------
        text : str
            Description of the violation.
        """
        with self._lock:
            self.violations.append(text)

    def check_payouts(self, effects):
        """Compare the answers to payouts with their side effects.

        Parameters
        ----------
        effects : list of dict
            Side effects that the backend servers recorded, each with its
            idempotency key under ``key``.
        """
        counts = collections.Counter(effect['key'] for effect in effects)
        for key, results in self.payouts.items():
            count = counts[key]
            if count > 1:
                self.violate(
                    f'{key}: has {count} effects instead of at most 1'
                )
            if 'done' in results and count != 1:
                self.violate(f'{key}: answered done, but has {count} effects')
            if set(results) == {'not_run'} and count:
                self.violate(
                    f'{key}: answered not run, but has {count} effects'
                )


class Caller(threading.Thread):
    """Thread that sends one request after another.

    Parameters
    ----------
    cluster : Cluster
        Cluster under test.
    recorder : Recorder
        Where outcomes and violations are recorded.
    stopping : threading.Event
        Ends the thread after its current request when set.
    number : int
        Index of the caller; selects its random numbers together with `seed`.
    seed : int
        Seed of the run.
    """

    def __init__(self, cluster, recorder, stopping, number, seed):
        super().__init__(daemon=True)
        self._cluster = cluster
        self._recorder = recorder
        self._stopping = stopping
        self._number = number
        self._rng = random.Random(f'{seed}/{number}')

    def run(self):
        """Send completions and payouts until the stop event is set."""
        count = 0
        while not self._stopping.is_set():
            count += 1
            if self._rng.random() < 0.5:
                self._request_completion()
            else:
                self._record_payout(f'payout-{self._number}-{count}')

    def _choose_entry(self):
        return self._rng.choice(list(self._cluster.entries))

    def _request_completion(self):
        count = self._rng.randint(1, 60)
        stream = callers.StreamingCaller(
            self._cluster, self._choose_entry(), PROMPT, count
        )
        stream.start()
        stream.join(60)
        words = PROMPT.split()
        expected = [f'{words[i % len(words)]} ' for i in range(count)]
        if stream.done and stream.tokens != expected:
            self._recorder.violate(
                f'complete answer with wrong tokens: {stream.tokens}'
            )
        if stream.tokens != expected[: len(stream.tokens)]:
            self._recorder.violate(
                f'answer with wrong tokens: {stream.tokens}'
            )
        if stream.is_alive():
            self._recorder.violate('stream not ended after 60 s')
        self._recorder.count(f'completion {stream.error or "whole"}')
        if not stream.done:
            time.sleep(0.1)

    def _record_payout(self, key):
        results = []
        body = {'circle': 'soak', 'member': 'm', 'amount': 1}
        for _ in range(self._rng.randint(1, 3)):
            results.append(self._send_payout(key, body))
            self._recorder.count(f'payout {results[-1]}')
            if results[-1] == 'not_run':
                time.sleep(0.1)
        self._recorder.payouts[key] = results

    def _send_payout(self, key, body):
        try:
            status, _, data = self._cluster.send_request(
                self._choose_entry(),
                PAYOUT_PATH,
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


class FaultInjector:
    """Injector of random faults, one at a time, which also clears them.

    Parameters
    ----------
    cluster : Cluster
        Cluster under test.
    rng : random.Random
        Source of random numbers.
    """

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self._fault_methods = (
            self._kill_vm,
            self._restart_vm,
            self._stall_vm,
            self._slow_vm,
            self._pause_entry,
            self._restart_entry,
            self._take_platform_down,
            self._drop_platform_answers,
            self._disturb_ledger,
            self._list_vm_as_leaving,
            self._partition_data_centre,
        )

    def run(self, seconds):
        """Inject faults for some time and print each of them.

        Parameters
        ----------
        seconds : float
            Time after which no new fault is injected (seconds).
        """
        started_at = time.monotonic()
        while (elapsed := time.monotonic() - started_at) < seconds:
            fault = self._rng.choice(self._fault_methods)()
            print(f'{elapsed:6.1f} s  {fault}', flush=True)
            time.sleep(self._rng.uniform(0.2, 2.0))

    def _choose_vm(self):
        return self._rng.choice(self._cluster.vms)['name']

    def _sleep_random(self, low, high):
        time.sleep(self._rng.uniform(low, high))

    def _kill_vm(self):
        vm = self._choose_vm()
        self._cluster.inject_fault(vm, 'kill')
        self._sleep_random(1, 4)
        self._cluster.inject_fault(vm, 'wipe')
        return f'{vm} was killed and replaced by an empty VM'

    def _restart_vm(self):
        vm = self._choose_vm()
        self._cluster.inject_fault(vm, 'kill')
        self._sleep_random(0.1, 2)
        self._cluster.inject_fault(vm, 'revive')
        return f'{vm} was killed and resumed with its state'

    def _stall_vm(self):
        vm = self._choose_vm()
        self._cluster.inject_fault(vm, 'stall', True)
        self._sleep_random(0.5, 3)
        self._cluster.inject_fault(vm, 'stall', False)
        return f'{vm} was stalled'

    def _slow_vm(self):
        vm = self._choose_vm()
        self._cluster.inject_fault(vm, 'slow', 10.0)
        self._sleep_random(0.5, 2)
        self._cluster.inject_fault(vm, 'slow', 1.0)
        return f'{vm} was slow'

    def _pause_entry(self):
        name = self._rng.choice(list(self._cluster.entries))
        process = self._cluster.processes[name]
        process.send_signal(signal.SIGSTOP)
        self._sleep_random(1, 5)
        process.send_signal(signal.SIGCONT)
        return f'{name} was paused'

    def _restart_entry(self):
        name = self._rng.choice(list(self._cluster.entries))
        number = self._rng.choice((signal.SIGKILL, signal.SIGTERM))
        with RESTART_LOCK:
            process = self._cluster.processes[name]
            process.send_signal(number)
            process.wait(60)
            self._cluster.start_entry(name)
        return f'{name} was restarted'

    def _set_platform_faults(self, **faults):
        conditions.post_json(
            f'http://{self._cluster.platform_address}/admin/faults', faults
        )

    def _take_platform_down(self):
        self._set_platform_faults(down=True)
        self._sleep_random(1, 6)
        self._set_platform_faults(down=False)
        return 'the platform was down'

    def _drop_platform_answers(self):
        self._set_platform_faults(lose_answers=self._rng.randint(1, 8))
        return 'the platform dropped answers to writes'

    def _disturb_ledger(self):
        address = self._rng.choice(
            list(self._cluster.service_addresses.values())
        )
        fault = self._rng.choice(('lose_answers', 'refuse'))
        count = self._rng.randint(1, 5)
        conditions.post_json(f'http://{address}/admin', {fault: count})
        return f'a ledger was set to {fault} for {count} requests'

    def _list_vm_as_leaving(self):
        vm = self._choose_vm()
        vm_list = [
            {**row, 'state': 'leaving'} if row['name'] == vm else row
            for row in self._cluster.vms
        ]
        self._set_vm_list(vm_list)
        self._sleep_random(2, 5)
        self._cluster.inject_fault(vm, 'wipe')
        self._set_vm_list(self._cluster.vms)
        return f'{vm} was listed as leaving, then replaced'

    def _partition_data_centre(self):
        data_centre = self._rng.choice(cluster_module.DATA_CENTRES)
        self._cluster.partition(data_centre)
        self._sleep_random(2, 8)
        self._cluster.partition()
        return f'{data_centre} was partitioned from the network'

    def _set_vm_list(self, vm_list):
        conditions.post_json(
            f'http://{self._cluster.platform_address}/admin/vms',
            {'vms': vm_list},
        )


def inject_faults(cluster, seed, seconds, at_once):
    """Run several independent fault injectors concurrently.

    Parameters
    ----------
    cluster : Cluster
        Cluster under test.
    seed : int
        Seed of the run.
    seconds : float
        Time after which no new fault is injected (seconds).
    at_once : int
        Number of concurrent fault injectors.

    Raises
    ------
    Exception
        A fault could not be injected or cleared.
    """
    with futures.ThreadPoolExecutor(at_once) as pool:
        running = [
            pool.submit(
                FaultInjector(cluster, random.Random(f'{seed}/{number}')).run,
                seconds,
            )
            for number in range(at_once)
        ]
    for future in running:
        future.result()


def print_status(cluster):
    """Print the state of nodes, groups and VMs in the view of each entry.

    Parameters
    ----------
    cluster : Cluster
        Cluster under test.
    """
    for name in cluster.entries:
        status = cluster.get_status(name) or {'groups': (), 'nodes': ()}
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
    """Run callers and faults, then wait for recovery and check payouts.

    Parameters
    ----------
    cluster : Cluster
        Cluster under test; its groups serve.
    seed : int
        Seed of the run.
    seconds : float
        Time after which no new fault is injected (seconds).
    at_once : int
        Number of concurrent fault injectors.

    Returns
    -------
    Recorder
        Outcomes and violations.
    """
    recorder = Recorder()
    stopping = threading.Event()
    threads = [
        Caller(cluster, recorder, stopping, number, seed)
        for number in range(CALLER_COUNT)
    ]
    for thread in threads:
        thread.start()
    inject_faults(cluster, seed, seconds, at_once)
    stopping.set()
    for thread in threads:
        thread.join(90)
    started_at = time.monotonic()
    try:
        cluster.wait_until_serving(3)
    except AssertionError as error:
        recorder.violate(f'cluster did not recover: {error}')
        print_status(cluster)
    print(
        f'recovery ended {time.monotonic() - started_at:.1f} s'
        ' after the last fault'
    )
    recorder.check_payouts(cluster.get_effects())
    return recorder


def main():
    """Run the soak test.

    Returns
    -------
    int
        Exit code; 1 if a guarantee was violated.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--at-once', type=int, default=1)
    parser.add_argument('--logs', action='store_true')
    arguments = parser.parse_args()
    with cluster_module.open_cluster(has_proxies=True) as cluster:
        conditions.wait_for(
            lambda: all(cluster.get_status(name) for name in cluster.entries),
            'all entries answer status requests',
        )
        cluster.apply_contract(callers.make_contract())
        cluster.wait_until_serving(3)
        recorder = run(
            cluster, arguments.seed, arguments.seconds, arguments.at_once
        )
        for outcome, count in sorted(recorder.outcomes.items()):
            print(f'{count:6d}  {outcome}')
        for name in cluster.entries:
            log = cluster.read_log(name)
            for crash in logs.find_crashes(log):
                recorder.violate(f'{name}: {crash}')
            if arguments.logs and recorder.violations:
                print(f'--- {name}\n{log[-4000:]}')
    for violation in recorder.violations:
        print(f'violated: {violation}')
    print(f'seed {arguments.seed}: {len(recorder.violations)} violations')
    return 1 if recorder.violations else 0


if __name__ == '__main__':
    sys.exit(main())
