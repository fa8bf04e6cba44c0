"""Reader of JSON that holds entries of several programs.

An entry that the parser of the standard library refuses must not cost the
others of the same page: it is nested too deeply for the stack, holds an
integer of thousands of digits, or bytes that are no text.
"""

import json
import re

MAX_DEPTH = 64
"""Levels of nesting that are kept when a page is read again (count)."""

MAX_DIGITS = 20
"""Digits of an integer that is kept when a page is read again (count)."""


class _Unreadable:
    """Type of `UNREADABLE`."""

    __slots__ = ()

    def __repr__(self):
        return 'UNREADABLE'


UNREADABLE = _Unreadable()
"""Stands for a value that can't be read; it has a type of its own."""

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
"""A string, or a character that begins or ends a level of nesting."""

_PLACEHOLDER = 'NaN'
"""Constant that is put in place of a value that is nested too deeply."""


def parse_json(body):
    """Parse JSON, in which single values may be unreadable.

    Parameters
    ----------
    body : bytes
        JSON in UTF-8.

    Returns
    -------
    object
        Parsed value. If it can't be parsed as a whole, `UNREADABLE` stands
        for values below `MAX_DEPTH`, integers of more than `MAX_DIGITS`, and
        numbers that are not finite; strings that are no Unicode text hold
        lone surrogates.

    Raises
    ------
    ValueError
        It is not JSON.
    """
    try:
        return json.loads(body)
    except (RecursionError, ValueError):
        text = body.decode('utf-8', 'surrogateescape')
    return json.loads(
        _cut_levels(text),
        parse_int=_parse_integer,
        parse_constant=lambda constant: UNREADABLE,
        strict=False,
    )


def _parse_integer(digits):
    return UNREADABLE if len(digits) > MAX_DIGITS else int(digits)


def _cut_levels(text):
    """Replace each value that is nested more than `MAX_DEPTH` levels deep."""
    kept = []
    kept_to = 0
    depth = 0
    for token in _TOKEN.finditer(text):
        match token[0]:
            case '[' | '{':
                depth += 1
                if depth == MAX_DEPTH + 1:
                    kept += [text[kept_to : token.start()], _PLACEHOLDER]
            case ']' | '}':
                if depth == MAX_DEPTH + 1:
                    kept_to = token.end()
                depth -= 1
    return ''.join([*kept, text[kept_to:]])
