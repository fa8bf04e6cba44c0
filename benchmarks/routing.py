"""Comparison of routing policies on simulated groups.

Run: ``python -m benchmarks.routing [--rate 14] [--straggler 0.2]
[--seeds 1 2 3 4 5]``; one of the 20 groups runs at the straggler's speed.
"""

import argparse
import contextlib
import random

from balsamwind import routing
from balsamwind.routing import _router
from benchmarks import fleet_model


class BaselinePolicy:
    """Base class of the baseline policies.

    Parameters
    ----------
    node : int
        Number of the node.
    load_report : callable
        Group -> last known load report, or None.
    seed : int
        Seed of the random generator.
    """

    def __init__(self, node, load_report, seed):
        self.node = node
        self.load_report = load_report
        self.rng = random.Random(seed)
        self.next_index = node

    def first(self, ticket, at):
        """Ignore the first token of an answer.

        Parameters
        ----------
        ticket : object
            Ticket returned by `choose`.
        at : float
            Time of the first token (seconds).
        """

    def end(self, ticket, at):
        """Ignore the end of an answer.

        Parameters
        ----------
        ticket : object
            Ticket returned by `choose`.
        at : float
            Time of the last token (seconds).
        """

    def report(self, record, report):
        """Ignore the cache events of a group.

        Parameters
        ----------
        record : balsamwind.objects.Group
            Record of the group.
        report : balsamwind.ports.EngineReport
            Load report with the cache events.
        """


class RandomPolicy(BaselinePolicy):
    """Chooses a group at random."""

    def choose(self, records, arrival, now):
        """Choose a group.

        Parameters
        ----------
        records : list of balsamwind.objects.Group
            Groups to choose from.
        arrival : benchmarks.fleet_model.Arrival
            The request.
        now : float
            Time (seconds).

        Returns
        -------
        tuple
            Record of the group; ticket for `first` and `end`.
        """
        del arrival, now
        return self.rng.choice(records), None


class RoundRobinPolicy(BaselinePolicy):
    """Chooses the groups in turn."""

    def choose(self, records, arrival, now):
        """Choose a group.

        Parameters
        ----------
        records : list of balsamwind.objects.Group
            Groups to choose from.
        arrival : benchmarks.fleet_model.Arrival
            The request.
        now : float
            Time (seconds).

        Returns
        -------
        tuple
            Record of the group; ticket for `first` and `end`.
        """
        del arrival, now
        self.next_index += 1
        return records[self.next_index % len(records)], None


class LeastReportedPolicy(BaselinePolicy):
    """Chooses the group with the fewest requests in its last report."""

    def choose(self, records, arrival, now):
        """Choose a group.

        Parameters
        ----------
        records : list of balsamwind.objects.Group
            Groups to choose from.
        arrival : benchmarks.fleet_model.Arrival
            The request.
        now : float
            Time (seconds).

        Returns
        -------
        tuple
            Record of the group; ticket for `first` and `end`.
        """
        del arrival, now

        def load(record):
            report = self.load_report(record)
            count = 0 if report is None else report.running + report.waiting
            return count, self.rng.random()

        return min(records, key=load), None


class TwoChoicesPolicy(BaselinePolicy):
    """Chooses the less loaded of two random groups.

    The load is the larger one of the reported requests and the node's own
    requests in flight.

    Parameters
    ----------
    node : int
        Number of the node.
    load_report : callable
        Group -> last known load report, or None.
    seed : int
        Seed of the random generator.
    """

    def __init__(self, node, load_report, seed):
        super().__init__(node, load_report, seed)
        self.in_flight = {}

    def choose(self, records, arrival, now):
        """Choose a group.

        Parameters
        ----------
        records : list of balsamwind.objects.Group
            Groups to choose from.
        arrival : benchmarks.fleet_model.Arrival
            The request.
        now : float
            Time (seconds).

        Returns
        -------
        tuple
            Record of the group; ticket for `first` and `end`.
        """
        del arrival, now

        def load(record):
            report = self.load_report(record)
            count = 0 if report is None else report.running + report.waiting
            return max(count, self.in_flight.get(record.name, 0))

        record = min(self.rng.sample(records, 2), key=load)
        self.in_flight[record.name] = self.in_flight.get(record.name, 0) + 1
        return record, record.name

    def end(self, ticket, at):
        """Remove the request from those in flight.

        Parameters
        ----------
        ticket : object
            Ticket returned by `choose`.
        at : float
            Time of the last token (seconds).
        """
        self.in_flight[ticket] -= 1


class RouterPolicy:
    """Chooses by `balsamwind.routing`.

    Parameters
    ----------
    node : int
        Number of the node.
    load_report : callable
        Group -> last known load report, or None.
    seed : int
        Seed of the random generator.
    peer_share : object
        Not used.
    """

    def __init__(self, node, load_report, seed, peer_share=None):
        data_centre = fleet_model.DATA_CENTRES[
            node % len(fleet_model.DATA_CENTRES)
        ]
        self.router = routing.make_router(data_centre, load_report, seed)
        self.router.load_estimator.node_count = 6

    def choose(self, records, arrival, now):
        """Choose a group.

        Parameters
        ----------
        records : list of balsamwind.objects.Group
            Groups to choose from.
        arrival : benchmarks.fleet_model.Arrival
            The request.
        now : float
            Time (seconds).

        Returns
        -------
        tuple
            Record of the group; ticket for `first` and `end`.
        """
        choice = self.router.choose(records, arrival.blocks, now)
        choice = self.router.assign(choice.group, arrival.blocks)
        stack = contextlib.ExitStack()
        tracker = stack.enter_context(self.router.track(choice, now))
        return choice.group, (stack, tracker, arrival.answer_tokens)

    def first(self, ticket, at):
        """Record the first token.

        Parameters
        ----------
        ticket : object
            Ticket returned by `choose`.
        at : float
            Time of the first token (seconds).
        """
        ticket[1].record_tokens(1, at)

    def end(self, ticket, at):
        """Record all tokens of the answer and stop tracking the request.

        Parameters
        ----------
        ticket : object
            Ticket returned by `choose`.
        at : float
            Time of the last token (seconds).
        """
        stack, tracker, tokens = ticket
        tracker.record_tokens(tokens, at)
        stack.close()

    def report(self, record, report):
        """Apply the cache events of a group to the prefix index.

        Parameters
        ----------
        record : balsamwind.objects.Group
            Record of the group.
        report : balsamwind.ports.EngineReport
            Load report with the cache events.
        """
        self.router.prefix_index.apply_events(
            record.name, record.generation, report.cache_events
        )


class RouterWithoutPrefixes(RouterPolicy):
    """Chooses by `balsamwind.routing`, without the prompt's prefix."""

    def choose(self, records, arrival, now):
        """Choose a group.

        Parameters
        ----------
        records : list of balsamwind.objects.Group
            Groups to choose from.
        arrival : benchmarks.fleet_model.Arrival
            The request.
        now : float
            Time (seconds).

        Returns
        -------
        tuple
            Record of the group; ticket for `first` and `end`.
        """
        without_blocks = fleet_model.dataclasses.replace(arrival, blocks=())
        return super().choose(records, without_blocks, now)


class ShedToHolderPolicy(RouterPolicy):
    """Chooses the home of a prefix or, above the load bound, another holder.

    The home is the first group for the prefix on the hash ring. If its load
    exceeds the bound, the least loaded group that has the prefix cached is
    chosen; if that exceeds it too, the router chooses by load alone. This is
    read offloading from layered clustering: a home server sheds requests
    only to servers that hold a replica.
    """

    def choose(self, records, arrival, now):
        """Choose a group.

        Parameters
        ----------
        records : list of balsamwind.objects.Group
            Groups to choose from.
        arrival : benchmarks.fleet_model.Arrival
            The request.
        now : float
            Time (seconds).

        Returns
        -------
        tuple
            Record of the group; ticket for `first` and `end`.
        """
        router = self.router
        pool = router._get_pool(records, now)
        load_bound = pool.mean_load * (1.0 + _router.LOAD_BOUND) + 1.0
        names = pool.find_owners(arrival.blocks[0], 1)
        home = pool.by_name[names[0]]
        load = router.load_estimator.estimate_load
        if load(home) <= load_bound:
            group = home
        else:
            holders = router.prefix_index.find_holders(arrival.blocks)
            group = min(
                (pool.by_name[name] for name in [*holders, home.name]),
                key=load,
            )
            if load(group) > load_bound:
                group = router.choose(records, (), now).group
        choice = router.assign(group, arrival.blocks)
        stack = contextlib.ExitStack()
        tracker = stack.enter_context(router.track(choice, now))
        return group, (stack, tracker, arrival.answer_tokens)


POLICIES = {
    'random': RandomPolicy,
    'round robin': RoundRobinPolicy,
    'least reported': LeastReportedPolicy,
    'two choices': TwoChoicesPolicy,
    'routed, no cache': RouterWithoutPrefixes,
    'shed to holder': ShedToHolderPolicy,
    'routed': RouterPolicy,
}

BASELINES = ('random', 'round robin', 'least reported')


def main():
    """Print a table with one line for each seed and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=float, default=14.0)
    parser.add_argument('--duration', type=float, default=300.0)
    parser.add_argument('--straggler', type=float, default=0.2)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1, 2, 3])
    parser.add_argument(
        '--plot', help='SVG file for a bar plot of the p95 by policy.'
    )
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
                trace, policy, seed, straggler_speed=arguments.straggler
            )
            p95[name] = outcome.percentile(0.95)
            series[name][f'seed {seed}'] = p95[name]
            row = [outcome.percentile(share) for share in (0.5, 0.95, 0.99)]
            times = ' '.join(f'{value:7.3f}' for value in row)
            print(f'{seed:4} {name:16} {times} {outcome.hit_rate:5.2f}')
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
