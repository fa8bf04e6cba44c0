"""The soak's own faults leave the cluster as they found it."""

import random
import threading
import time

import pytest

from build_tools import soak


class _Process:
    """A process that takes a moment to end."""

    def __init__(self):
        self._ends = None

    def send_signal(self, _number):
        """End soon."""
        if self._ends is None:
            self._ends = time.monotonic() + 0.05

    def wait(self, _timeout):
        """Wait for the end."""
        time.sleep(max(0.0, self._ends - time.monotonic()))

    @property
    def alive(self):
        """Whether it still runs."""
        return self._ends is None or time.monotonic() < self._ends


class _Cluster:
    """One entry, and how many of its processes ran at once."""

    def __init__(self):
        self.entries = ('entry-a1',)
        self.vms = ({'name': 'vm'},)
        self.processes = {'entry-a1': _Process()}
        self.started = [self.processes['entry-a1']]
        self.most = 1

    def start_entry(self, name):
        """Start a process."""
        process = _Process()
        self.started.append(process)
        self.processes[name] = process
        alive = sum(each.alive for each in self.started)
        self.most = max(self.most, alive)


def test_an_entry_is_not_started_twice_at_once():
    cluster = _Cluster()
    faults = [soak.Faults(cluster, random.Random(seed)) for seed in range(3)]
    threads = [threading.Thread(target=one._kill_entry) for one in faults]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(cluster.started) == 4
    assert cluster.most == 1


def test_a_fault_that_can_not_be_given_is_raised(monkeypatch):
    def break_down(self, seconds):
        raise OSError('no answer')

    monkeypatch.setattr(soak.Faults, 'run', break_down)
    with pytest.raises(OSError):
        soak.give_faults(_Cluster(), 1, 0.1, 2)
