"""Malformed objects are refused, whatever they look like."""

import hypothesis
from hypothesis import strategies as st
import pytest

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import settings

GOOD = {
    'customer': 'c',
    'api_key_hashes': ['0' * 64],
    'starts_at': '2026-01-01T00:00:00Z',
    'ends_at': '2026-02-01T00:00:00Z',
}
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def fields_of(cls):
    """Mappings with the keys of a data class and any values."""
    names = st.sampled_from(sorted(cls.__dataclass_fields__))
    return st.dictionaries(names, VALUES)


CLASSES = sorted(set(objects.KINDS.values()), key=lambda cls: cls.__name__)


@pytest.mark.parametrize('cls', CLASSES)
@hypothesis.given(data=st.data())
def test_decode_refuses_or_builds(cls, data):
    value = data.draw(VALUES | fields_of(cls))
    try:
        made = objects.decode(cls, value)
    except (TypeError, ValueError):
        return
    assert objects.decode(cls, objects.encode(made)) == made


@hypothesis.given(value=VALUES | fields_of(objects.Contract))
def test_contract_has_findings(value):
    with pytest.raises(exceptions.InvalidInput):
        objects.check_contract(value)


@hypothesis.given(value=VALUES | fields_of(settings.Settings))
def test_settings_have_findings(value):
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
def test_finding_names_its_place(change, pointer):
    objects.check_contract(GOOD)
    with pytest.raises(exceptions.InvalidInput) as caught:
        objects.check_contract({**GOOD, **change}, 'c.json')
    assert [f.pointer for f in caught.value.findings] == [pointer]
    assert 'c.json' in str(caught.value)


def test_stored_contract_is_checked():
    data = {'kind': 'contract', 'name': 'c', 'revision': 1}
    value = {**GOOD, 'starts_at': 'soon'}
    with pytest.raises(ValueError, match='starts_at'):
        objects.load_stored({**data, 'value': value})


def test_stored_contract_of_a_newer_version():
    data = {'kind': 'contract', 'name': 'c', 'revision': 1}
    stored = objects.load_stored({**data, 'value': {**GOOD, 'colour': 1}})
    assert stored.value.customer == 'c'
