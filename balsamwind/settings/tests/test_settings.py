"""Settings are checked; all findings come at once, with their place."""

import pathlib

import pytest

from balsamwind import exceptions
from balsamwind import settings

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / 'examples'

GOOD = {
    'node': {'name': 'n', 'data_centre': 'd'},
    'listen': {'callers': 'h:1', 'operators': 'h:2', 'peers': 'h:3'},
    'platform': {'url': 'http://h:4'},
}


def test_defaults():
    made = settings.check_settings(GOOD)
    assert made.control.lease_duration == 6.0


@pytest.mark.parametrize(
    'change, pointers',
    [
        ({'nodes': 1}, ['']),
        ({'node': {'name': ''}}, ['/node', '/node/name']),
        (
            {'listen': {'callers': 'x', 'operators': 1, 'peers': 'h:3'}},
            ['/listen/callers', '/listen/operators'],
        ),
        ({'requests': {'timeout': -1}}, ['/requests/timeout']),
    ],
)
def test_findings(change, pointers):
    with pytest.raises(exceptions.InvalidInput) as caught:
        settings.check_settings({**GOOD, **change}, 'file.json')
    findings = caught.value.findings
    assert sorted(finding.pointer for finding in findings) == pointers
    assert all(finding.place == 'file.json' for finding in findings)


@pytest.mark.parametrize('name', ['rotagzeli.json', 'topla-noshta.json'])
def test_examples(name):
    made = settings.load_settings(EXAMPLES / name)
    assert len(made.peers) == 5
