"""What a refusal shows, also where the node that judges it is cut off."""

import pytest

from balsamwind import relay
from balsamwind.relay import _refusals

ANSWERS, REFUSES = relay.Reach.ANSWERS, relay.Reach.REFUSES
SILENT, UNKNOWN = relay.Reach.SILENT, relay.Reach.UNKNOWN


@pytest.mark.parametrize(
    ('is_path_open', 'opinions', 'verdict'),
    [
        pytest.param(True, [REFUSES], 'ended', id='others are reached'),
        pytest.param(True, [UNKNOWN], 'ended', id='nobody else knows'),
        pytest.param(True, [ANSWERS], 'reached', id='own path to it is cut'),
        pytest.param(
            False, [REFUSES] * 5, 'ended', id='all servers have ended'
        ),
        pytest.param(
            False,
            [REFUSES, REFUSES, ANSWERS],
            'reached',
            id='half of the nodes are cut off',
        ),
        pytest.param(
            False, [SILENT] * 5, 'no_witness', id='all paths are silent'
        ),
        pytest.param(
            False,
            [REFUSES, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN],
            'no_witness',
            id='cut off with one neighbour',
        ),
        pytest.param(
            False,
            [REFUSES, REFUSES, REFUSES, UNKNOWN, UNKNOWN],
            'ended',
            id='two nodes are restarted',
        ),
        pytest.param(False, [], 'no_witness', id='alone'),
    ],
)
def test_refusal_is_judged_by_what_other_nodes_find(
    is_path_open, opinions, verdict
):
    found = _refusals.judge_refusal(is_path_open, opinions)
    assert found is relay.EndVerdict(verdict)
