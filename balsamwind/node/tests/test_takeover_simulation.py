"""No engine joins a group while the head of its old one serves."""

import pytest

from balsamwind.node.tests import shard_simulation

SECONDS = 60.0
"""Virtual time of one run (seconds)."""


@pytest.mark.parametrize('seed', range(12))
def test_no_engine_is_taken_from_a_group_that_is_served(seed):
    simulation = shard_simulation.Simulation(seed)
    simulation.run(SECONDS)
    assert simulation.violations == []
    assert simulation.opened >= 4
