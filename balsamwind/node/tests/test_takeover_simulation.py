"""No engine joins a group while the head of its old one serves."""

import pytest

from balsamwind.node.tests import shard_simulation

SECONDS = 60.0
"""Virtual time of one run (seconds)."""


@pytest.mark.parametrize('seed', range(12))
def test_no_engine_is_taken_from_a_group_that_is_served(seed):
    simulation = shard_simulation.Simulation(
        seed, trouble_kinds=shard_simulation.EARLIER_KINDS
    )
    simulation.run(SECONDS)
    assert simulation.violations == []
    assert simulation.opened >= 4


@pytest.mark.parametrize('seed', [6, 43, 47, 49, 66, 72, 105, 118, 119, 411])
def test_returning_leader_took_members_for_the_spares_they_had_been(seed):
    # It kept their entries through an outage, in which another leader had
    # opened their group; numbers of orders from before it fitted (TWO).
    simulation = shard_simulation.Simulation(
        seed, engine_count=10, trouble_kinds=shard_simulation.CUT_KINDS
    )
    simulation.run(SECONDS)
    assert simulation.violations == []
    assert simulation.opened >= 4


@pytest.mark.parametrize('seed', [0, 1, 2, 6, 12, 23])
def test_outage_of_the_store_for_all_let_engines_be_taken(seed):
    # Whoever leads next knows the entries of before, and nobody led meanwhile.
    simulation = shard_simulation.Simulation(seed, engine_count=10)
    simulation.run(SECONDS)
    assert simulation.violations == []
    assert simulation.opened >= 4


@pytest.mark.parametrize('seed', [0, 1, 2, 3, 192, 215, 334, 434])
def test_engine_that_was_staged_was_taken_from_a_group_that_forms(seed):
    # The copy of a model ended while its engine still joined a group: it
    # passed for free, and the group was opened a moment later (TWO).
    simulation = shard_simulation.Simulation(
        seed, hosts_keep=1, trouble_kinds=shard_simulation.EARLIER_KINDS
    )
    simulation.run(SECONDS)
    assert simulation.violations == []
    assert simulation.opened >= 4
