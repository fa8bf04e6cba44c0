"""Translation between data classes and plain JSON values.

The type hints of a data class are its schema. Unknown keys are ignored, so
that an older node can read what a newer one wrote; a missing key takes its
default.
"""

import dataclasses
import enum
import functools
import types
import typing

MAX_NUMBER = 2**53
"""Largest number that JSON carries without loss."""


@functools.cache
def _hints(cls):
    return typing.get_type_hints(cls)


def encode(value):
    """Translate a data class into values that JSON and CBOR can carry."""
    match value:
        case enum.Enum():
            return value.value
        case tuple() | list():
            return [encode(item) for item in value]
        case dict():
            return {key: encode(item) for key, item in value.items()}
        case None | str() | int() | float() | bool() | bytes():
            return value
    return {
        field.name: encode(getattr(value, field.name))
        for field in dataclasses.fields(value)
    }


def decode(cls, data):
    """Build a `cls` from plain values.

    Parameters
    ----------
    cls : type
        A data class, or the type hint of one of its fields.
    data : object
        Plain value as read from JSON or CBOR.

    Returns
    -------
    object
        An instance of `cls`.

    Raises
    ------
    TypeError, ValueError
        A required key is missing or a value has the wrong shape.
    """
    origin = typing.get_origin(cls)
    args = typing.get_args(cls)
    if origin is tuple:
        _check_shape(data, (list, tuple))
        return tuple(decode(args[0], item) for item in data)
    if origin is dict:
        _check_shape(data, dict)
        return {key: decode(args[1], item) for key, item in data.items()}
    if origin is types.UnionType:
        return None if data is None else decode(args[0], data)
    if dataclasses.is_dataclass(cls):
        return _decode_class(cls, data)
    if isinstance(cls, type) and issubclass(cls, enum.Enum):
        return cls(data)
    return _decode_scalar(cls, data)


def _check_shape(data, allowed):
    if not isinstance(data, allowed):
        raise TypeError(f'got {type(data).__name__}, allowed is {allowed}')


def _decode_class(cls, data):
    hints = _hints(cls)
    if isinstance(data, list):
        data = dict(zip(hints, data, strict=False))
    _check_shape(data, dict)
    known = {
        name: decode(hint, data[name])
        for name, hint in hints.items()
        if name in data
    }
    return cls(**known)


def _decode_scalar(cls, data):
    if cls is float and type(data) is int:
        data = float(_check_number(data))
    if cls in (str, int, float, bool) and type(data) is not cls:
        raise TypeError(f'got {data!r}, allowed is {cls.__name__}')
    if cls in (int, float):
        return _check_number(data)
    return data


def _check_number(value):
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise ValueError(f'got {value!r}, allowed is a number to 2**53')
    return value
