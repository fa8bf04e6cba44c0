"""Checks of values that other programs have written.

A value that passes can be compared, hashed, written to a log, sent in a header
where it is a name, and passed on to other nodes. All checks raise
`balsamwind.exceptions.MalformedValue`; `what` names the value in the message.
"""

import contextlib
import ipaddress
import re

from balsamwind import exceptions
from balsamwind.objects import _codec

MAX_NAME_LENGTH = 512
"""Longest name (characters)."""

MAX_REASON_LENGTH = 200
"""Longest reason of an error of the interpreter (characters)."""

FINAL_STATUSES = range(200, 600)
"""Statuses of final HTTP responses, as of RFC 9110, section 15."""

_CONTROL_CHARACTERS = re.compile(r'[\x00-\x1f\x7f\x85\u2028\u2029]')

_HOST_NAME = re.compile(r'(?!-)[A-Za-z0-9-]{1,63}(\.[A-Za-z0-9-]{1,63}){0,15}')

_PORT = re.compile(r'[0-9]{1,5}')


@contextlib.contextmanager
def decoding(what):
    """Turn whatever the block raises on odd data into one typed error.

    Parameters
    ----------
    what : str
        What is decoded, for the message.

    Raises
    ------
    balsamwind.exceptions.MalformedValue
        The data can't be decoded.
    """
    try:
        yield
    except exceptions.MalformedValue as error:
        raise exceptions.MalformedValue(f'{what}: {error.message}') from None
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        reason = f'{type(error).__name__}: {error}'[:MAX_REASON_LENGTH]
        raise exceptions.MalformedValue(f'{what}: {reason}') from None


def check_table(value, what):
    """Return a dict as it is."""
    return _check_type(value, dict, what)


def check_list(value, what):
    """Return a list as it is."""
    return _check_type(value, list, what)


def check_text(value, what):
    """Return a string, which may be empty, as it is."""
    _check_type(value, str, what)
    if len(value) > MAX_NAME_LENGTH:
        raise exceptions.MalformedValue(
            f'{what}: {len(value)} characters, expected {MAX_NAME_LENGTH}'
        )
    if _CONTROL_CHARACTERS.search(value):
        raise exceptions.MalformedValue(f'{what}: control characters')
    try:
        value.encode('utf-8')
    except UnicodeEncodeError:
        raise exceptions.MalformedValue(f'{what}: no Unicode text') from None
    return value


def check_name(value, what):
    """Return a string that is not empty as it is."""
    if not check_text(value, what):
        raise exceptions.MalformedValue(f'{what}: empty')
    return value


def check_integer(value, what, least=None):
    """Return an integer that every node keeps exact.

    Parameters
    ----------
    value : object
        Value; a float that is a whole number will do.
    what : str
        Name of the value.
    least : int or None
        Least integer that is allowed.
    """
    if type(value) is float and value.is_integer():
        value = int(value)
    return _check_range(_check_type(value, int, what), what, least)


def check_number(value, what, least=None):
    """Return a finite number as a float.

    Parameters
    ----------
    value : object
        Value.
    what : str
        Name of the value.
    least : float or None
        Least number that is allowed.
    """
    if type(value) is not float:
        _check_type(value, int, what)
    return float(_check_range(value, what, least))


def check_final_status(value, what):
    """Return the status of a final HTTP response as it is.

    Of any other response nothing may be believed. RFC 9110 lets a client
    treat some as errors of the server; which are, the server does not say.

    Parameters
    ----------
    value : object
        Value.
    what : str
        Name of the value.
    """
    if _check_type(value, int, what) not in FINAL_STATUSES:
        raise exceptions.MalformedValue(
            f'{what}: got {value}, expected 200 to 599'
        )
    return value


def check_address(value, what, may_be_name=False):
    """Return an address ``host:port``.

    Parameters
    ----------
    value : object
        Value.
    what : str
        Name of the value.
    may_be_name : bool
        Whether the host may be a name; otherwise it is an IP address.
    """
    host, _, port = check_name(value, what).rpartition(':')
    if not _PORT.fullmatch(port) or not 0 < int(port) < 1 << 16:
        raise exceptions.MalformedValue(f'{what}: no port')
    if not (may_be_name and _HOST_NAME.fullmatch(host)):
        _check_ip_address(host, what)
    return value


def _check_ip_address(host, what):
    """Check an IP address; one of version 6 stands in brackets."""
    is_bracketed = host.startswith('[') and host.endswith(']')
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        raise exceptions.MalformedValue(f'{what}: no IP address') from None
    if is_bracketed is not (address.version == 6):
        raise exceptions.MalformedValue(f'{what}: no IP address')


def _check_range(value, what, least):
    """Check that every node keeps a number exact."""
    lower = -_codec.MAX_EXACT_NUMBER if least is None else least
    if not lower <= value <= _codec.MAX_EXACT_NUMBER:
        raise exceptions.MalformedValue(f'{what}: out of range')
    return value


def _check_type(value, expected, what):
    """Check the type; True and False are no integers."""
    if not isinstance(value, expected) or isinstance(value, bool):
        raise exceptions.MalformedValue(
            f'{what}: got {type(value).__name__}, expected {expected.__name__}'
        )
    return value
