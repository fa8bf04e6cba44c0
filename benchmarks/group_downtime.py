"""Group downtime and stranded accelerators, against two baselines.

Replays recorded traces through the decision code of the control path, under
a virtual clock, at the weighting of each deployment. Prints one JSON line
for each fleet, deployment, seed and policy, and the changes against the best
and the worst baseline: for each seed, and for the sums over all seeds.

``--record`` draws the traces anew from their seeds.
"""

import argparse
from concurrent import futures
import contextlib
import json
import pathlib
import sys
from unittest import mock

from balsamwind import placement
from balsamwind import settings
from benchmarks import _baselines
from benchmarks import _trace
from benchmarks import _world

SEEDS = (1, 2, 3, 4, 5)
"""Traces replayed."""

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'

DEPLOYMENTS = {
    'rotagzeli': 'downtime_s',
    'topla-noshta': 'stranded_accelerator_s',
}
"""Deployment -> the measure that it weighs more."""

MEASURES = tuple(DEPLOYMENTS.values())

CONTRACTS = [
    ('c0', 9, 'm0', 2),
    ('c1', 8, 'm0', 1),
    ('c2', 7, 'm1', 1),
    ('c3', 7, 'm0', 1),
    ('c4', 5, 'm1', 2),
    ('c5', 5, 'm2', 1),
    ('c6', 4, 'm0', 1),
    ('c7', 3, 'm2', 1),
    ('c8', 2, 'm1', 1),
    ('c9', 1, 'm0', 1),
]
"""Name, priority, model and replicas; 12 groups where 14 fit."""

WARM_UP = 1800.0
"""Time to form all groups before the trace starts (seconds)."""


def load_placement(deployment):
    """Placement settings of a deployment's example."""
    path = EXAMPLES / f'{deployment}.json'
    settings.load_settings(path)
    return json.loads(path.read_text(encoding='utf-8'))['placement']


def replay(fleet, deployment, seed, policy):
    """Run one trace; the two measures and counts of what was done."""
    functions, changes = _baselines.POLICIES[policy]
    section = {**load_placement(deployment), **changes}
    world = _world.World(_trace.FLEETS[fleet], CONTRACTS, section, seed)
    events = _trace.load_trace(fleet, seed)
    with contextlib.ExitStack() as stack:
        for name, function in functions.items():
            patch = mock.patch.object(placement, name, function)
            stack.enter_context(patch)
        return _run(world, events)


def _run(world, events):
    downtime = 0.0
    stranded = 0.0
    unavoidable = 0.0
    pending = list(reversed(events))
    end = WARM_UP + _trace.DURATION
    while world.now < end:
        while pending and pending[-1].time + WARM_UP <= world.now:
            world.happen(pending.pop())
        changed = world.run_round()
        down, idle, least = world.measure()
        step = _world.STEP
        if not changed and not down and pending:
            rest = pending[-1].time + WARM_UP - world.now
            step = max(step, rest)
        step = min(step, end - world.now)
        if world.now >= WARM_UP:
            downtime += down * step
            stranded += idle * step
            unavoidable += least * step
        world.now += step
    return {
        'downtime_s': round(downtime),
        'stranded_accelerator_s': round(stranded),
        'unavoidable_accelerator_s': round(unavoidable),
        'writes': world.writes,
        'orders': world.orders,
    }


def compare(results):
    """Change against the best and the worst baseline, by measure."""
    line = {}
    for measure in MEASURES:
        ours = results['balsamwind'][measure]
        others = [results[policy][measure] for policy in _baselines.BASELINES]
        line[f'{measure}_against_best'] = round(ours / min(others) - 1.0, 3)
        line[f'{measure}_against_worst'] = round(ours / max(others) - 1.0, 3)
    return line


def _total(runs):
    return {
        policy: {
            measure: sum(run[policy][measure] for run in runs)
            for measure in (*MEASURES, 'unavoidable_accelerator_s')
        }
        for policy in _baselines.POLICIES
    }


def compare_policies(executor, fleet, deployment, seeds):
    """Replay the traces of one fleet by every policy, and print."""
    head = {'fleet': fleet, 'deployment': deployment}
    pending = {
        (seed, policy): executor.submit(
            replay, fleet, deployment, seed, policy
        )
        for seed in seeds
        for policy in _baselines.POLICIES
    }
    runs = []
    for seed in seeds:
        results = {}
        for policy in _baselines.POLICIES:
            results[policy] = pending[seed, policy].result()
            line = {**head, 'seed': seed, 'policy': policy}
            print(json.dumps({**line, **results[policy]}), flush=True)
        runs.append(results)
        line = {**head, 'seed': seed, **compare(results)}
        print(json.dumps(line), flush=True)
    total = _total(runs)
    line = {**head, 'seed': 'all', 'total': total, **compare(total)}
    print(json.dumps(line), flush=True)


def main():
    """Replay all traces."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--record', action='store_true')
    parser.add_argument('--seeds', type=int, nargs='*', default=SEEDS)
    parser.add_argument('--jobs', type=int, default=1)
    arguments = parser.parse_args()
    if arguments.record:
        for fleet in _trace.FLEETS:
            for seed in arguments.seeds:
                _trace.save_trace(fleet, seed)
    with futures.ProcessPoolExecutor(arguments.jobs) as executor:
        for fleet in _trace.FLEETS:
            for deployment in DEPLOYMENTS:
                compare_policies(executor, fleet, deployment, arguments.seeds)
    return 0


if __name__ == '__main__':
    sys.exit(main())
