"""Overshoot and unused share of a contract's limit over many entries.

Runs the decision code over a trace: a step of demand, churn, then a cut of
one data centre, with a fifth of the heartbeats late. The baseline gives
each entry an equal part, by the peers that it hears.
Run: ``python -m benchmarks.limits``.
"""

import argparse
import dataclasses
import json
import pathlib
import random

from balsamwind import admission

HOLD = 300.0
"""How long a silent peer's share stays reserved (seconds)."""

NEWS = {}
"""Share of the heartbeats that told news, by (nodes, equal, seed)."""

TRACE = pathlib.Path(__file__).parent.parent / 'traces/limits/step-cut.jsonl'


@dataclasses.dataclass(slots=True)
class Node:
    """One simulated entry."""

    name: int
    place: int
    usage: admission.Usage
    told: admission.Usage | None = None
    heard: dict = dataclasses.field(default_factory=dict)


class Fleet:
    """Entries that tell each other their usage once a beat (1 s)."""

    def __init__(self, nodes, places, equal, rng):
        self.rng = rng
        self.equal = equal
        self.cut = None
        self.hot = None
        self.churn = 0
        self.news = 0
        self.beats = 0
        start = admission.Usage(0.0, admission.start_share(nodes))
        self.nodes = [Node(i, i % places, start) for i in range(nodes)]
        for node in self.nodes:
            node.heard = {
                other.name: (start, 0.0)
                for other in self.nodes
                if other is not node
            }

    def apply(self, event):
        """Take in one event of the trace."""
        match event['event']:
            case 'demand':
                self.hot = event['hot']
                self.total = event['total']
            case 'churn':
                self.churn = event['nodes']
            case 'cut':
                self.cut = event['place']

    def beat(self, now):
        """One beat of all entries; (sum of shares, unused share)."""
        self._restart()
        for node in self.nodes:
            self._plan(node, now)
        for node in self.nodes:
            self._send(node, now)
        shares = sum(node.usage.share for node in self.nodes)
        served = sum(
            min(node.usage.share, node.usage.demand) for node in self.nodes
        )
        demand = sum(node.usage.demand for node in self.nodes)
        return shares, max(0.0, min(1.0, demand) - served)

    def _restart(self):
        for node in self.rng.sample(self.nodes, self.churn):
            share = admission.start_share(len(self.nodes))
            node.usage = admission.Usage(0.0, share)

    def _demand(self, node):
        hot = [n for n in self.nodes if n.place == self.hot]
        if node.place == self.hot:
            part = 0.9 / len(hot)
        else:
            part = 0.1 / (len(self.nodes) - len(hot))
        demand = self.total * part * self.rng.uniform(0.7, 1.3)
        return admission.smooth_demand(node.usage.demand, demand)

    def _plan(self, node, now):
        demand = self._demand(node)
        own = admission.Usage(demand, node.usage.share)
        peers = [
            admission.PeerUsage(usage, now - at)
            for usage, at in node.heard.values()
        ]
        if self.equal:
            live = sum(peer.silent_for <= 3.0 for peer in peers)
            share = 1.0 / (1 + live)
        else:
            share = admission.plan_share(own, peers, HOLD)
        node.usage = admission.Usage(demand, share)

    def _send(self, node, now):
        """Tell the peers; what is not news only keeps them from silence."""
        self.beats += 1
        if admission.is_news(node.told, node.usage):
            node.told = node.usage
            self.news += 1
        # A report that was lost is repeated with the next heartbeat that
        # arrives: the links between peers lose nothing, they are late.
        usage = node.told
        for other in self.nodes:
            if other is node:
                continue
            if self.cut is not None and (
                (node.place == self.cut) != (other.place == self.cut)
            ):
                continue
            # A fifth of the heartbeats is late.
            if self.rng.random() < 0.2:
                continue
            other.heard[node.name] = (usage, now)


def load_trace():
    """Events by time (seconds)."""
    lines = TRACE.read_text(encoding='utf-8').splitlines()
    return [json.loads(line) for line in lines]


def run(nodes, places, equal, seed, scale):
    """Worst and mean figures of each phase of the trace."""
    fleet = Fleet(nodes, places, equal, random.Random(seed))
    events = load_trace()
    phases = {}
    phase = ''
    end = int(events[-1]['at'] * scale)
    for second in range(end):
        while events and events[0]['at'] * scale <= second:
            event = events.pop(0)
            phase = event['phase']
            fleet.apply(event)
        shares, unused = fleet.beat(float(second))
        phases.setdefault(phase, []).append((shares, unused))
    NEWS[nodes, equal, seed] = fleet.news / fleet.beats
    return {
        name: (
            max(shares for shares, _ in rows),
            sum(unused for _, unused in rows) / len(rows),
            rows[-1][1],
        )
        for name, rows in phases.items()
    }


def main():
    """Print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--large', action='store_true')
    options = parser.parse_args()
    sizes = [(6, 3)] + ([(370, 8)] if options.large else [])
    for nodes, places in sizes:
        scale = 1.0 if nodes < 100 else 0.25
        for equal in (False, True):
            for seed in range(1, options.seeds + 1):
                figures = run(nodes, places, equal, seed, scale)
                told = NEWS[nodes, equal, seed]
                print(f'{nodes:3d} nodes seed {seed} news in {told:.2f}')
                kind = 'equal' if equal else 'demand'
                for phase, (top, mean, last) in figures.items():
                    print(
                        f'{nodes:3d} nodes {kind:6s} seed {seed}'
                        f' {phase:6s} highest sum {top:.3f}'
                        f' unused mean {mean:.3f} last {last:.3f}'
                    )


if __name__ == '__main__':
    main()
