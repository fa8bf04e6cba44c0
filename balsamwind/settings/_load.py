"""Reading and validation of settings files."""

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
    """Make the JSON schema of a settings class.

    Parameters
    ----------
    cls : type
        Data class. Its type hints give the types, the metadata of its fields
        the ranges.

    Returns
    -------
    dict
        JSON schema. Unknown keys are rejected, and fields without a default
        are required.
    """
    hints = typing.get_type_hints(cls)
    properties = {}
    required = []
    for field in dataclasses.fields(cls):
        properties[field.name] = _make_type_schema(
            hints[field.name], field.metadata
        )
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


def _make_type_schema(hint, metadata):
    """Make the JSON schema of a type hint, with the ranges in `metadata`."""
    origin = typing.get_origin(hint)
    if origin is types.UnionType:
        return _make_type_schema(typing.get_args(hint)[0], metadata)
    if origin is tuple:
        items = _make_type_schema(typing.get_args(hint)[0], {})
        return {'type': 'array', 'items': items}
    if dataclasses.is_dataclass(hint):
        return make_schema(hint)
    type_names = {
        str: 'string',
        int: 'integer',
        float: 'number',
        bool: 'boolean',
    }
    schema = {'type': type_names[hint]}
    schema.update(metadata.get('schema', {}))
    return schema


def load_json(path):
    """Read a JSON file.

    Parameters
    ----------
    path : str or pathlib.Path
        Path of the file, which is encoded in UTF-8.

    Returns
    -------
    object
        Parsed JSON.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The file can't be read or is not valid JSON.
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
    """Validate settings and convert them to `Settings`.

    Parameters
    ----------
    data : object
        Parsed JSON.
    place : str
        Name of the file that contains `data`, for error messages.

    Returns
    -------
    Settings

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The settings are invalid; the exception has all findings.
    """
    validator = jsonschema.Draft202012Validator(make_schema())
    findings = _findings.list_findings(validator, data, place)
    _findings.raise_findings(findings)
    return _convert(_sections.Settings, data)


def load_settings(path):
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        Path of the file.

    Returns
    -------
    Settings

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The file can't be read or the settings are invalid.
    """
    return check_settings(load_json(path), str(path))


def _convert(hint, data):
    """Convert validated JSON to an instance of a type hint."""
    origin = typing.get_origin(hint)
    if origin is types.UnionType:
        return (
            None if data is None else _convert(typing.get_args(hint)[0], data)
        )
    if origin is tuple:
        return tuple(_convert(typing.get_args(hint)[0], item) for item in data)
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        values = {name: _convert(hints[name], data[name]) for name in data}
        return hint(**values)
    return hint(data)
