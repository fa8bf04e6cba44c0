"""Settings are validated; all findings are reported at once."""

import pathlib

import pytest

from balsamwind import exceptions
from balsamwind import settings

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / 'examples'

VALID_SETTINGS = {
    'node': {'name': 'n', 'data_centre': 'd'},
    'listen': {'callers': 'h:1', 'operators': 'h:2', 'peers': 'h:3'},
    'platform': {'url': 'http://h:4'},
}


def test_missing_section_gets_defaults():
    loaded = settings.check_settings(VALID_SETTINGS)
    assert loaded.control.lease_duration == 6.0


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
def test_invalid_settings_are_rejected(change, pointers):
    with pytest.raises(exceptions.InvalidInput) as caught:
        settings.check_settings({**VALID_SETTINGS, **change}, 'file.json')
    findings = caught.value.findings
    assert sorted(finding.pointer for finding in findings) == pointers
    assert all(finding.place == 'file.json' for finding in findings)


@pytest.mark.parametrize('name', ['rotagzeli.json', 'topla-noshta.json'])
def test_example_settings_are_valid(name):
    loaded = settings.load_settings(EXAMPLES / name)
    assert len(loaded.peers) == 5
