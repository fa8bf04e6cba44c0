"""Malformed objects, contracts and settings are rejected.

Decoding any malformed value must raise a documented exception, because the
readers of the store and of peer messages catch no others.
"""

import hypothesis
from hypothesis import strategies as st
import pytest

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import settings

VALID_CONTRACT = {
    'customer': 'c',
    'api_key_hashes': ['0' * 64],
    'starts_at': '2026-01-01T00:00:00Z',
    'ends_at': '2026-02-01T00:00:00Z',
}
SCALAR_VALUES = (
    st.none() | st.booleans() | st.integers() | st.floats() | st.text()
)
JSON_LIKE_VALUES = st.recursive(
    SCALAR_VALUES,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def dataclass_mappings(cls):
    """Generate mappings with keys of a data class and arbitrary values."""
    names = st.sampled_from(sorted(cls.__dataclass_fields__))
    return st.dictionaries(names, JSON_LIKE_VALUES)


CLASSES = sorted(set(objects.KINDS.values()), key=lambda cls: cls.__name__)


@pytest.mark.parametrize('cls', CLASSES)
@hypothesis.given(data=st.data())
def test_decode_rejects_or_round_trips(cls, data):
    value = data.draw(JSON_LIKE_VALUES | dataclass_mappings(cls))
    try:
        decoded = objects.decode(cls, value)
    except (TypeError, ValueError):
        return
    assert objects.decode(cls, objects.encode(decoded)) == decoded


@hypothesis.given(
    value=JSON_LIKE_VALUES | dataclass_mappings(objects.Contract)
)
def test_invalid_contract_is_rejected(value):
    with pytest.raises(exceptions.InvalidInput):
        objects.check_contract(value)


@hypothesis.given(
    value=JSON_LIKE_VALUES | dataclass_mappings(settings.Settings)
)
def test_invalid_settings_are_rejected(value):
    with pytest.raises(exceptions.InvalidInput):
        settings.check_settings(value)


@pytest.mark.parametrize(
    'change, pointer',
    [
        ({'ends_at': '2026-13-01T00:00:00Z'}, '/ends_at'),
        ({'ends_at': '2025-01-01T00:00:00Z'}, '/ends_at'),
        ({'priority': 10}, '/priority'),
        ({'customer': 'Not A Name'}, '/customer'),
        ({'replicas': 1}, ''),
        (
            {
                'models': [
                    {
                        'model': 'm',
                        'version': 'v',
                        'replicas': 1,
                        'group_size': 1,
                    }
                ]
                * 2
            },
            '/models/1/model',
        ),
    ],
)
def test_finding_has_its_location(change, pointer):
    objects.check_contract(VALID_CONTRACT)
    with pytest.raises(exceptions.InvalidInput) as caught:
        objects.check_contract({**VALID_CONTRACT, **change}, 'c.json')
    assert [f.pointer for f in caught.value.findings] == [pointer]
    assert 'c.json' in str(caught.value)


def test_stored_contract_is_validated():
    data = {'kind': 'contract', 'name': 'c', 'revision': 1}
    value = {**VALID_CONTRACT, 'starts_at': 'soon'}
    with pytest.raises(ValueError, match='starts_at'):
        objects.decode_object_version({**data, 'value': value})


def test_stored_contract_with_unknown_key_is_accepted():
    data = {'kind': 'contract', 'name': 'c', 'revision': 1}
    stored = objects.decode_object_version(
        {**data, 'value': {**VALID_CONTRACT, 'colour': 1}}
    )
    assert stored.value.customer == 'c'
