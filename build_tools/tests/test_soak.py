"""Tests of the soak test's fault injection."""

import random
import threading
import time

import pytest

from build_tools import soak


class _FakeProcess:
    """Fake process that exits 50 ms after the first signal."""

    def __init__(self):
        self._ends_at = None

    def send_signal(self, _number):
        """Schedule the exit; only the first signal counts."""
        if self._ends_at is None:
            self._ends_at = time.monotonic() + 0.05

    def wait(self, _timeout):
        """Sleep until the exit."""
        time.sleep(max(0.0, self._ends_at - time.monotonic()))

    @property
    def alive(self):
        """Whether the process has not exited yet."""
        return self._ends_at is None or time.monotonic() < self._ends_at


class _FakeCluster:
    """Fake cluster that counts the concurrent processes of its one entry."""

    def __init__(self):
        self.entries = ('entry-a1',)
        self.vms = ({'name': 'vm'},)
        self.processes = {'entry-a1': _FakeProcess()}
        self.started = [self.processes['entry-a1']]
        self.max_alive = 1

    def start_entry(self, name):
        """Start a process and update the largest number of live ones."""
        process = _FakeProcess()
        self.started.append(process)
        self.processes[name] = process
        alive = sum(each.alive for each in self.started)
        self.max_alive = max(self.max_alive, alive)


def test_concurrent_restarts_run_one_process_per_entry():
    cluster = _FakeCluster()
    injectors = [
        soak.FaultInjector(cluster, random.Random(seed)) for seed in range(3)
    ]
    threads = [
        threading.Thread(target=injector._restart_entry)
        for injector in injectors
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(cluster.started) == 4
    assert cluster.max_alive == 1


def test_error_of_fault_injection_is_raised(monkeypatch):
    def fail(self, seconds):
        raise OSError('no answer from the stand-in')

    monkeypatch.setattr(soak.FaultInjector, 'run', fail)
    with pytest.raises(OSError):
        soak.inject_faults(_FakeCluster(), 1, 0.1, 2)
