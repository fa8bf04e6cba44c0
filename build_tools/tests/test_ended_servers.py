"""One request that ends few servers again and again, before real nodes.

Each end must be put down to it, however the nodes see the other servers.
"""

import asyncio
import signal

import pytest

from build_tools.tests import ended_servers
from standins import pool as pool_standin

MAX_LATE_TRIES = 3
"""Tries that may reach servers long after the third end (count)."""


def _play(tmp_path, **values):
    scenario = ended_servers.Scenario(**values)
    return asyncio.run(ended_servers.play(scenario, tmp_path))


def _check_late_tries(outcome):
    assert outcome.ends
    assert outcome.late_tries <= MAX_LATE_TRIES


@pytest.mark.parametrize(
    'values',
    [
        pytest.param({'servers': 1}, id='one server'),
        pytest.param({'other_ends': 0.5}, id='others end all the time'),
        pytest.param(
            {
                'path': '/read/x',
                'run': pool_standin.DeadlyRun((0.3, 0.9), random_state=2),
                'seed': 2,
            },
            id='after a silence',
        ),
    ],
)
def test_ended_servers_that_refuse_connections_hid_an_end(tmp_path, values):
    outcome = _play(tmp_path, **values)
    _check_late_tries(outcome)
    assert outcome.known_ends == len(outcome.ends)


@pytest.mark.parametrize('restarts', [signal.SIGTERM, signal.SIGKILL])
def test_restarts_of_nodes_hid_the_ends_of_servers(tmp_path, restarts):
    """What a killed node alone knew may be lost."""
    outcome = _play(
        tmp_path, repeats=2, other_ends=2.0, restarts=restarts, seed=2
    )
    _check_late_tries(outcome)


@pytest.mark.parametrize(
    'values',
    [
        pytest.param(
            {
                'path': '/read/x',
                'run': pool_standin.DeadlyRun(
                    head=pool_standin.UNSIGNED_HEAD,
                    pause=(0.15, 0.5),
                    random_state=2,
                ),
                'servers': 6,
                'seed': 2,
            },
            id='head is not signed',
        ),
        pytest.param(
            {'run': pool_standin.DeadlyRun((1.15, 1.5)), 'seed': 2},
            id='deadline has passed',
        ),
    ],
)
def test_attempt_that_the_node_had_ended_hid_an_end(tmp_path, values):
    outcome = _play(tmp_path, **values)
    _check_late_tries(outcome)
    assert outcome.known_ends == len(outcome.ends)
