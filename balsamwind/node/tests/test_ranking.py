"""Order of the nodes that take on shared work."""

import pytest

from balsamwind import node
from balsamwind.node import _ranking
from balsamwind.node.tests import helpers


def test_nodes_with_most_capacity_come_first():
    nodes = [
        node.RegisteredNode('n1', 'a', 0.1),
        node.RegisteredNode('n3', 'c', 1.0),
        node.RegisteredNode('n2', 'b', 1.0),
        node.RegisteredNode('n4', 'd', 0.5),
    ]
    ranked = _ranking.rank_nodes(nodes)
    assert [item.name for item in ranked] == ['n2', 'n3', 'n4', 'n1']
    assert _ranking.find_rank(ranked, 'n4') == 2
    assert _ranking.find_rank(ranked, 'n9') is None


@pytest.mark.parametrize(
    ('cores', 'link_rate', 'capacity'),
    [
        pytest.param(2.15, 100.0, 1.0, id='the link is scarcer'),
        pytest.param(0.516, 1000.0, 0.52, id='the processor is scarcer'),
        pytest.param(0.516, 10.0, 0.1, id='both are scarce'),
    ],
)
def test_the_scarcer_resource_sets_the_capacity(cores, link_rate, capacity):
    settings = helpers.make_settings('n1', 1, cores=cores, link_rate=link_rate)
    assert settings.capacity == capacity
