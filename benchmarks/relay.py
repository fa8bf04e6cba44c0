"""Cost of relaying streams through an entry, compared with direct requests.

Run: ``python -m benchmarks.relay [--streams 60 300] [--token-delay 0.02]``;
``--streams 320 --token-delay 0.078 --tokens 100 --duration 16`` is the load
of a node at the target fleet size, with more requests.
All parts are separate processes on this machine; the load goes to one entry
of six. The client sends the same requests first straight to the stand-in
engines and then through the entry. The processor time of the entry is
measured over the second load only.
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

API_KEY = 'relay-benchmark'

PROMPT = 'rota ' * 40

GROUPS = 6

CONTRACT = {
    'customer': 'rotagzeli',
    'api_key_hashes': [hashlib.sha256(API_KEY.encode()).hexdigest()],
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


class LoadGenerator:
    """Closed-loop load generator; each stream sends one request at a time.

    Parameters
    ----------
    targets : list of (str, str, dict)
        Address, path and body of the requests; the streams are assigned to
        them in turn.
    tokens : int
        Tokens of one answer (count).
    spread : float
        Time over which the starts of the streams are spread (seconds).

    Attributes
    ----------
    first_chunk_times : hdrh.histogram.HdrHistogram
        Times to the first chunk of an answer (microseconds).
    completed_requests : int
        Requests whose answer was complete (count).
    tokens_received : int
        Tokens of the complete answers (count).
    failed_requests : int
        Requests without a complete answer (count).
    """

    def __init__(self, targets, tokens, start_spread):
        self.start_spread = start_spread
        self._rng = random.Random(1)
        self.targets = targets
        self.tokens = tokens
        self.first_chunk_times = histogram.HdrHistogram(1, 60_000_000, 3)
        self.completed_requests = 0
        self.tokens_received = 0
        self.failed_requests = 0

    async def run(self, streams, duration):
        """Run the streams until the requests under way at the deadline end.

        Parameters
        ----------
        streams : int
            Concurrent streams (count).
        duration : float
            Time after which no request is started (seconds).
        """
        self._deadline = time.monotonic() + duration
        await asyncio.gather(*map(self._run_stream, range(streams)))

    async def _run_stream(self, number):
        await asyncio.sleep(self._rng.random() * self.start_spread)
        address, path, body = self.targets[number % len(self.targets)]
        host, port = address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        request_number = 0
        while time.monotonic() < self._deadline:
            request_number += 1
            data = self._make_request(path, body, f'{number}.{request_number}')
            try:
                await self._send_request(reader, writer, data)
            except (OSError, ValueError, asyncio.IncompleteReadError):
                self.failed_requests += 1
                writer.close()
                reader, writer = await asyncio.open_connection(host, int(port))
        writer.close()

    def _make_request(self, path, body, name):
        data = json.dumps({**body, 'attempt_id': name}).encode()
        head = (
            f'POST {path} HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {API_KEY}\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'
        )
        return head.encode() + data

    async def _send_request(self, reader, writer, data):
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
                raise ValueError('connection closed before the last chunk')
            if not events:
                waited = time.perf_counter() - started
                self.first_chunk_times.record_value(max(1, int(waited * 1e6)))
            events += chunk.count(b'data: ')
            tail = (tail + chunk)[-16:]
        if events < self.tokens:
            raise ValueError(
                f'{events} events in the answer, fewer than requested'
            )
        self.completed_requests += 1
        self.tokens_received += self.tokens


def make_direct_targets(cluster, entry, tokens):
    """Make targets for requests straight to the engines.

    Parameters
    ----------
    cluster : build_tools.cluster.Cluster
        Running cluster.
    entry : str
        Entry whose view of the groups is used.
    tokens : int
        Tokens of one answer (count).

    Returns
    -------
    list of (str, str, dict)
        Address, path and body for each group.
    """
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


def make_relayed_targets(cluster, entry, tokens):
    """Make the target for requests through an entry.

    Parameters
    ----------
    cluster : build_tools.cluster.Cluster
        Running cluster.
    entry : str
        Entry that relays the requests.
    tokens : int
        Tokens of one answer (count).

    Returns
    -------
    list of (str, str, dict)
        Address, path and body.
    """
    body = {
        'model': 'rota-model',
        'prompt': PROMPT,
        'max_tokens': tokens,
        'stream': True,
    }
    return [(cluster.entries[entry]['callers'], '/v1/completions', body)]


def apply_contract(cluster, entry):
    """Apply the contract and wait until its groups serve.

    Parameters
    ----------
    cluster : build_tools.cluster.Cluster
        Running cluster.
    entry : str
        Entry that must see the groups serve.
    """
    path = cluster.folder / 'contract.json'
    path.write_text(json.dumps(CONTRACT), encoding='utf-8')

    def apply():
        return not cluster.run_command('contract', 'apply', path).returncode

    conditions.wait_for(apply, 'the contract is accepted')
    conditions.wait_for(
        lambda: sum(g['serving'] for g in cluster.get_groups(entry)) == GROUPS,
        'all groups serve',
    )


def measure(targets, streams, arguments, process=None):
    """Run one load and measure it.

    Parameters
    ----------
    targets : list of (str, str, dict)
        Address, path and body of the requests.
    streams : int
        Concurrent streams (count).
    arguments : argparse.Namespace
        Duration (seconds), tokens of an answer (count) and delay between
        tokens (seconds).
    process : psutil.Process or None
        Process whose processor time is measured.

    Returns
    -------
    dict of str to float
        Name of a figure, with its unit -> value.
    """
    start_spread = min(
        arguments.duration / 2, arguments.tokens * arguments.token_delay
    )
    generator = LoadGenerator(targets, arguments.tokens, start_spread)
    before = process.cpu_times() if process else None
    client_cpu_before = time.process_time()
    started = time.monotonic()
    asyncio.run(generator.run(streams, arguments.duration))
    elapsed = time.monotonic() - started
    row = {
        'streams': streams,
        'requests/s': generator.completed_requests / elapsed,
        'tokens/s': generator.tokens_received / elapsed,
        'failed': generator.failed_requests,
        'client us/token': (time.process_time() - client_cpu_before)
        / max(generator.tokens_received, 1)
        * 1e6,
    }
    for share in (50, 95, 99):
        row[f'p{share} ms'] = (
            generator.first_chunk_times.get_value_at_percentile(share) / 1e3
        )
    if process:
        after = process.cpu_times()
        cpu_time = after.user + after.system - before.user - before.system
        row['cores'] = cpu_time / elapsed
        row['us/token'] = cpu_time / max(generator.tokens_received, 1) * 1e6
    return row


def main():
    """Print one line for each number of streams, direct and relayed."""
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
        apply_contract(cluster, entry)
        process = psutil.Process(cluster.processes[entry].pid)
        print('entry pid', process.pid, file=sys.stderr)
        before = process.cpu_times()
        time.sleep(2.0)
        after = process.cpu_times()
        cpu_time = after.user + after.system - before.user - before.system
        print(
            f'idle: {cpu_time / 2.0:.3f} cores, load average', os.getloadavg()
        )
        for streams in arguments.streams:
            direct = make_direct_targets(cluster, entry, arguments.tokens)
            relayed = make_relayed_targets(cluster, entry, arguments.tokens)
            for name, targets, measured_process in (
                ('direct', direct, None),
                ('relayed', relayed, process),
            ):
                row = measure(targets, streams, arguments, measured_process)
                text = ' '.join(f'{k}={v:.4g}' for k, v in row.items())
                print(f'{name:8} {text}', flush=True)


if __name__ == '__main__':
    main()
