"""Recorded traces of the request path meet their stated outcomes."""

import dataclasses
import json
import pathlib

import pytest

from balsamwind import exceptions
from balsamwind.replay import _requests

ROOT = pathlib.Path(__file__).resolve().parents[3]
TRACES = sorted((ROOT / 'traces/requests').glob('*.jsonl'))


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One line of a trace."""

    place: str
    data: dict


def load_lines(path):
    """Lines of a trace."""
    texts = path.read_text(encoding='utf-8').splitlines()
    return [
        Line(f'{path.name}:{number}', json.loads(text))
        for number, text in enumerate(texts, 1)
    ]


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_outcomes(path):
    findings = _requests.replay_requests(load_lines(path))
    assert not findings, '\n'.join(map(str, findings))


def test_every_trace_states_outcomes():
    assert len(TRACES) >= 12
    for path in TRACES:
        assert any('expect' in line.data for line in load_lines(path))


def test_unmet_outcome_is_found():
    lines = load_lines(ROOT / 'traces/requests/group-lost.jsonl')
    wrong = Line('wrong', {'at': 9, 'expect': {'id': 'r', 'tokens': 4}})
    (finding,) = _requests.replay_requests([*lines, wrong])
    assert (finding.place, finding.got) == ('wrong', 3)


@pytest.mark.parametrize(
    'data', [{}, {'at': 1, 'event': 'x'}, {'at': 1, 'event': 'token'}]
)
def test_malformed_step(data):
    lines = [Line('1', {'trace': 'requests'}), Line('2', data)]
    with pytest.raises(exceptions.InvalidInput):
        _requests.replay_requests(lines)
