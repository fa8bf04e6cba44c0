"""Stand-in engines whose load changes, and a cluster of many entries."""

import argparse
import asyncio
import dataclasses
import json
import random

from standins import engines
from standins import platform

LOAD = 32
"""Largest number of running requests in a report (count)."""


class LoadedVm(engines.Vm):
    """Engine whose reported load wanders; members report their head's."""

    def report(self):
        """Load report with a random walk of `running`."""
        report = super().report()
        if not report.group:
            return report
        step = self.fleet.rng.choice((-2, -1, 0, 1, 2))
        self.running = min(LOAD, max(0, self.running + step))
        return dataclasses.replace(report, running=self.running)


class LoadedFleet(engines.Fleet):
    """Engines of this process.

    Parameters
    ----------
    random_state : int
        Seed of the load.
    """

    def __init__(self, random_state):
        super().__init__()
        self.rng = random.Random(random_state)

    def add(self, name, port=0):
        """Start the engine of one VM."""
        vm = LoadedVm(self, name)
        vm.open(port)
        self.vms[vm.address] = vm
        return vm


async def main():
    """Run the engines of one data centre until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--admin-port', type=int, required=True)
    parser.add_argument('--vms', required=True)
    parser.add_argument('--data-centre', required=True)
    parser.add_argument('--seed', type=int, default=0)
    arguments = parser.parse_args()
    fleet = LoadedFleet(arguments.seed)
    with open(arguments.vms, encoding='utf-8') as file:
        rows = json.load(file)
    for row in rows:
        if row['data_centre'] == arguments.data_centre:
            fleet.add(row['name'], int(row['address'].rsplit(':', 1)[1]))
    platform.listen(engines.make_admin_server(fleet), arguments.admin_port)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
