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


_SCALARS = (str, int, float, bool)


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
    return _make_decoder(cls)(data)


@functools.cache
def _make_decoder(hint):
    """Function that decodes the values of a type hint."""
    origin = typing.get_origin(hint)
    args = typing.get_args(hint)
    if origin is tuple:
        return functools.partial(_decode_tuple, _make_decoder(args[0]))
    if origin is dict:
        return functools.partial(_decode_dict, _make_decoder(args[1]))
    if origin is types.UnionType:
        return functools.partial(_decode_optional, _make_decoder(args[0]))
    if dataclasses.is_dataclass(hint):
        fields = {
            name: _make_decoder(inner)
            for name, inner in typing.get_type_hints(hint).items()
        }
        return functools.partial(_decode_class, hint, fields)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    return functools.partial(_decode_scalar, hint)


def _decode_tuple(decode_item, data):
    _check_shape(data, (list, tuple))
    return tuple([decode_item(item) for item in data])


def _decode_dict(decode_item, data):
    _check_shape(data, dict)
    return {key: decode_item(item) for key, item in data.items()}


def _decode_optional(decode_item, data):
    return None if data is None else decode_item(data)


def _check_shape(data, allowed):
    if not isinstance(data, allowed):
        raise TypeError(f'got {type(data).__name__}, allowed is {allowed}')


def _decode_class(cls, fields, data):
    if isinstance(data, list):
        data = dict(zip(fields, data, strict=False))
    _check_shape(data, dict)
    known = {
        name: decode_field(data[name])
        for name, decode_field in fields.items()
        if name in data
    }
    return cls(**known)


def _decode_scalar(cls, data):
    if cls is float and type(data) is int:
        data = float(_check_number(data))
    if cls in _SCALARS and type(data) is not cls:
        raise TypeError(f'got {data!r}, allowed is {cls.__name__}')
    if cls is int or cls is float:
        return _check_number(data)
    return data


def _check_number(value):
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise ValueError(f'got {value!r}, allowed is a number to 2**53')
    return value
