"""Overshoot and unused share of a contract's limit over many entries.

Replays a trace through the decision code: a step of demand, restarts of
entries, then a partition that isolates one data centre, with a fifth of the
heartbeats late. The baseline splits the limit equally among an entry and the
peers from which it has recent heartbeats.
Run: ``python -m benchmarks.limits``.
"""

import argparse
import dataclasses
import json
import pathlib
import random

from balsamwind import admission

SILENT_HOLD = 300.0
"""Time for which the share of a silent peer stays reserved (seconds)."""

REPORTED_SHARE = {}
"""Share of heartbeats that carried a changed report, for each run.

The keys are (nodes, equal_split, seed); `run` adds its entry.
"""

TRACE = pathlib.Path(__file__).parent.parent / 'traces/limits/step-cut.jsonl'


@dataclasses.dataclass(slots=True)
class Node:
    """One simulated entry.

    Parameters
    ----------
    name : int
        Number of the entry.
    data_centre : int
        Number of its data centre.
    usage : balsamwind.admission.Usage
        Its demand and share, as parts of the limit.
    last_reported : balsamwind.admission.Usage or None
        Usage that it last reported to its peers; None before the first
        report.
    peer_reports : dict of int to tuple
        Peer -> last usage received, and time of receipt (seconds).
    """

    name: int
    data_centre: int
    usage: admission.Usage
    last_reported: admission.Usage | None = None
    peer_reports: dict = dataclasses.field(default_factory=dict)


class EntryFleet:
    """Entries that exchange heartbeats with their usage once a second.

    Parameters
    ----------
    nodes : int
        Entries (count).
    data_centres : int
        Data centres, over which the entries are spread evenly (count).
    equal_split : bool
        Whether to split the limit equally, as the baseline does, instead of
        by demand.
    rng : random.Random
        Source of demand, restarts and late heartbeats.
    """

    def __init__(self, nodes, data_centres, equal_split, rng):
        self.rng = rng
        self.equal_split = equal_split
        self.isolated_data_centre = None
        self.hot_data_centre = None
        self.restarts = 0
        self.reports = 0
        self.heartbeats = 0
        initial = admission.Usage(0.0, admission.initial_share(nodes))
        self.nodes = [Node(i, i % data_centres, initial) for i in range(nodes)]
        for node in self.nodes:
            node.peer_reports = {
                other.name: (initial, 0.0)
                for other in self.nodes
                if other is not node
            }

    def apply(self, event):
        """Apply one event of the trace.

        Parameters
        ----------
        event : dict
            ``demand`` sets the total demand and the data centre that gets
            nine tenths of it, ``churn`` the entries restarted each second,
            and ``cut`` the data centre that is isolated.
        """
        match event['event']:
            case 'demand':
                self.hot_data_centre = event['hot']
                self.total_demand = event['total']
            case 'churn':
                self.restarts = event['nodes']
            case 'cut':
                self.isolated_data_centre = event['place']

    def run_round(self, now):
        """Run one heartbeat interval of all entries.

        Parameters
        ----------
        now : float
            Time (seconds).

        Returns
        -------
        tuple of float
            Sum of the shares, and part of the limit that is demanded but
            not usable by the entries that demand it.
        """
        self._restart_nodes()
        for node in self.nodes:
            self._update_share(node, now)
        for node in self.nodes:
            self._send_heartbeats(node, now)
        shares = sum(node.usage.share for node in self.nodes)
        served = sum(
            min(node.usage.share, node.usage.demand) for node in self.nodes
        )
        demand = sum(node.usage.demand for node in self.nodes)
        return shares, max(0.0, min(1.0, demand) - served)

    def _restart_nodes(self):
        for node in self.rng.sample(self.nodes, self.restarts):
            share = admission.initial_share(len(self.nodes))
            node.usage = admission.Usage(0.0, share)

    def _sample_demand(self, node):
        hot_nodes = [
            n for n in self.nodes if n.data_centre == self.hot_data_centre
        ]
        if node.data_centre == self.hot_data_centre:
            fraction = 0.9 / len(hot_nodes)
        else:
            fraction = 0.1 / (len(self.nodes) - len(hot_nodes))
        demand = self.total_demand * fraction * self.rng.uniform(0.7, 1.3)
        return admission.smooth_demand(node.usage.demand, demand)

    def _update_share(self, node, now):
        demand = self._sample_demand(node)
        own = admission.Usage(demand, node.usage.share)
        peers = [
            admission.PeerUsage(usage, now - received_at)
            for usage, received_at in node.peer_reports.values()
        ]
        if self.equal_split:
            live = sum(peer.heartbeat_age <= 3.0 for peer in peers)
            share = 1.0 / (1 + live)
        else:
            share = admission.plan_share(own, peers, SILENT_HOLD)
        node.usage = admission.Usage(demand, share)

    def _send_heartbeats(self, node, now):
        """Send a heartbeat to the peers, with a new report if usage changed.

        A heartbeat without a new report only keeps the peers from counting
        the entry as silent.
        """
        self.heartbeats += 1
        if admission.is_significant_change(node.last_reported, node.usage):
            node.last_reported = node.usage
            self.reports += 1
        # Links between peers delay messages but lose none, so a report that
        # was late arrives with the next heartbeat that is on time.
        usage = node.last_reported
        for other in self.nodes:
            if other is node:
                continue
            if self.isolated_data_centre is not None and (
                (node.data_centre == self.isolated_data_centre)
                != (other.data_centre == self.isolated_data_centre)
            ):
                continue
            # A fifth of the heartbeats is late.
            if self.rng.random() < 0.2:
                continue
            other.peer_reports[node.name] = (usage, now)


def load_trace():
    """Read the events of the trace.

    Returns
    -------
    list of dict
        Events in the order of time, ``at`` in seconds.
    """
    lines = TRACE.read_text(encoding='utf-8').splitlines()
    return [json.loads(line) for line in lines]


def run(nodes, data_centres, equal_split, seed, time_scale):
    """Replay the trace.

    Parameters
    ----------
    nodes : int
        Entries (count).
    data_centres : int
        Data centres (count).
    equal_split : bool
        Whether to split the limit equally instead of by demand.
    seed : int
        Seed of the random generator.
    time_scale : float
        Factor by which the times of the trace are multiplied.

    Returns
    -------
    dict of str to tuple of float
        Phase -> highest sum of shares, mean unused share, last unused
        share, each as a part of the limit.
    """
    fleet = EntryFleet(nodes, data_centres, equal_split, random.Random(seed))
    events = load_trace()
    phases = {}
    phase = ''
    end = int(events[-1]['at'] * time_scale)
    for second in range(end):
        while events and events[0]['at'] * time_scale <= second:
            event = events.pop(0)
            phase = event['phase']
            fleet.apply(event)
        shares, unused = fleet.run_round(float(second))
        phases.setdefault(phase, []).append((shares, unused))
    REPORTED_SHARE[nodes, equal_split, seed] = fleet.reports / fleet.heartbeats
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
    for nodes, data_centres in sizes:
        time_scale = 1.0 if nodes < 100 else 0.25
        for equal_split in (False, True):
            for seed in range(1, options.seeds + 1):
                figures = run(
                    nodes, data_centres, equal_split, seed, time_scale
                )
                last_reported = REPORTED_SHARE[nodes, equal_split, seed]
                print(
                    f'{nodes:3d} nodes seed {seed} news in {last_reported:.2f}'
                )
                kind = 'equal' if equal_split else 'demand'
                for phase, (highest_sum, mean, last) in figures.items():
                    print(
                        f'{nodes:3d} nodes {kind:6s} seed {seed}'
                        f' {phase:6s} highest sum {highest_sum:.3f}'
                        f' unused mean {mean:.3f} last {last:.3f}'
                    )


if __name__ == '__main__':
    main()
