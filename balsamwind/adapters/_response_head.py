"""What the head of a final HTTP response is."""

import enum
import re

from balsamwind import exceptions
from balsamwind import objects

MAX_LENGTH = 1 << 40
"""Longest body that a response may announce (bytes)."""

MAX_QUOTED_LENGTH = 100
"""Longest part of a malformed head that is quoted (characters)."""

_LENGTH = re.compile(r'0*([0-9]{1,13})')

_INTERIM_STATUSES = range(100, 200)

_SWITCHING_PROTOCOLS = 101
"""After it no HTTP follows; no request here asks for it."""

_NO_CONTENT = 204


class HeadDefect(enum.Enum):
    """What keeps a message from being a response.

    Attributes
    ----------
    STATUS
        Its status is none of a response.
    PROTOCOL
        It switches to another protocol, which no request has asked for.
    FRAMING
        What it says of the end of its body contradicts itself.
    SYNTAX
        The parser refuses the start line, a field or the start of the body.
    """

    STATUS = 'status'
    PROTOCOL = 'protocol'
    FRAMING = 'framing'
    SYNTAX = 'syntax'


class MalformedHead(exceptions.MalformedValue):
    """A server has sent something else than a response.

    Parameters
    ----------
    defect : HeadDefect
        What is wrong.
    message : str
        Description for the log.
    """

    def __init__(self, defect, message):
        super().__init__(message)
        self.defect = defect


def is_interim(status):
    """Tell whether a response comes before the final one.

    Parameters
    ----------
    status : int
        HTTP status code.

    Returns
    -------
    bool
    """
    return status in _INTERIM_STATUSES and status != _SWITCHING_PROTOCOLS


def check_head(status, headers):
    """Check that a head is that of a final response.

    The parser passes a head on before it looks at the framing of the body,
    and of the status it checks only the number of digits. Of a head that is
    malformed, no field may be believed.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tornado.httputil.HTTPHeaders
        Headers of the response.

    Raises
    ------
    MalformedHead
        It is not.

    References
    ----------
    RFC 9110, section 15; RFC 9112, section 6.3.
    """
    if status == _SWITCHING_PROTOCOLS:
        raise MalformedHead(
            HeadDefect.PROTOCOL, 'status 101 changes the protocol'
        )
    try:
        objects.check_final_status(status, 'status')
    except exceptions.MalformedValue as error:
        raise MalformedHead(HeadDefect.STATUS, error.message) from None
    coding = headers.get('Transfer-Encoding')
    length = headers.get('Content-Length')
    if coding is not None:
        _check_coding(coding, length)
    size = 0 if length is None else _check_length(length)
    if status == _NO_CONTENT and (coding is not None or size):
        raise _make_framing_error('status 204', coding or length)


def _check_coding(coding, length):
    if coding.lower() != 'chunked':
        raise _make_framing_error('Transfer-Encoding', coding)
    if length is not None:
        raise _make_framing_error('chunked, with Content-Length', length)


def _check_length(text):
    """Return a length (bytes), which may stand there several times."""
    values = set(re.split(r',[ \t]*', text))
    match = _LENGTH.fullmatch(values.pop())
    if values or match is None or int(match[1]) > MAX_LENGTH:
        raise _make_framing_error('Content-Length', text)
    return int(match[1])


def _make_framing_error(what, text):
    return MalformedHead(
        HeadDefect.FRAMING, f'{what}: got {text!r:.{MAX_QUOTED_LENGTH}}'
    )
