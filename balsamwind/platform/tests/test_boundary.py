"""Only this package uses the platform's own names, and it stays small."""

import pathlib
import re

import pytest

PACKAGE = pathlib.Path(__file__).resolve().parents[2]

PLATFORM_NAMES = (
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
"""Patterns of the names that the platform's protocol page defines."""

MAX_LINES = 1200
"""Upper bound on the lines of the package without its tests (count)."""


def _find_sources():
    return [
        path
        for path in PACKAGE.rglob('*.py')
        if 'tests' not in path.relative_to(PACKAGE).parts
    ]


@pytest.mark.parametrize('name', PLATFORM_NAMES)
def test_platform_name_is_used_only_here(name):
    pattern = re.compile(name)
    offenders = [
        str(path)
        for path in _find_sources()
        if path.parent.name != 'platform'
        and pattern.search(path.read_text(encoding='utf-8'))
    ]
    assert offenders == []


def test_package_is_below_line_limit():
    line_count = sum(
        len(path.read_text(encoding='utf-8').splitlines())
        for path in _find_sources()
        if path.parent.name == 'platform'
    )
    assert line_count < MAX_LINES
