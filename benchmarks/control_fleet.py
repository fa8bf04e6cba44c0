"""Stand-in engines of one data centre, whose reported load changes."""

import argparse
import asyncio
import dataclasses
import json
import random

from standins import engines
from standins import platform

MAX_RUNNING = 32
"""Maximum number of running requests in a load report (count)."""


class RandomLoadVm(engines.Vm):
    """Stand-in engine whose reported load is a random walk.

    The load of an engine that is in no group does not change.
    """

    def report(self):
        """Make a load report, after one step of the random walk of `running`.

        Returns
        -------
        balsamwind.ports.EngineReport
        """
        report = super().report()
        if not report.group:
            return report
        step = self.fleet.rng.choice((-2, -1, 0, 1, 2))
        self.running = min(MAX_RUNNING, max(0, self.running + step))
        return dataclasses.replace(report, running=self.running)


class RandomLoadFleet(engines.Fleet):
    """Stand-in engines of this process.

    Parameters
    ----------
    random_state : int
        Seed of the random walks.
    """

    def __init__(self, random_state):
        super().__init__()
        self.rng = random.Random(random_state)

    def add(self, name, port=0):
        """Start the engine of one VM.

        Parameters
        ----------
        name : str
            Name of the VM.
        port : int
            Port to listen on; 0 for any.

        Returns
        -------
        RandomLoadVm
        """
        vm = RandomLoadVm(self, name)
        vm.open(port)
        self.vms[vm.address] = vm
        return vm


async def main():
    """Run the engines of one data centre until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--admin-port', type=int, required=True)
    parser.add_argument('--vms', required=True)
    parser.add_argument('--data-centre', required=True)
    parser.add_argument('--seed', type=int, default=0)
    arguments = parser.parse_args()
    fleet = RandomLoadFleet(arguments.seed)
    with open(arguments.vms, encoding='utf-8') as file:
        vms = json.load(file)
    for vm in vms:
        if vm['data_centre'] == arguments.data_centre:
            fleet.add(vm['name'], int(vm['address'].rsplit(':', 1)[1]))
    platform.listen(engines.make_admin_server(fleet), arguments.admin_port)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
