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
    process = types.SimpleNamespace(
        configuration_cache=cache, registry=registry, _evidence=evidence
    )
    process._lacks_servers = types.MethodType(
        _process.Process._lacks_servers, process
    )
    return process


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


@pytest.mark.parametrize(
    ('has_configuration', 'has_servers', 'has_evidence', 'is_over', 'called'),
    [
        (False, True, True, False, []),
        (True, False, True, False, []),
        (True, True, False, False, ['await_evidence']),
        (True, True, True, False, ['end']),
        (True, True, True, True, []),
    ],
)
def test_wait_goes_on_until_all_is_known(
    has_configuration, has_servers, has_evidence, is_over, called
):
    process = make_process(has_configuration, has_servers, has_evidence)
    calls = []
    process.relay = types.SimpleNamespace(
        start_wait=types.SimpleNamespace(
            is_over=is_over,
            end=lambda: calls.append('end'),
            await_evidence=lambda: calls.append('await_evidence'),
        )
    )
    _process.Process._end_start_wait(process)
    assert calls == called
