"""Cost of the control path of one node, by number of peers and of engines.

Runs entry processes over loopback with stand-in engines in groups of 16 and
the default intervals of the settings. Prints for each size, as means over
all nodes, the CPU share, the bytes sent and received on peer links, the bytes
read from the platform and the resident memory, and afterwards the
least-squares slopes of these quantities.
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
"""Entries, engines and data centres of each run (counts)."""

QUANTITIES = ('cpu', 'sent', 'received', 'platform', 'memory')

TARGET = {'nodes': 370, 'data_centres': 8, 'engines': 3200}

PORTS = range(2000, 9900)
"""Ports of listeners, below those that outgoing connections get."""

MAX_ATTEMPTS = 3
"""Attempts at one size, as another process may take a port (count)."""

START_BATCH = 20
"""Entries started together, one batch a second (count)."""


class BenchmarkCluster(cluster_module.Cluster):
    """Cluster of any size, with the default intervals of the settings.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and logs.
    entries : int
        Entries (count).
    engines : int
        Engines, a multiple of `GROUP_SIZE` (count).
    data_centres : int
        Data centres, over which entries and groups are spread (count).
    """

    def __init__(self, folder, entries, engines, data_centres):
        self._data_centre_names = [
            f'dc-{number}' for number in range(data_centres)
        ]
        super().__init__(folder)
        self.engine_admin_addresses = {
            data_centre: self._reserve_address()
            for data_centre in self._data_centre_names
        }
        domains = engines // GROUP_SIZE
        self.vms = [
            {
                'name': f'vm-{domain:03d}-{number:02d}',
                'address': self._reserve_address(),
                'data_centre': self._data_centre_names[domain % data_centres],
                'fabric_domain': f'domain-{domain:03d}',
                'accelerators': 2,
                'state': 'live',
            }
            for domain in range(domains)
            for number in range(GROUP_SIZE)
        ]
        self.entries = {
            f'entry-{number:03d}': {
                'data_centre': self._data_centre_names[number % data_centres],
                'callers': self._reserve_address(),
                'operators': self._reserve_address(),
                'peers': self._reserve_address(),
            }
            for number in range(entries)
        }

    def _reserve_address(self):
        """Reserve a loopback address that no outgoing connection can take."""
        while True:
            placeholder = socket.socket()
            address = ('127.0.0.1', random.choice(PORTS))
            try:
                placeholder.bind(address)
            except OSError:
                placeholder.close()
                continue
            self._reservations.append(placeholder)
            return f'127.0.0.1:{address[1]}'

    def make_settings(self, name):
        """Make the settings of one entry, with default intervals.

        Parameters
        ----------
        name : str
            Name of the entry.

        Returns
        -------
        dict
        """
        settings = super().make_settings(name)
        for section in ('observation', 'control'):
            del settings[section]
        settings['platform'].pop('vm_list_interval')
        settings['services'] = []
        return settings

    def start(self):
        """Start all processes, the entries in batches."""
        vms = self.folder / 'vms.json'
        vms.write_text(json.dumps(self.vms), encoding='utf-8')
        for placeholder in self._reservations:
            placeholder.close()
        port = conditions.get_port(self.platform_address)
        self._start_module(
            'platform', 'standins.platform', '--port', port, '--vms', vms
        )
        for seed, data_centre in enumerate(self._data_centre_names):
            self._start_module(
                f'engines-{data_centre}',
                'benchmarks.control_fleet',
                '--admin-port',
                conditions.get_port(self.engine_admin_addresses[data_centre]),
                '--vms',
                vms,
                '--data-centre',
                data_centre,
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
        for first in range(0, len(names), START_BATCH):
            for name in names[first : first + START_BATCH]:
                self.start_entry(name)
            time.sleep(1.0)

    def apply_benchmark_contract(self):
        """Write a contract with one replica for each fabric domain.

        Raises
        ------
        AssertionError
            If the command fails, with its standard error.
        """
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
        completed = self.run_command('contract', 'apply', path)
        if completed.returncode:
            raise AssertionError(completed.stderr)

    def describe_state(self):
        """Describe the state that the entries report, for a failed run.

        Returns
        -------
        str
            Exited processes with the ends of their logs, and counts of
            answering entries, nodes alive, group states and leases.
        """
        statuses = [self.get_status(name) for name in self.entries]
        answers = [state for state in statuses if state]
        alive = _count(
            sum(node['alive'] for node in state['nodes']) for state in answers
        )
        groups = _count(
            (group['state'], group['reason'])
            for state in answers
            for group in state['groups']
        )
        shards = [state['shards'] for state in answers if state['shards']]
        shortage = answers[0]['short'] if answers else ''
        exited = {
            name: self.read_log(name)[-300:]
            for name, process in self.processes.items()
            if process.poll() is not None
        }
        return (
            f'processes exited: {exited};'
            f' {len(answers)} of {len(statuses)} answer;'
            f' nodes alive {alive};'
            f' groups {groups}; leases {shards}; short {shortage}'
        )

    def has_converged(self):
        """Return whether every entry sees all entries and all groups serving.

        Raises
        ------
        AssertionError
            If a process has exited.
        """
        if any(p.poll() is not None for p in self.processes.values()):
            raise AssertionError(
                'a process exited before the cluster converged'
            )
        expected_groups = len(self.vms) // GROUP_SIZE
        for name in self.entries:
            status = self.get_status(name)
            if status is None:
                return False
            alive = sum(node['alive'] for node in status['nodes'])
            serving = sum(group['serving'] for group in status['groups'])
            if alive != len(self.entries) or serving != expected_groups:
                return False
        return True


def _count(values):
    return dict(collections.Counter(values))


def sample(cluster):
    """Read the CPU time, memory and control counters of every entry.

    Parameters
    ----------
    cluster : BenchmarkCluster
        Running cluster.

    Returns
    -------
    dict of str to dict
        Entry -> CPU time (seconds), resident memory (bytes), monotonic time
        of the sample (seconds) and the counters of its status.
    """
    rows = {}
    for name in cluster.entries:
        process = psutil.Process(cluster.processes[name].pid)
        times = process.cpu_times()
        rows[name] = {
            'cpu': times.user + times.system,
            'memory': process.memory_info().rss,
            'at': time.monotonic(),
            **cluster.get_status(name)['control'],
        }
    return rows


def measure(entries, engines, data_centres, seconds):
    """Run a cluster of one size and measure its entries.

    Parameters
    ----------
    entries : int
        Entries (count).
    engines : int
        Engines (count).
    data_centres : int
        Data centres (count).
    seconds : float
        Time between the two samples (seconds).

    Returns
    -------
    list of dict
        Rates of each entry, as from `compute_rates`.

    Raises
    ------
    AssertionError
        If the cluster does not start or converge in time.
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = BenchmarkCluster(
            pathlib.Path(folder), entries, engines, data_centres
        )
        try:
            cluster.start()
            try:
                conditions.wait_for(
                    lambda: cluster.get_status('entry-000'),
                    'entry-000 answers',
                    30,
                )
                cluster.apply_benchmark_contract()
                conditions.wait_for(
                    cluster.has_converged,
                    'every entry sees all entries and all groups serving',
                    180,
                )
            except AssertionError as error:
                raise AssertionError(
                    f'{error}; {cluster.describe_state()}'
                ) from None
            time.sleep(5.0)
            before = sample(cluster)
            time.sleep(seconds)
            after = sample(cluster)
        finally:
            cluster.stop()
    return [compute_rates(before[name], after[name]) for name in before]


def compute_rates(before, after):
    """Compute the rates of one entry between two samples.

    Parameters
    ----------
    before : dict
        First sample of the entry.
    after : dict
        Second sample of the entry.

    Returns
    -------
    dict of str to float
        CPU share (percent of a core), traffic (kilobytes a second), calls,
        messages and polls (1/s), memory (megabytes), and VMs that the entry
        observes (count).
    """
    elapsed = after['at'] - before['at']

    def rate(key):
        return (after[key] - before[key]) / elapsed

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


def fit_slopes(points, quantity):
    """Fit a linear model of one quantity by least squares.

    The model has a constant and a slope for peers, for engines and for the
    VMs that the node itself observes.

    Parameters
    ----------
    points : list of tuple
        Entries, engines (counts) and list of rates of each size.
    quantity : str
        Key of the rates.

    Returns
    -------
    tuple of numpy.ndarray
        Coefficients in the order above; their standard errors.
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
    residuals = y - x @ slopes
    variance = residuals @ residuals / max(1, len(y) - x.shape[1])
    errors = numpy.sqrt(numpy.diag(variance * numpy.linalg.pinv(x.T @ x)))
    return slopes, errors


def print_size(entries, engines, data_centres, rates):
    """Print the means and the largest CPU share of one size.

    Parameters
    ----------
    entries : int
        Entries (count).
    engines : int
        Engines (count).
    data_centres : int
        Data centres (count).
    rates : list of dict
        Rates of each entry.
    """
    means = {
        key: statistics.fmean(rate[key] for rate in rates) for key in rates[0]
    }
    max_cpu = max(rate['cpu'] for rate in rates)
    print(
        f'{entries:3d} entries {engines:4d} engines {data_centres} DC:'
        f' cpu {means["cpu"]:6.2f} % (most {max_cpu:6.2f})'
        f' sent {means["sent"]:7.2f} received {means["received"]:7.2f}'
        f' platform {means["platform"]:7.2f} KB/s'
        f' memory {means["memory"]:5.1f} MB'
        f' calls {means["calls"]:5.2f}/s frames {means["messages"]:7.1f}/s'
        f' polls {means["polls"]:6.1f}/s',
        flush=True,
    )


def print_slopes(points):
    """Print the slopes of every quantity and its prediction at `TARGET`.

    Parameters
    ----------
    points : list of tuple
        Entries, engines (counts) and list of rates of each size.
    """
    engines = TARGET['engines']
    nodes = TARGET['nodes']
    observed = engines / nodes
    for quantity in QUANTITIES:
        slopes, errors = fit_slopes(points, quantity)
        names = ('constant', 'a peer', 'an engine', 'an observed VM')
        text = ', '.join(
            f'{slope:.4g} +- {error:.2g} {name}'
            for name, slope, error in zip(names, slopes, errors, strict=True)
        )
        prediction = slopes @ (1.0, nodes - 1, engines, observed)
        print(f'{quantity}: {text}; full mesh at target {prediction:.4g}')


def plot(points, path):
    """Plot the CPU share of every entry over its number of peers.

    Parameters
    ----------
    points : list of tuple
        Entries, engines (counts) and list of rates of each size.
    path : str
        SVG file to write.
    """
    from benchmarks import plots

    series = {}
    for entries, engines, rates in points:
        pairs = series.setdefault(f'{engines} engines', [])
        pairs += [(entries - 1, rate['cpu']) for rate in rates]
    slopes, _ = fit_slopes(points, 'cpu')
    labels = ('peers', '% of a core')
    title = 'Processor time of control, by entry'
    plots.save_points(path, title, labels, series, tuple(slopes[:2]))


def main():
    """Measure all sizes, or fit the rates of an earlier run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument(
        '--sizes',
        help='Comma-separated sizes, each ENTRIES:ENGINES:DATA_CENTRES.',
    )
    parser.add_argument('--save', help='File to which the rates are appended.')
    parser.add_argument(
        '--fit',
        help='Fit the rates of a file from --save and measure nothing.',
    )
    parser.add_argument(
        '--plot', help='SVG file for a plot of the CPU share; needs --fit.'
    )
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
        for _ in range(MAX_ATTEMPTS):
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
