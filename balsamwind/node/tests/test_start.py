"""What a node must know before it serves the requests of callers."""

import types

import pytest

from balsamwind.node import _process
from balsamwind import pool
from balsamwind import traffic


def make_process(has_configuration, has_servers, has_evidence=True):
    """Make what the question whether a node starts looks at."""
    cache = traffic.ConfigurationCache(4.6)
    if has_configuration:
        cache.accept(traffic.Configuration(1, (), ()), 0.0)
    registry = pool.ServerRegistry()
    if has_servers:
        record = pool.ServerRecord('e1', 'llm', '10.0.0.1:80', 'z1')
        registry.apply_entry(record, 0.0)
    evidence = types.SimpleNamespace(is_known=has_evidence)
    return types.SimpleNamespace(
        configuration_cache=cache, registry=registry, _evidence=evidence
    )


@pytest.mark.parametrize(
    ('has_configuration', 'has_servers', 'has_evidence', 'is_starting'),
    [
        (False, False, True, True),
        (False, True, True, True),
        (True, False, True, True),
        (True, True, False, True),
        (True, True, True, False),
    ],
)
def test_requests_wait_for_what_a_node_must_know(
    has_configuration, has_servers, has_evidence, is_starting
):
    # Nodes that had the configuration but no entries of servers rejected all
    # requests as 'no group serves' for a moment after a loss of power.
    process = make_process(has_configuration, has_servers, has_evidence)
    assert _process.Process._is_starting(process) is is_starting
