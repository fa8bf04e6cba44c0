"""Reading of traces: JSON lines with a header, events and outcomes."""

import dataclasses
import json
import pathlib

from balsamwind import exceptions
from balsamwind import objects
from balsamwind.settings import Finding


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """One JSON line.

    Parameters
    ----------
    place : str
        ``file:line``.
    data : dict
        What stands there.
    """

    place: str
    data: dict


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """An event or a stated outcome, at its time.

    Parameters
    ----------
    place : str
        ``file:line``.
    at : float
        Time since the start (seconds).
    what : object
        Data class of the step.
    """

    place: str
    at: float
    what: object


def load_lines(path):
    """Read a trace.

    Returns
    -------
    list of Line
        The header first.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        With a finding for each line that is no JSON object.
    """
    lines = []
    findings = []
    try:
        texts = pathlib.Path(path).read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.InvalidInput(
            [Finding(str(path), '', str(error), 'a readable text file')]
        ) from None
    for number, text in enumerate(texts, 1):
        if not text.strip():
            continue
        place = f'{path}:{number}'
        try:
            data = json.loads(text)
        except ValueError as error:
            findings.append(Finding(place, '', str(error), 'JSON'))
            continue
        if isinstance(data, dict):
            lines.append(Line(place, data))
        else:
            findings.append(Finding(place, '', data, 'a JSON object'))
    if not findings and (not lines or 'trace' not in lines[0].data):
        place = lines[0].place if lines else str(path)
        findings.append(Finding(place, '/trace', None, 'a header line'))
    if findings:
        raise exceptions.InvalidInput(findings)
    return lines


def check_steps(lines, events, expect):
    """Build the steps of all lines after the header.

    Parameters
    ----------
    lines : list of Line
        Lines after the header.
    events : dict of str to type
        Event -> data class.
    expect : type
        Data class of a stated outcome.

    Returns
    -------
    list of Step

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        With all findings.
    """
    steps = []
    findings = []
    latest = 0.0
    for line in lines:
        try:
            step = _check_step(line, events, expect)
        except (TypeError, ValueError, KeyError) as error:
            findings.append(Finding(line.place, '', line.data, str(error)))
            continue
        if step.at < latest:
            findings.append(
                Finding(line.place, '/at', step.at, f'at least {latest}')
            )
        latest = max(latest, step.at)
        steps.append(step)
    if findings:
        raise exceptions.InvalidInput(findings)
    return steps


def _check_step(line, events, expect):
    data = dict(line.data)
    at = data.pop('at', None)
    if isinstance(at, bool) or not isinstance(at, int | float) or at < 0:
        raise ValueError('"at" in seconds, 0 or more')
    if 'expect' in data:
        cls, fields = expect, data['expect']
        if len(data) > 1:
            raise ValueError('"at" and "expect" alone')
    else:
        name = data.pop('event', None)
        if name not in events:
            raise ValueError('"event" one of ' + ', '.join(sorted(events)))
        cls, fields = events[name], data
    known = [field.name for field in dataclasses.fields(cls)]
    if not isinstance(fields, dict) or set(fields) - set(known):
        raise ValueError('only the keys ' + ', '.join(known))
    return Step(line.place, float(at), objects.decode(cls, fields))
