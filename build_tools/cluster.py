"""Start stand-ins and entries as separate processes over loopback."""

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

PORTS = (10000, 32000)
"""Listeners' ports: below those that the system gives to connections, so
that no connection can sit on the port of a process that restarts."""

INTERVALS = {
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
"""Sections of an entry's settings that make a cluster react sooner."""


class Cluster:
    """Processes of one demonstration or test.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and logs.
    domains : int
        Fabric domains in each data centre (count).
    vms_per_domain : int
        VMs in each of them (count).
    overrides : dict
        Sections of the entries' settings to change.
    token_delay : float
        Time between the tokens of an engine (seconds).
    links : bool
        Whether data centres can be cut off, by `cut`.
    binary : pathlib.Path or None
        One-file build to run the entries from, instead of the sources.
    """

    def __init__(
        self,
        folder,
        domains=2,
        vms_per_domain=3,
        overrides=None,
        token_delay=0.02,
        links=False,
        binary=None,
    ):
        self._links = links
        self._forwards = []
        self._forwarded = {}
        self._binary = binary
        self.folder = folder
        self._token_delay = token_delay
        self._overrides = overrides or {}
        self._held = []
        self.processes = {}
        self.platform = self._address()
        self.network = self._address()
        self.admin = {place: self._address() for place in DATA_CENTRES}
        self.service = {place: self._address() for place in DATA_CENTRES}
        self.vms = [
            {
                'name': f'{place}-d{domain}-v{number}',
                'address': self._address(),
                'data_centre': place,
                'fabric_domain': f'{place}-d{domain}',
                'accelerators': 2,
                'state': 'live',
            }
            for place in DATA_CENTRES
            for domain in range(domains)
            for number in range(vms_per_domain)
        ]
        self.entries = {
            f'entry-{place[-1]}{number}': {
                'data_centre': place,
                'callers': self._address(),
                'operators': self._address(),
                'peers': self._address(),
            }
            for place in DATA_CENTRES
            for number in (1, 2)
        }

    def _address(self):
        """A free loopback address, held until the processes start."""
        while True:
            # Without SO_REUSEADDR, which would let two holders share a port.
            holder = socket.socket()
            try:
                holder.bind(
                    ('127.0.0.1', random.SystemRandom().randrange(*PORTS))
                )
            except OSError:
                holder.close()
                continue
            self._held.append(holder)
            return f'127.0.0.1:{holder.getsockname()[1]}'

    def _via(self, place, target):
        """Address by which other places reach a target in `place`."""
        if not self._links:
            return target
        if target not in self._forwarded:
            self._forwarded[target] = self._address()
            self._forwards.append(
                {
                    'place': place,
                    'port': int(conditions.get_port(self._forwarded[target])),
                    'target': target,
                }
            )
        return self._forwarded[target]

    def cut(self, *places):
        """Cut data centres off from the others and from the platform."""
        conditions.post_json(
            f'http://{self.network}/admin/cut', {'places': list(places)}
        )
        for place, address in self.admin.items():
            far = [
                name
                for name, entry in self.entries.items()
                if (entry['data_centre'] in places) != (place in places)
            ]
            conditions.post_json(
                f'http://{address}/admin/cut', {'entries': far}
            )

    def settings(self, name):
        """Settings of one entry."""
        entry = self.entries[name]
        platform = self._via('platform', self.platform)
        settings = {
            'node': {'name': name, 'data_centre': entry['data_centre']},
            'listen': {
                **{k: entry[k] for k in ('callers', 'operators', 'peers')},
                'advertised_peers': self._via(
                    entry['data_centre'], entry['peers']
                ),
            },
            'platform': {
                'url': f'http://{platform}',
                'vm_list_interval': 0.5,
            },
            'peers': [
                {
                    'name': other,
                    'data_centre': peer['data_centre'],
                    'address': self._via(peer['data_centre'], peer['peers']),
                }
                for other, peer in self.entries.items()
                if other != name
            ],
            'services': [
                {
                    'name': 'circle-ledger',
                    'backends': [
                        {
                            'name': f'ledger-{place}',
                            'data_centre': place,
                            'address': self.service[place],
                        }
                        for place in DATA_CENTRES
                    ],
                }
            ],
            **copy.deepcopy(INTERVALS),
        }
        for section, values in self._overrides.items():
            settings.setdefault(section, {}).update(values)
        return settings

    def start(self):
        """Start all processes."""
        vms = self.folder / 'vms.json'
        vms.write_text(json.dumps(self.vms), encoding='utf-8')
        settings = {name: self.settings(name) for name in self.entries}
        for holder in self._held:
            holder.close()
        if self._links:
            self._start_links()
        self._spawn(
            'platform',
            'standins.platform',
            '--port',
            conditions.get_port(self.platform),
            '--vms',
            vms,
        )
        for place in DATA_CENTRES:
            self._spawn(
                f'engines-{place}',
                'standins.engines',
                '--admin-port',
                conditions.get_port(self.admin[place]),
                '--vms',
                vms,
                '--data-centre',
                place,
                '--token-delay',
                self._token_delay,
            )
            self._spawn(
                f'service-{place}',
                'standins.services',
                '--port',
                conditions.get_port(self.service[place]),
            )
        for name in self.entries:
            path = self.folder / f'{name}.json'
            path.write_text(json.dumps(settings[name]), encoding='utf-8')
            self.start_entry(name)

    def check_running(self):
        """Check that no stand-in has ended by itself."""
        for name, process in self.processes.items():
            if name not in self.entries and process.poll() is not None:
                raise AssertionError(f'{name} ended: {self.log(name)[-2000:]}')

    def _start_links(self):
        path = self.folder / 'forwards.json'
        places = {n: e['data_centre'] for n, e in self.entries.items()}
        value = {'forwards': self._forwards, 'places': places}
        path.write_text(json.dumps(value), encoding='utf-8')
        self._spawn(
            'link',
            'standins.link',
            '--admin-port',
            conditions.get_port(self.network),
            '--forwards',
            path,
        )

    def start_entry(self, name):
        """Start one entry."""
        path = self.folder / f'{name}.json'
        command = [sys.executable, '-m', 'balsamwind']
        if self._binary is not None:
            command = [self._binary]
        self._run(name, [*command, 'entry', '--settings', path])

    def _spawn(self, name, module, *arguments):
        self._run(name, [sys.executable, '-m', module, *arguments])

    def _run(self, name, command):
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [str(part) for part in command],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def stop(self):
        """Stop all processes and wait for them."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def log(self, name):
        """Log of one process."""
        path = self.folder / f'{name}.log'
        return path.read_text(encoding='utf-8', errors='replace')

    def apply(self, contract):
        """Write a contract and wait until it is in force everywhere."""
        path = self.folder / 'contract.json'
        path.write_text(json.dumps(contract), encoding='utf-8')
        entry = next(iter(self.entries.values()))['operators']
        done = self.command(
            'contract', 'apply', path, '--wait', '--entry', entry
        )
        if done.returncode:
            raise AssertionError(done.stderr)
        return ' '.join(done.stdout.split())

    def serving(self, name):
        """Groups that serve, as one entry sees them."""
        return [group for group in self.groups(name) if group['serving']]

    def wait_until_serving(self, count):
        """Wait until every entry sees `count` groups serve."""
        self.check_running()
        conditions.wait_for(
            lambda: all(len(self.serving(n)) == count for n in self.entries),
            f'{count} groups serve at every entry',
        )

    def status(self, name):
        """Status of one entry; None if it does not answer."""
        try:
            address = self.entries[name]['operators']
            return conditions.get_json(f'http://{address}/status')
        except (OSError, ValueError):
            return None

    def groups(self, name):
        """Groups as one entry sees them."""
        status = self.status(name)
        return status['groups'] if status else []

    def fault(self, vm, fault, value=None):
        """Give a VM a fault."""
        place = next(r['data_centre'] for r in self.vms if r['name'] == vm)
        conditions.post_json(
            f'http://{self.admin[place]}/admin/{vm}',
            {'fault': fault, 'value': value},
        )

    def effects(self):
        """Effects recorded by all plain services."""
        return [
            effect
            for address in self.service.values()
            for effect in conditions.get_json(f'http://{address}/admin')[
                'effects'
            ]
        ]

    def command(self, *arguments):
        """Run the command line; its completed process."""
        environment = {
            **os.environ,
            'BALSAMWIND_PLATFORM': f'http://{self.platform}',
        }
        return subprocess.run(
            [sys.executable, '-m', 'balsamwind', *map(str, arguments)],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=conditions.WAIT * 2,
        )

    def request(self, name, path, body=None, key='', headers=None):
        """Send a caller's request to one entry; (status, headers, body)."""
        url = f'http://{self.entries[name]["callers"]}{path}'
        data = None if body is None else json.dumps(body).encode('utf-8')
        request = urllib.request.Request(url, data)
        request.add_header('Authorization', f'Bearer {key}')
        request.add_header('Content-Type', 'application/json')
        for field, value in (headers or {}).items():
            request.add_header(field, value)
        try:
            with urllib.request.urlopen(
                request, timeout=conditions.WAIT
            ) as answer:
                return answer.status, dict(answer.headers), answer.read()
        except urllib.error.HTTPError as error:
            return error.code, dict(error.headers), error.read()


@contextlib.contextmanager
def open_cluster(**arguments):
    """Run a cluster until the block ends."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(pathlib.Path(folder), **arguments)
        try:
            cluster.start()
            yield cluster
        finally:
            cluster.stop()
