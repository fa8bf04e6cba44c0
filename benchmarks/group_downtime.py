"""Group downtime and stranded accelerators, compared with two baselines.

Replays recorded failure traces through the decision code of the control
path, under a virtual clock and with the cost weights of each deployment.
Prints one JSON line for each fleet, deployment, seed and policy, and the
relative change against the best and the worst baseline, for each seed and
for the sums over all seeds.

``--record`` generates the traces again from their seeds.
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
from benchmarks import _virtual_fleet

SEEDS = (1, 2, 3, 4, 5)
"""Seeds of the recorded traces."""

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'

DEPLOYMENTS = {
    'rotagzeli': 'downtime_s',
    'topla-noshta': 'stranded_accelerator_s',
}
"""Deployment -> the measure to which its settings give the larger weight."""

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
"""Name, priority, model and replicas (count) of each contract.

The replicas are 12 groups, where the fleet has room for 14.
"""

WARM_UP = 1800.0
"""Time for the groups to form before the trace starts (seconds)."""


def load_placement(deployment):
    """Read the placement settings of an example deployment.

    The whole settings file is checked first.

    Parameters
    ----------
    deployment : str
        Name of a deployment in `DEPLOYMENTS`.

    Returns
    -------
    dict
        Placement settings as written in the file.
    """
    path = EXAMPLES / f'{deployment}.json'
    settings.load_settings(path)
    return json.loads(path.read_text(encoding='utf-8'))['placement']


def replay_trace(fleet, deployment, seed, policy):
    """Replay one trace with one policy.

    Parameters
    ----------
    fleet : str
        Name of a fleet in `benchmarks._trace.FLEETS`.
    deployment : str
        Name of a deployment in `DEPLOYMENTS`.
    seed : int
        Seed of the trace, and of generated names.
    policy : str
        Name of a policy in `benchmarks._baselines.POLICIES`.

    Returns
    -------
    dict of str to int
        Downtime summed over replicas (seconds), stranded accelerators and
        their unavoidable part (accelerator-seconds), and the writes and
        orders of the control path (counts).
    """
    functions, changes = _baselines.POLICIES[policy]
    placement_settings = {**load_placement(deployment), **changes}
    simulation = _virtual_fleet.FleetSimulation(
        _trace.FLEETS[fleet], CONTRACTS, placement_settings, seed
    )
    events = _trace.load_trace(fleet, seed)
    with contextlib.ExitStack() as stack:
        for name, function in functions.items():
            patch = mock.patch.object(placement, name, function)
            stack.enter_context(patch)
        return _measure_run(simulation, events)


def _measure_run(simulation, events):
    downtime = 0.0
    stranded = 0.0
    unavoidable = 0.0
    pending = list(reversed(events))
    end = WARM_UP + _trace.DURATION
    while simulation.now < end:
        while pending and pending[-1].time + WARM_UP <= simulation.now:
            simulation.apply_event(pending.pop())
        active = simulation.run_round()
        missing_replicas, stranded_now, unavoidable_now = simulation.measure()
        step = _virtual_fleet.ROUND_INTERVAL
        if not active and not missing_replicas and pending:
            gap = pending[-1].time + WARM_UP - simulation.now
            step = max(step, gap)
        step = min(step, end - simulation.now)
        if simulation.now >= WARM_UP:
            downtime += missing_replicas * step
            stranded += stranded_now * step
            unavoidable += unavoidable_now * step
        simulation.now += step
    return {
        'downtime_s': round(downtime),
        'stranded_accelerator_s': round(stranded),
        'unavoidable_accelerator_s': round(unavoidable),
        'writes': simulation.writes,
        'orders': simulation.orders,
    }


def compare(results):
    """Compute the relative change against the baselines, by measure.

    Parameters
    ----------
    results : dict of str to dict
        Policy name -> result of `replay_trace` or a sum of such results.

    Returns
    -------
    dict of str to float
        Change against the best and against the worst baseline; negative
        where `balsamwind` has less of the measure.
    """
    line = {}
    for measure in MEASURES:
        own = results['balsamwind'][measure]
        baselines = [
            results[policy][measure] for policy in _baselines.BASELINES
        ]
        line[f'{measure}_against_best'] = round(own / min(baselines) - 1.0, 3)
        line[f'{measure}_against_worst'] = round(own / max(baselines) - 1.0, 3)
    return line


def _sum_runs(runs):
    return {
        policy: {
            measure: sum(run[policy][measure] for run in runs)
            for measure in (*MEASURES, 'unavoidable_accelerator_s')
        }
        for policy in _baselines.POLICIES
    }


def compare_policies(executor, fleet, deployment, seeds):
    """Replay the traces of one fleet with every policy and print the results.

    Parameters
    ----------
    executor : concurrent.futures.Executor
        Executor of the replays.
    fleet : str
        Name of a fleet in `benchmarks._trace.FLEETS`.
    deployment : str
        Name of a deployment in `DEPLOYMENTS`.
    seeds : sequence of int
        Seeds of the traces.
    """
    common = {'fleet': fleet, 'deployment': deployment}
    pending = {
        (seed, policy): executor.submit(
            replay_trace, fleet, deployment, seed, policy
        )
        for seed in seeds
        for policy in _baselines.POLICIES
    }
    runs = []
    for seed in seeds:
        results = {}
        for policy in _baselines.POLICIES:
            results[policy] = pending[seed, policy].result()
            line = {**common, 'seed': seed, 'policy': policy}
            print(json.dumps({**line, **results[policy]}), flush=True)
        runs.append(results)
        line = {**common, 'seed': seed, **compare(results)}
        print(json.dumps(line), flush=True)
    total = _sum_runs(runs)
    line = {**common, 'seed': 'all', 'total': total, **compare(total)}
    print(json.dumps(line), flush=True)


def main():
    """Replay the traces of every fleet for every deployment."""
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
