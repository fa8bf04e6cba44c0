"""Compare policies for the choice of a group on recorded traces.

Run: ``python -m benchmarks.routing [--rate 14] [--straggler 0.2]
[--seeds 1 2 3 4 5]``; the straggler is one of 20 groups, at that speed.
"""

import argparse
import contextlib
import random

from balsamwind import routing
from balsamwind.routing import _router
from benchmarks import fleet_model


class Baseline:
    """What the baselines share."""

    def __init__(self, node, load_report, seed):
        self.node = node
        self.load_report = load_report
        self.rng = random.Random(seed)
        self.turn = node

    def first(self, ticket, at):
        """Learn nothing."""

    def end(self, ticket, at):
        """Learn nothing."""

    def report(self, record, report):
        """Learn nothing."""


class RandomChoice(Baseline):
    """Any group."""

    def choose(self, records, arrival, now):
        """Choose a group."""
        del arrival, now
        return self.rng.choice(records), None


class RoundRobin(Baseline):
    """Each group in turn."""

    def choose(self, records, arrival, now):
        """Choose a group."""
        del arrival, now
        self.turn += 1
        return records[self.turn % len(records)], None


class LeastReported(Baseline):
    """The group with the least load in its last report."""

    def choose(self, records, arrival, now):
        """Choose a group."""
        del arrival, now

        def load(record):
            report = self.load_report(record)
            count = 0 if report is None else report.running + report.waiting
            return count, self.rng.random()

        return min(records, key=load), None


class TwoChoices(Baseline):
    """The less loaded of two, own requests in flight counted."""

    def __init__(self, node, load_report, seed):
        super().__init__(node, load_report, seed)
        self.own = {}

    def choose(self, records, arrival, now):
        """Choose a group."""
        del arrival, now

        def load(record):
            report = self.load_report(record)
            count = 0 if report is None else report.running + report.waiting
            return max(count, self.own.get(record.name, 0))

        record = min(self.rng.sample(records, 2), key=load)
        self.own[record.name] = self.own.get(record.name, 0) + 1
        return record, record.name

    def end(self, ticket, at):
        """Count the request no more."""
        self.own[ticket] -= 1


class Routed:
    """The router of the product."""

    def __init__(self, node, load_report, seed, peer_share=None):
        place = fleet_model.PLACES[node % len(fleet_model.PLACES)]
        self.router = routing.make_router(place, load_report, seed)
        self.router.loads.nodes = 6

    def choose(self, records, arrival, now):
        """Choose a group."""
        choice = self.router.choose(records, arrival.blocks, now)
        choice = self.router.admit(choice.group, arrival.blocks)
        stack = contextlib.ExitStack()
        tracker = stack.enter_context(self.router.track(choice, now))
        return choice.group, (stack, tracker, arrival.tokens)

    def first(self, ticket, at):
        """Note the first token."""
        ticket[1].note_tokens(1, at)

    def end(self, ticket, at):
        """Note the last token."""
        stack, tracker, tokens = ticket
        tracker.note_tokens(tokens, at)
        stack.close()

    def report(self, record, report):
        """Take in the cache events."""
        self.router.prefixes.apply_events(
            record.name, record.generation, report.cache_events
        )


class RoutedWithoutCache(Routed):
    """The router, blind to prefixes."""

    def choose(self, records, arrival, now):
        """Choose a group."""
        blind = fleet_model.dataclasses.replace(arrival, blocks=())
        return super().choose(records, blind, now)


class ShedToHolder(Routed):
    """The home of a prefix; if it is busy, the least busy other holder.

    The idea of read offloading in layered clustering: a home server sheds
    requests only to servers that hold a replica.
    """

    def choose(self, records, arrival, now):
        """Choose a group."""
        router = self.router
        pool = router._find_pool(records, now)
        bound = pool.mean_load * (1.0 + _router.LOAD_BOUND) + 1.0
        names = pool.homes(arrival.blocks[0], 1)
        home = pool.by_name[names[0]]
        load = router.loads.load
        if load(home) <= bound:
            group = home
        else:
            holders = router.prefixes.holders(arrival.blocks)
            group = min(
                (pool.by_name[name] for name in [*holders, home.name]),
                key=load,
            )
            if load(group) > bound:
                group = router.choose(records, (), now).group
        choice = router.admit(group, arrival.blocks)
        stack = contextlib.ExitStack()
        tracker = stack.enter_context(router.track(choice, now))
        return group, (stack, tracker, arrival.tokens)


POLICIES = {
    'random': RandomChoice,
    'round robin': RoundRobin,
    'least reported': LeastReported,
    'two choices': TwoChoices,
    'routed, no cache': RoutedWithoutCache,
    'shed to holder': ShedToHolder,
    'routed': Routed,
}

BASELINES = ('random', 'round robin', 'least reported')


def main():
    """Print a table, one line a policy and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=float, default=14.0)
    parser.add_argument('--duration', type=float, default=300.0)
    parser.add_argument('--straggler', type=float, default=0.2)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1, 2, 3])
    parser.add_argument('--plot', help='SVG file of the p95, by policy.')
    arguments = parser.parse_args()
    series = {name: {} for name in POLICIES}
    print('seed policy            p50 s   p95 s   p99 s  hits')
    for seed in arguments.seeds:
        trace = fleet_model.make_trace(
            seed, arguments.rate, arguments.duration
        )
        p95 = {}
        for name, policy in POLICIES.items():
            outcome = fleet_model.replay(
                trace, policy, seed, straggler=arguments.straggler
            )
            p95[name] = outcome.percentile(0.95)
            series[name][f'seed {seed}'] = p95[name]
            row = [outcome.percentile(share) for share in (0.5, 0.95, 0.99)]
            times = ' '.join(f'{value:7.3f}' for value in row)
            print(f'{seed:4} {name:16} {times} {outcome.hit_share:5.2f}')
        best = min(p95[name] for name in BASELINES)
        print(
            f'{seed:4} p95 over the best baseline: {p95["routed"] / best:.2f}'
        )
    if arguments.plot:
        from benchmarks import plots

        title = 'Time to first token, p95'
        plots.save_bars(arguments.plot, title, 'seconds', series)


if __name__ == '__main__':
    main()
