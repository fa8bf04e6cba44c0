"""Cost of control of one node, by number of peers and of engines.

Real entry processes over loopback before stand-in engines in groups of 16,
with the settings' default intervals. For each size it prints, over all
nodes, the CPU share, the bytes at the peer links, the bytes read from the
platform and the resident memory; then the least-squares slopes.
"""

import argparse
import collections
import json
import os
import pathlib
import random
import socket
import statistics
import tempfile
import time

import numpy
import psutil

from build_tools import cluster as cluster_module
from build_tools import conditions

ROOT = pathlib.Path(__file__).resolve().parent.parent

GROUP_SIZE = 16
"""Members of a group (count)."""

SIZES = (
    (2, 64, 1),
    (6, 64, 3),
    (6, 256, 2),
    (12, 256, 2),
    (24, 256, 2),
    (24, 768, 2),
    (48, 256, 4),
    (48, 768, 4),
)
"""(entries, engines, data centres) of each run (count)."""

QUANTITIES = ('cpu', 'sent', 'received', 'platform', 'memory')

TARGET = {'nodes': 370, 'data_centres': 8, 'engines': 3200}

PORTS = range(2000, 9900)
"""Ports to choose from, below those of outgoing connections."""

TRIES = 3
"""Tries of one size, as another process may take a port (count)."""

STARTING = 20
"""Entries started at one time (count)."""


class Fleet(cluster_module.Cluster):
    """A cluster of any size, with the default intervals."""

    def __init__(self, folder, entries, engines, data_centres):
        self._places = [f'dc-{number}' for number in range(data_centres)]
        super().__init__(folder)
        self.engine_admin_addresses = {
            place: self._address() for place in self._places
        }
        domains = engines // GROUP_SIZE
        self.vms = [
            {
                'name': f'vm-{domain:03d}-{number:02d}',
                'address': self._address(),
                'data_centre': self._places[domain % data_centres],
                'fabric_domain': f'domain-{domain:03d}',
                'accelerators': 2,
                'state': 'live',
            }
            for domain in range(domains)
            for number in range(GROUP_SIZE)
        ]
        self.entries = {
            f'entry-{number:03d}': {
                'data_centre': self._places[number % data_centres],
                'callers': self._address(),
                'operators': self._address(),
                'peers': self._address(),
            }
            for number in range(entries)
        }

    def _address(self):
        """A free loopback address that no outgoing connection takes."""
        while True:
            holder = socket.socket()
            address = ('127.0.0.1', random.choice(PORTS))
            try:
                holder.bind(address)
            except OSError:
                holder.close()
                continue
            self._held.append(holder)
            return f'127.0.0.1:{address[1]}'

    def make_settings(self, name):
        """Settings of one entry, intervals by default."""
        settings = super().make_settings(name)
        for section in ('observation', 'control'):
            del settings[section]
        settings['platform'].pop('vm_list_interval')
        settings['services'] = []
        return settings

    def start(self):
        """Start all processes, entries in batches."""
        vms = self.folder / 'vms.json'
        vms.write_text(json.dumps(self.vms), encoding='utf-8')
        for holder in self._held:
            holder.close()
        port = conditions.get_port(self.platform_address)
        self._spawn(
            'platform', 'standins.platform', '--port', port, '--vms', vms
        )
        for seed, place in enumerate(self._places):
            self._spawn(
                f'engines-{place}',
                'benchmarks.control_fleet',
                '--admin-port',
                conditions.get_port(self.engine_admin_addresses[place]),
                '--vms',
                vms,
                '--data-centre',
                place,
                '--seed',
                seed,
            )
        for name in self.entries:
            path = self.folder / f'{name}.json'
            path.write_text(
                json.dumps(self.make_settings(name)), encoding='utf-8'
            )
        time.sleep(1.0)
        names = list(self.entries)
        for first in range(0, len(names), STARTING):
            for name in names[first : first + STARTING]:
                self.start_entry(name)
            time.sleep(1.0)

    def apply_contract(self):
        """Write a contract for as many groups as there are domains."""
        contract = {
            'customer': 'bench',
            'api_key_hashes': ['0' * 64],
            'starts_at': '2020-01-01T00:00:00Z',
            'ends_at': '2099-01-01T00:00:00Z',
            'models': [
                {
                    'model': 'bench-model',
                    'version': 'v1',
                    'replicas': len(self.vms) // GROUP_SIZE,
                    'group_size': GROUP_SIZE,
                }
            ],
        }
        path = self.folder / 'contract.json'
        path.write_text(json.dumps(contract), encoding='utf-8')
        done = self.run_command('contract', 'apply', path)
        if done.returncode:
            raise AssertionError(done.stderr)

    def describe(self):
        """What the entries say, for a fleet that does not settle."""
        states = [self.get_status(name) for name in self.entries]
        said = [state for state in states if state]
        alive = _count(
            sum(node['alive'] for node in state['nodes']) for state in said
        )
        groups = _count(
            (group['state'], group['reason'])
            for state in said
            for group in state['groups']
        )
        shards = [state['shards'] for state in said if state['shards']]
        short = said[0]['short'] if said else ''
        ended = {
            name: self.read_log(name)[-300:]
            for name, process in self.processes.items()
            if process.poll() is not None
        }
        return (
            f'processes ended {ended}; {len(said)} of {len(states)} answer;'
            f' nodes alive {alive};'
            f' groups {groups}; leases {shards}; short {short}'
        )

    def is_settled(self):
        """Whether all nodes see all nodes, and all groups serve."""
        if any(p.poll() is not None for p in self.processes.values()):
            raise AssertionError('a process ended')
        wanted = len(self.vms) // GROUP_SIZE
        for name in self.entries:
            status = self.get_status(name)
            if status is None:
                return False
            alive = sum(node['alive'] for node in status['nodes'])
            serving = sum(group['serving'] for group in status['groups'])
            if alive != len(self.entries) or serving != wanted:
                return False
        return True


def _count(values):
    return dict(collections.Counter(values))


def sample(fleet):
    """CPU seconds, memory and counters of every entry."""
    rows = {}
    for name in fleet.entries:
        process = psutil.Process(fleet.processes[name].pid)
        times = process.cpu_times()
        rows[name] = {
            'cpu': times.user + times.system,
            'memory': process.memory_info().rss,
            'at': time.monotonic(),
            **fleet.get_status(name)['control'],
        }
    return rows


def measure(entries, engines, data_centres, seconds):
    """Rates of every entry of one size."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), entries, engines, data_centres)
        try:
            fleet.start()
            try:
                conditions.wait_for(
                    lambda: fleet.get_status('entry-000'),
                    'an entry answers',
                    30,
                )
                fleet.apply_contract()
                conditions.wait_for(fleet.is_settled, 'fleet settles', 180)
            except AssertionError as error:
                raise AssertionError(f'{error}; {fleet.describe()}') from None
            time.sleep(5.0)
            before = sample(fleet)
            time.sleep(seconds)
            after = sample(fleet)
        finally:
            fleet.stop()
    return [make_rates(before[name], after[name]) for name in before]


def make_rates(before, after):
    """Rates of one entry between two samples."""
    span = after['at'] - before['at']

    def rate(key):
        return (after[key] - before[key]) / span

    return {
        'cpu': 100 * rate('cpu'),
        'sent': rate('peer_bytes_sent') / 1000,
        'received': rate('peer_bytes_received') / 1000,
        'platform': rate('platform_bytes_received') / 1000,
        'calls': rate('platform_calls'),
        'messages': rate('peer_messages_received'),
        'polls': rate('engine_reports'),
        'memory': after['memory'] / 1e6,
        'observed': after['vms_observed'],
    }


def fit(points, quantity):
    """Least-squares slopes with their standard errors.

    Columns: constant, peers, engines, VMs observed by the node itself.
    """
    rows = [
        (1.0, entries - 1, engines, rate['observed'])
        for entries, engines, rates in points
        for rate in rates
    ]
    x = numpy.array(rows)
    y = numpy.array(
        [rate[quantity] for _, _, rates in points for rate in rates]
    )
    slopes, _, _, _ = numpy.linalg.lstsq(x, y, rcond=None)
    rest = y - x @ slopes
    variance = rest @ rest / max(1, len(y) - x.shape[1])
    errors = numpy.sqrt(numpy.diag(variance * numpy.linalg.pinv(x.T @ x)))
    return slopes, errors


def print_size(entries, engines, data_centres, rates):
    """Print means and the largest CPU share of one size."""
    means = {
        key: statistics.fmean(rate[key] for rate in rates) for key in rates[0]
    }
    most = max(rate['cpu'] for rate in rates)
    print(
        f'{entries:3d} entries {engines:4d} engines {data_centres} DC:'
        f' cpu {means["cpu"]:6.2f} % (most {most:6.2f})'
        f' sent {means["sent"]:7.2f} received {means["received"]:7.2f}'
        f' platform {means["platform"]:7.2f} KB/s'
        f' memory {means["memory"]:5.1f} MB'
        f' calls {means["calls"]:5.2f}/s frames {means["messages"]:7.1f}/s'
        f' polls {means["polls"]:6.1f}/s',
        flush=True,
    )


def print_slopes(points):
    """Print the slopes of every quantity, and what they give at target."""
    engines = TARGET['engines']
    nodes = TARGET['nodes']
    observed = engines / nodes
    for quantity in QUANTITIES:
        slopes, errors = fit(points, quantity)
        names = ('constant', 'a peer', 'an engine', 'an observed VM')
        text = ', '.join(
            f'{slope:.4g} +- {error:.2g} {name}'
            for name, slope, error in zip(names, slopes, errors, strict=True)
        )
        full = slopes @ (1.0, nodes - 1, engines, observed)
        print(f'{quantity}: {text}; full mesh at target {full:.4g}')


def plot(points, path):
    """Save processor time by peers, a point an entry."""
    from benchmarks import plots

    series = {}
    for entries, engines, rates in points:
        pairs = series.setdefault(f'{engines} engines', [])
        pairs += [(entries - 1, rate['cpu']) for rate in rates]
    slopes, _ = fit(points, 'cpu')
    labels = ('peers', '% of a core')
    title = 'Processor time of control, by entry'
    plots.save_points(path, title, labels, series, tuple(slopes[:2]))


def main():
    """Measure all sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument('--sizes', help='ENTRIES:ENGINES:DCS, by comma.')
    parser.add_argument('--save', help='File to add the rates to.')
    parser.add_argument('--fit', help='Only fit the rates of such a file.')
    parser.add_argument('--plot', help='SVG file, with --fit.')
    arguments = parser.parse_args()
    if arguments.fit:
        lines = pathlib.Path(arguments.fit).read_text(encoding='utf-8')
        points = [json.loads(line) for line in lines.splitlines()]
        print_slopes(points)
        if arguments.plot:
            plot(points, arguments.plot)
        return
    sizes = SIZES
    if arguments.sizes:
        sizes = [
            tuple(map(int, size.split(':')))
            for size in arguments.sizes.split(',')
        ]
    print(f'{os.cpu_count()} cores; {arguments.seconds} s a size')
    points = []
    for entries, engines, data_centres in sizes:
        for _ in range(TRIES):
            try:
                rates = measure(
                    entries, engines, data_centres, arguments.seconds
                )
                break
            except AssertionError as error:
                print(f'{entries} entries {engines} engines: failed: {error}')
        else:
            continue
        print_size(entries, engines, data_centres, rates)
        points.append((entries, engines, rates))
        if arguments.save:
            with open(arguments.save, 'a', encoding='utf-8') as file:
                file.write(json.dumps(points[-1]) + '\n')
    if len(points) >= 4:
        print_slopes(points)


if __name__ == '__main__':
    main()
