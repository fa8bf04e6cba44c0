"""Nothing outside this folder knows the platform's names."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).resolve().parents[2]

NAMES = (
    'X-Balsamwind-(?:Request|Time|Expect|Not-Exec|Server|Prompt|Token|Resp)',
    'BALSAMWIND_BOOT',
    'PathPrefix',
    'SlotCount',
    'StoreRevision',
    'KvUsedTokens',
    'KvTotalTokens',
    'TrafficSplit',
    'ApiKeys',
    'CloseMode',
    'Precondition',
    'WaitMs',
    'HasMore',
    'TimeoutMs',
    'NumQueued',
    'At-Server',
)
"""Names of the wire, from the page of the protocol."""

MAX_LINES = 1200
"""Lines of the adapter, tests left out (count)."""


def _find_sources():
    return [
        path
        for path in PACKAGE.rglob('*.py')
        if 'tests' not in path.relative_to(PACKAGE).parts
    ]


@pytest.mark.parametrize('name', NAMES)
def test_names_stay_inside(name):
    pattern = re.compile(name)
    found = [
        str(path)
        for path in _find_sources()
        if path.parent.name != 'platform'
        and pattern.search(path.read_text(encoding='utf-8'))
    ]
    assert found == []


def test_adapter_is_small():
    lines = sum(
        len(path.read_text(encoding='utf-8').splitlines())
        for path in _find_sources()
        if path.parent.name == 'platform'
    )
    assert lines < MAX_LINES
