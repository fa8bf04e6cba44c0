"""Clusters of entries and stand-ins that run as processes on loopback."""

import contextlib
import copy
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import urllib.error
import urllib.request

from build_tools import conditions

ROOT = pathlib.Path(__file__).resolve().parent.parent

DATA_CENTRES = ('tbilisi-a', 'tbilisi-b', 'tbilisi-c')

LISTEN_PORTS = (10000, 32000)
"""Range of listening ports, upper bound exclusive. It lies below the ephemeral
ports, so that no outgoing connection can occupy the port of a process that
is restarting."""

SHORT_INTERVALS = {
    'observation': {'interval': 0.25, 'timeout': 0.5, 'stale_after': 1.5},
    'control': {
        'lease_duration': 2.0,
        'lease_margin': 0.2,
        'interval': 0.1,
        'order_interval': 0.5,
        'repair_after': 0.3,
    },
    'placement': {
        'load_time': 0.2,
        'cached_load_time': 0.1,
        'ticket_interval': 0.05,
    },
}
"""Sections of an entry's settings with intervals that are short enough for
tests."""


class Cluster:
    """Entries, engines, services and the platform of one demo or test.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings files and logs.
    domains : int, default=2
        Number of fabric domains in each data centre.
    vms_per_domain : int, default=3
        Number of VMs in each fabric domain.
    overrides : dict of str to dict, default=None
        Settings that replace the defaults of every entry, by section.
    token_delay : float, default=0.02
        Time between two tokens of an engine (seconds).
    has_proxies : bool, default=False
        Whether traffic between data centres passes through proxies, so that
        `partition` can isolate data centres.
    binary : pathlib.Path or None, default=None
        Single-file executable that runs the entries. If None, they run from
        the sources.

    Attributes
    ----------
    processes : dict of str to subprocess.Popen
        Latest process started under each name.
    platform_address : str
        ``host:port`` of the platform stand-in.
    link_admin_address : str
        ``host:port`` of the admin interface of the proxies.
    engine_admin_addresses : dict of str to str
        ``host:port`` of the engines' admin interface, by data centre.
    service_addresses : dict of str to str
        ``host:port`` of the service's backend server, by data centre.
    vms : list of dict
        VM list that the platform reports.
    entries : dict of str to dict
        Data centre and listening addresses of each entry, by entry name.
    """

    def __init__(
        self,
        folder,
        domains=2,
        vms_per_domain=3,
        overrides=None,
        token_delay=0.02,
        has_proxies=False,
        binary=None,
    ):
        self._has_proxies = has_proxies
        self._forwards = []
        self._forwarded_addresses = {}
        self._binary = binary
        self.folder = folder
        self._token_delay = token_delay
        self._overrides = overrides or {}
        self._reservations = []
        self.processes = {}
        self.platform_address = self._reserve_address()
        self.link_admin_address = self._reserve_address()
        self.engine_admin_addresses = {
            data_centre: self._reserve_address()
            for data_centre in DATA_CENTRES
        }
        self.service_addresses = {
            data_centre: self._reserve_address()
            for data_centre in DATA_CENTRES
        }
        self.vms = [
            {
                'name': f'{data_centre}-d{domain}-v{number}',
                'address': self._reserve_address(),
                'data_centre': data_centre,
                'fabric_domain': f'{data_centre}-d{domain}',
                'accelerators': 2,
                'state': 'live',
            }
            for data_centre in DATA_CENTRES
            for domain in range(domains)
            for number in range(vms_per_domain)
        ]
        self.entries = {
            f'entry-{data_centre[-1]}{number}': {
                'data_centre': data_centre,
                'callers': self._reserve_address(),
                'operators': self._reserve_address(),
                'peers': self._reserve_address(),
            }
            for data_centre in DATA_CENTRES
            for number in (1, 2)
        }

    def _reserve_address(self):
        """Reserve a free loopback address until the processes start."""
        while True:
            # SO_REUSEADDR stays unset: it would let two sockets bind one port.
            reservation = socket.socket()
            try:
                reservation.bind(
                    (
                        '127.0.0.1',
                        random.SystemRandom().randrange(*LISTEN_PORTS),
                    )
                )
            except OSError:
                reservation.close()
                continue
            self._reservations.append(reservation)
            return f'127.0.0.1:{reservation.getsockname()[1]}'

    def _get_external_address(self, location, target):
        """Get the address at which other locations reach a target."""
        if not self._has_proxies:
            return target
        if target not in self._forwarded_addresses:
            self._forwarded_addresses[target] = self._reserve_address()
            self._forwards.append(
                {
                    'place': location,
                    'port': int(
                        conditions.get_port(self._forwarded_addresses[target])
                    ),
                    'target': target,
                }
            )
        return self._forwarded_addresses[target]

    def partition(self, *data_centres):
        """Partition the network around some data centres.

        They reach neither the other data centres nor the platform until the
        next call, which replaces the partition.

        Parameters
        ----------
        *data_centres : str
            Data centres to isolate; none heals the partition.
        """
        conditions.post_json(
            f'http://{self.link_admin_address}/admin/cut',
            {'places': list(data_centres)},
        )
        for data_centre, address in self.engine_admin_addresses.items():
            isolated_from = [
                name
                for name, entry in self.entries.items()
                if (entry['data_centre'] in data_centres)
                != (data_centre in data_centres)
            ]
            conditions.post_json(
                f'http://{address}/admin/cut', {'entries': isolated_from}
            )

    def make_settings(self, name):
        """Make the settings of one entry.

        Parameters
        ----------
        name : str
            Name of the entry.

        Returns
        -------
        dict
            Content of its settings file.
        """
        entry = self.entries[name]
        platform_address = self._get_external_address(
            'platform', self.platform_address
        )
        settings = {
            'node': {'name': name, 'data_centre': entry['data_centre']},
            'listen': {
                **{k: entry[k] for k in ('callers', 'operators', 'peers')},
                'advertised_peers': self._get_external_address(
                    entry['data_centre'], entry['peers']
                ),
            },
            'platform': {
                'url': f'http://{platform_address}',
                'vm_list_interval': 0.5,
            },
            'peers': [
                {
                    'name': other,
                    'data_centre': peer['data_centre'],
                    'address': self._get_external_address(
                        peer['data_centre'], peer['peers']
                    ),
                }
                for other, peer in self.entries.items()
                if other != name
            ],
            'services': [
                {
                    'name': 'circle-ledger',
                    'backends': [
                        {
                            'name': f'ledger-{data_centre}',
                            'data_centre': data_centre,
                            'address': self.service_addresses[data_centre],
                        }
                        for data_centre in DATA_CENTRES
                    ],
                }
            ],
            **copy.deepcopy(SHORT_INTERVALS),
        }
        for section, values in self._overrides.items():
            settings.setdefault(section, {}).update(values)
        return settings

    def start(self):
        """Write the settings files and start all processes."""
        vms = self.folder / 'vms.json'
        vms.write_text(json.dumps(self.vms), encoding='utf-8')
        settings = {name: self.make_settings(name) for name in self.entries}
        for reservation in self._reservations:
            reservation.close()
        if self._has_proxies:
            self._start_links()
        self._start_module(
            'platform',
            'standins.platform',
            '--port',
            conditions.get_port(self.platform_address),
            '--vms',
            vms,
        )
        for data_centre in DATA_CENTRES:
            self._start_module(
                f'engines-{data_centre}',
                'standins.engines',
                '--admin-port',
                conditions.get_port(self.engine_admin_addresses[data_centre]),
                '--vms',
                vms,
                '--data-centre',
                data_centre,
                '--token-delay',
                self._token_delay,
            )
            self._start_module(
                f'service-{data_centre}',
                'standins.services',
                '--port',
                conditions.get_port(self.service_addresses[data_centre]),
            )
        for name in self.entries:
            path = self.folder / f'{name}.json'
            path.write_text(json.dumps(settings[name]), encoding='utf-8')
            self.start_entry(name)

    def check_running(self):
        """Check that no stand-in has exited.

        Raises
        ------
        AssertionError
            A stand-in has exited; the end of its log is quoted.
        """
        for name, process in self.processes.items():
            if name not in self.entries and process.poll() is not None:
                raise AssertionError(
                    f'{name} exited: {self.read_log(name)[-2000:]}'
                )

    def _start_links(self):
        path = self.folder / 'forwards.json'
        places = {n: e['data_centre'] for n, e in self.entries.items()}
        value = {'forwards': self._forwards, 'places': places}
        path.write_text(json.dumps(value), encoding='utf-8')
        self._start_module(
            'link',
            'standins.link',
            '--admin-port',
            conditions.get_port(self.link_admin_address),
            '--forwards',
            path,
        )

    def start_entry(self, name):
        """Start the process of one entry.

        Parameters
        ----------
        name : str
            Name of the entry.
        """
        path = self.folder / f'{name}.json'
        command = [sys.executable, '-m', 'balsamwind']
        if self._binary is not None:
            command = [self._binary]
        self._start_process(name, [*command, 'entry', '--settings', path])

    def _start_module(self, name, module, *arguments):
        self._start_process(name, [sys.executable, '-m', module, *arguments])

    def _start_process(self, name, command):
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [str(part) for part in command],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def stop(self):
        """Kill all processes and wait until they have exited."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def read_log(self, name):
        """Read the log of one process.

        Parameters
        ----------
        name : str
            Name of the process.

        Returns
        -------
        str
            Its standard output and standard error.
        """
        path = self.folder / f'{name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def apply_contract(self, contract):
        """Apply a contract and wait until it is in force at every entry.

        Parameters
        ----------
        contract : dict
            The contract.

        Returns
        -------
        str
            Output of the command on one line.

        Raises
        ------
        AssertionError
            The command failed; its standard error is quoted.
        """
        path = self.folder / 'contract.json'
        path.write_text(json.dumps(contract), encoding='utf-8')
        entry = next(iter(self.entries.values()))['operators']
        completed = self.run_command(
            'contract', 'apply', path, '--wait', '--entry', entry
        )
        if completed.returncode:
            raise AssertionError(completed.stderr)
        return ' '.join(completed.stdout.split())

    def get_serving_groups(self, name):
        """Get the serving replica groups in the view of one entry.

        Parameters
        ----------
        name : str
            Name of the entry.

        Returns
        -------
        list of dict
            Status of each serving group.
        """
        return [group for group in self.get_groups(name) if group['serving']]

    def wait_until_serving(self, count):
        """Wait until every entry sees the given number of serving groups.

        Parameters
        ----------
        count : int
            Number of serving groups.

        Raises
        ------
        AssertionError
            A stand-in has exited, or the groups did not serve in time.
        """
        self.check_running()
        conditions.wait_for(
            lambda: all(
                len(self.get_serving_groups(n)) == count for n in self.entries
            ),
            f'{count} serving groups in the view of every entry',
        )

    def get_status(self, name):
        """Get the status of one entry.

        Parameters
        ----------
        name : str
            Name of the entry.

        Returns
        -------
        dict or None
            Its status; None if it does not answer with valid JSON.
        """
        try:
            address = self.entries[name]['operators']
            return conditions.get_json(f'http://{address}/status')
        except (OSError, ValueError):
            return None

    def get_groups(self, name):
        """Get all replica groups in the view of one entry.

        Parameters
        ----------
        name : str
            Name of the entry.

        Returns
        -------
        list of dict
            Status of each group; empty if the entry does not answer.
        """
        status = self.get_status(name)
        return status['groups'] if status else []

    def inject_fault(self, vm, fault, value=None):
        """Inject a fault into the engine of one VM, or clear it.

        Parameters
        ----------
        vm : str
            Name of the VM.
        fault : str
            Kind of fault, as the engine stand-in names it.
        value : bool, float or None, default=None
            Argument of the fault.
        """
        data_centre = next(
            r['data_centre'] for r in self.vms if r['name'] == vm
        )
        conditions.post_json(
            f'http://{self.engine_admin_addresses[data_centre]}/admin/{vm}',
            {'fault': fault, 'value': value},
        )

    def get_effects(self):
        """Get the side effects that all backend servers have recorded.

        Returns
        -------
        list of dict
            Effects, each with its idempotency key.
        """
        return [
            effect
            for address in self.service_addresses.values()
            for effect in conditions.get_json(f'http://{address}/admin')[
                'effects'
            ]
        ]

    def run_command(self, *arguments):
        """Run a ``balsamwind`` command against the platform stand-in.

        Parameters
        ----------
        *arguments : object
            Arguments of the command, converted to strings.

        Returns
        -------
        subprocess.CompletedProcess
            The finished command with its output as text.
        """
        environment = {
            **os.environ,
            'BALSAMWIND_PLATFORM': f'http://{self.platform_address}',
        }
        return subprocess.run(
            [sys.executable, '-m', 'balsamwind', *map(str, arguments)],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=conditions.WAIT_TIMEOUT * 2,
        )

    def send_request(self, name, path, body=None, key='', headers=None):
        """Send a request to one entry as a caller does.

        Parameters
        ----------
        name : str
            Name of the entry.
        path : str
            Path of the request.
        body : object, default=None
            Value to send as JSON; if None, the request is a GET.
        key : str, default=''
            API key.
        headers : dict of str to str, default=None
            Additional headers.

        Returns
        -------
        status : int
            HTTP status code.
        headers : dict of str to str
            Headers of the answer.
        body : bytes
            Body of the answer.
        """
        url = f'http://{self.entries[name]["callers"]}{path}'
        data = None if body is None else json.dumps(body).encode('utf-8')
        request = urllib.request.Request(url, data)
        request.add_header('Authorization', f'Bearer {key}')
        request.add_header('Content-Type', 'application/json')
        for field, value in (headers or {}).items():
            request.add_header(field, value)
        try:
            with urllib.request.urlopen(
                request, timeout=conditions.WAIT_TIMEOUT
            ) as answer:
                return answer.status, dict(answer.headers), answer.read()
        except urllib.error.HTTPError as error:
            return error.code, dict(error.headers), error.read()


@contextlib.contextmanager
def open_cluster(**arguments):
    """Run a cluster for the duration of a ``with`` block.

    Parameters
    ----------
    **arguments : dict
        Parameters of `Cluster` other than its directory, which is temporary.

    Yields
    ------
    Cluster
        The cluster; its processes have been started.
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(pathlib.Path(folder), **arguments)
        try:
            cluster.start()
            yield cluster
        finally:
            cluster.stop()
