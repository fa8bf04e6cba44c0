"""Cost of an entry's relay, against the same client without it.

Run: ``python -m benchmarks.relay [--streams 60 300] [--token-delay 0.02]``;
``--streams 320 --token-delay 0.078 --tokens 100 --duration 16`` is the load
that the target needs of a node, with more requests.
All parts are separate processes on this machine; the load goes to one entry
of six. The client sends the same requests straight to the stand-in's engines
and through the entry, and the processor time of the entry is read around
the second.
"""

import argparse
import asyncio
import hashlib
import json
import os
import random
import sys
import time

from hdrh import histogram
import psutil

from build_tools import cluster as cluster_module
from build_tools import conditions

KEY = 'relay-benchmark'

PROMPT = 'rota ' * 40

GROUPS = 6

CONTRACT = {
    'customer': 'rotagzeli',
    'api_key_hashes': [hashlib.sha256(KEY.encode()).hexdigest()],
    'starts_at': '2020-01-01T00:00:00Z',
    'ends_at': '2099-01-01T00:00:00Z',
    'models': [
        {
            'model': 'rota-model',
            'version': '1',
            'replicas': GROUPS,
            'group_size': 1,
        }
    ],
    'limits': {'requests_per_second': 100000, 'in_flight': 100000},
}


class Load:
    """Closed loop of streams, each a request after the other.

    Parameters
    ----------
    targets : list of (str, str, dict)
        Address, path and body of the requests, taken in turn.
    tokens : int
        Tokens of one answer (count).
    spread : float
        Time over which the streams begin (seconds).
    """

    def __init__(self, targets, tokens, spread):
        self.spread = spread
        self._rng = random.Random(1)
        self.targets = targets
        self.tokens = tokens
        self.first = histogram.HdrHistogram(1, 60_000_000, 3)
        self.requests = 0
        self.received = 0
        self.failed = 0

    async def run(self, streams, duration):
        """Run until `duration` seconds have passed."""
        self._end = time.monotonic() + duration
        await asyncio.gather(*map(self._stream, range(streams)))

    async def _stream(self, number):
        await asyncio.sleep(self._rng.random() * self.spread)
        address, path, body = self.targets[number % len(self.targets)]
        host, port = address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        turn = 0
        while time.monotonic() < self._end:
            turn += 1
            data = self._make_request(path, body, f'{number}.{turn}')
            try:
                await self._ask(reader, writer, data)
            except (OSError, ValueError, asyncio.IncompleteReadError):
                self.failed += 1
                writer.close()
                reader, writer = await asyncio.open_connection(host, int(port))
        writer.close()

    def _make_request(self, path, body, name):
        data = json.dumps({**body, 'attempt_id': name}).encode()
        head = (
            f'POST {path} HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'
        )
        return head.encode() + data

    async def _ask(self, reader, writer, data):
        started = time.perf_counter()
        writer.write(data)
        head = await reader.readuntil(b'\r\n\r\n')
        if b' 200 ' not in head.split(b'\r\n', 1)[0]:
            raise ValueError(head)
        events = 0
        tail = b''
        while not tail.endswith(b'\r\n0\r\n\r\n'):
            chunk = await reader.read(65536)
            if not chunk:
                raise ValueError('cut')
            if not events:
                waited = time.perf_counter() - started
                self.first.record_value(max(1, int(waited * 1e6)))
            events += chunk.count(b'data: ')
            tail = (tail + chunk)[-16:]
        if events < self.tokens:
            raise ValueError(f'{events} events')
        self.requests += 1
        self.received += self.tokens


def make_direct(cluster, entry, tokens):
    """Targets at the engines themselves."""
    addresses = {row['name']: row['address'] for row in cluster.vms}
    return [
        (
            addresses[group['members'][0]],
            '/engine/generate',
            {
                'request_id': 'direct',
                'group': group['name'],
                'generation': group['generation'],
                'model': 'rota-model',
                'prompt': PROMPT,
                'max_tokens': tokens,
            },
        )
        for group in cluster.get_groups(entry)
    ]


def make_relayed(cluster, entry, tokens):
    """Target at the entry."""
    body = {
        'model': 'rota-model',
        'prompt': PROMPT,
        'max_tokens': tokens,
        'stream': True,
    }
    return [(cluster.entries[entry]['callers'], '/v1/completions', body)]


def start(cluster, entry):
    """Apply the contract and wait for its groups."""
    path = cluster.folder / 'contract.json'
    path.write_text(json.dumps(CONTRACT), encoding='utf-8')

    def apply():
        return not cluster.run_command('contract', 'apply', path).returncode

    conditions.wait_for(apply, 'the contract is taken')
    conditions.wait_for(
        lambda: sum(g['serving'] for g in cluster.get_groups(entry)) == GROUPS,
        'all groups serve',
    )


def measure(targets, streams, arguments, process=None):
    """Run a load; a row of figures."""
    spread = min(
        arguments.duration / 2, arguments.tokens * arguments.token_delay
    )
    load = Load(targets, arguments.tokens, spread)
    before = process.cpu_times() if process else None
    own = time.process_time()
    started = time.monotonic()
    asyncio.run(load.run(streams, arguments.duration))
    elapsed = time.monotonic() - started
    row = {
        'streams': streams,
        'requests/s': load.requests / elapsed,
        'tokens/s': load.received / elapsed,
        'failed': load.failed,
        'client us/token': (time.process_time() - own)
        / max(load.received, 1)
        * 1e6,
    }
    for share in (50, 95, 99):
        row[f'p{share} ms'] = load.first.get_value_at_percentile(share) / 1e3
    if process:
        after = process.cpu_times()
        used = after.user + after.system - before.user - before.system
        row['cores'] = used / elapsed
        row['us/token'] = used / max(load.received, 1) * 1e6
    return row


def main():
    """Print a line for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, nargs='+', default=[60, 300])
    parser.add_argument('--tokens', type=int, default=200)
    parser.add_argument('--token-delay', type=float, default=0.02)
    parser.add_argument('--duration', type=float, default=8.0)
    arguments = parser.parse_args()
    with cluster_module.open_cluster(
        vms_per_domain=1, token_delay=arguments.token_delay
    ) as cluster:
        entry = next(iter(cluster.entries))
        start(cluster, entry)
        process = psutil.Process(cluster.processes[entry].pid)
        print('entry pid', process.pid, file=sys.stderr)
        idle = process.cpu_times()
        time.sleep(2.0)
        after = process.cpu_times()
        used = after.user + after.system - idle.user - idle.system
        print(f'idle: {used / 2.0:.3f} cores, load average', os.getloadavg())
        for streams in arguments.streams:
            direct = make_direct(cluster, entry, arguments.tokens)
            relayed = make_relayed(cluster, entry, arguments.tokens)
            for name, targets, watched in (
                ('direct', direct, None),
                ('relayed', relayed, process),
            ):
                row = measure(targets, streams, arguments, watched)
                text = ' '.join(f'{k}={v:.4g}' for k, v in row.items())
                print(f'{name:8} {text}', flush=True)


if __name__ == '__main__':
    main()
