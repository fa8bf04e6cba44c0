"""Conversion between data classes and plain JSON values.

The type hints of a data class are its schema. Unknown keys are ignored, so
that an older node can read objects written by a newer one. A missing key gets
the default of its field.
"""

import dataclasses
import enum
import functools
import types
import typing

MAX_EXACT_NUMBER = 2**53
"""Largest absolute value of a number; JSON keeps integers exact up to it."""


class UnknownEnumValue(ValueError):
    """A value of the right type that is no member of an enumeration.

    A newer build may have added it.
    """


_SCALAR_TYPES = (str, int, float, bool, bytes)


def encode(value):
    """Convert a data class instance to values that JSON and CBOR support.

    Parameters
    ----------
    value : object
        Data class instance, enum member, list, tuple, dict or plain value.

    Returns
    -------
    object
        Plain value. Data classes become dicts, tuples become lists and enum
        members become their values.
    """
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
    """Convert plain values to an instance of a data class.

    Parameters
    ----------
    cls : type
        Data class, or the type hint of one of its fields.
    data : object
        Plain value parsed from JSON or CBOR.

    Returns
    -------
    object
        Instance of `cls`.

    Raises
    ------
    TypeError, ValueError
        A required key is missing, or a value has the wrong type or range.
    """
    return _make_decoder(cls)(data)


@functools.cache
def _make_decoder(hint):
    """Make the function that decodes values of a type hint."""
    origin = typing.get_origin(hint)
    args = typing.get_args(hint)
    if origin is tuple:
        return functools.partial(_decode_tuple, _make_decoder(args[0]))
    if origin is dict:
        return functools.partial(_decode_dict, _make_decoder(args[1]))
    if origin is types.UnionType:
        return functools.partial(_decode_optional, _make_decoder(args[0]))
    if dataclasses.is_dataclass(hint):
        field_decoders = {
            name: _make_decoder(field_hint)
            for name, field_hint in typing.get_type_hints(hint).items()
        }
        return functools.partial(_decode_dataclass, hint, field_decoders)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return functools.partial(_decode_enum, hint)
    return functools.partial(_decode_scalar, hint)


def _decode_tuple(decode_item, data):
    _check_type(data, (list, tuple))
    return tuple([decode_item(item) for item in data])


def _decode_dict(decode_item, data):
    _check_type(data, dict)
    return {key: decode_item(item) for key, item in data.items()}


def _decode_optional(decode_item, data):
    return None if data is None else decode_item(data)


def _check_type(data, expected):
    if not isinstance(data, expected):
        raise TypeError(f'got {type(data).__name__}, expected {expected}')


def _decode_dataclass(cls, field_decoders, data):
    """Decode a data class from a dict, or from a list in field order."""
    if isinstance(data, list):
        data = dict(zip(field_decoders, data, strict=False))
    _check_type(data, dict)
    values = {
        name: decode_field(data[name])
        for name, decode_field in field_decoders.items()
        if name in data
    }
    return cls(**values)


def _decode_scalar(cls, data):
    """Check a scalar; an integer is accepted where a float is expected."""
    if cls is float and type(data) is int:
        data = float(_check_range(data))
    if cls in _SCALAR_TYPES and type(data) is not cls:
        raise TypeError(f'got {data!r}, expected {cls.__name__}')
    if cls is int or cls is float:
        return _check_range(data)
    if cls is str and not data.isascii():
        # JSON may hold lone surrogates, which CBOR does not carry.
        data.encode('utf-8')
    return data


def _decode_enum(cls, data):
    _check_type(data, tuple({type(member.value) for member in cls}))
    try:
        return cls(data)
    except ValueError as error:
        raise UnknownEnumValue(str(error)) from None


def _check_range(value):
    if not -MAX_EXACT_NUMBER <= value <= MAX_EXACT_NUMBER:
        raise ValueError(f'got {value!r}, expected -2**53 to 2**53')
    return value
