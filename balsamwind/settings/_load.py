"""Reading and checking of settings files."""

import dataclasses
import functools
import json
import pathlib
import types
import typing

import jsonschema

from balsamwind.settings import _findings
from balsamwind.settings import _sections


@functools.cache
def make_schema(cls=_sections.Settings):
    """JSON schema of a settings class, from its type hints and metadata."""
    hints = typing.get_type_hints(cls)
    properties = {}
    required = []
    for field in dataclasses.fields(cls):
        properties[field.name] = _schema_of(hints[field.name], field.metadata)
        if _is_required(field):
            required.append(field.name)
    return {
        'type': 'object',
        'additionalProperties': False,
        'required': required,
        'properties': properties,
    }


def _is_required(field):
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _schema_of(hint, metadata):
    origin = typing.get_origin(hint)
    if origin is types.UnionType:
        return _schema_of(typing.get_args(hint)[0], metadata)
    if origin is tuple:
        items = _schema_of(typing.get_args(hint)[0], {})
        return {'type': 'array', 'items': items}
    if dataclasses.is_dataclass(hint):
        return make_schema(hint)
    names = {str: 'string', int: 'integer', float: 'number', bool: 'boolean'}
    schema = {'type': names[hint]}
    schema.update(metadata.get('schema', {}))
    return schema


def load_json(path):
    """Read a JSON file.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The file can't be read or is not JSON.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return json.loads(text)
    except (OSError, ValueError) as error:
        finding = _findings.Finding(
            str(path), '', str(error), 'a readable JSON file'
        )
        _findings.raise_findings([finding])


def check_settings(data, place='settings'):
    """Check parsed settings and build them.

    Returns
    -------
    Settings

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        With all findings.
    """
    validator = jsonschema.Draft202012Validator(make_schema())
    findings = _findings.make_findings(validator, data, place)
    _findings.raise_findings(findings)
    return _build(_sections.Settings, data)


def load_settings(path):
    """Read and check a settings file."""
    return check_settings(load_json(path), str(path))


def _build(hint, data):
    origin = typing.get_origin(hint)
    if origin is types.UnionType:
        return None if data is None else _build(typing.get_args(hint)[0], data)
    if origin is tuple:
        return tuple(_build(typing.get_args(hint)[0], item) for item in data)
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        values = {name: _build(hints[name], data[name]) for name in data}
        return hint(**values)
    return hint(data)
