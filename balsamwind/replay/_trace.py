"""Parser of trace files: JSON lines with a header, events and outcomes."""

import dataclasses
import json
import pathlib

from balsamwind import exceptions
from balsamwind import objects
from balsamwind.settings import Finding


@dataclasses.dataclass(slots=True, frozen=True)
class TraceLine:
    """One line of a trace.

    Parameters
    ----------
    place : str
        Source location, ``file:line``.
    data : dict
        Parsed JSON object of the line.
    """

    place: str
    data: dict


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """Event or expected outcome at a virtual time.

    Parameters
    ----------
    place : str
        Source location, ``file:line``.
    at : float
        Virtual time since the start of the replay (seconds).
    payload : object
        Instance of the event's data class or of the outcome's.
    """

    place: str
    at: float
    payload: object


def load_trace_lines(path):
    """Read the lines of a trace file.

    Parameters
    ----------
    path : str or pathlib.Path
        Trace file. Empty lines are skipped.

    Returns
    -------
    list of TraceLine
        The header first.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The file can't be read, its first line is no header, or lines are no
        JSON objects (one finding each).
    """
    lines = []
    findings = []
    try:
        text_lines = (
            pathlib.Path(path).read_text(encoding='utf-8').splitlines()
        )
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.InvalidInput(
            [Finding(str(path), '', str(error), 'a readable text file')]
        ) from None
    for line_number, text_line in enumerate(text_lines, 1):
        if not text_line.strip():
            continue
        place = f'{path}:{line_number}'
        try:
            data = json.loads(text_line)
        except ValueError as error:
            findings.append(Finding(place, '', str(error), 'JSON'))
            continue
        if isinstance(data, dict):
            lines.append(TraceLine(place, data))
        else:
            findings.append(Finding(place, '', data, 'a JSON object'))
    if not findings and (not lines or 'trace' not in lines[0].data):
        place = lines[0].place if lines else str(path)
        findings.append(Finding(place, '/trace', None, 'a header line'))
    if findings:
        raise exceptions.InvalidInput(findings)
    return lines


def build_steps(lines, event_classes, outcome_class):
    """Validate the lines after the header and convert them to steps.

    Parameters
    ----------
    lines : list of TraceLine
        Lines after the header, in the order of their times.
    event_classes : dict of str to type
        Event name -> data class of the event.
    outcome_class : type
        Data class of an expected outcome.

    Returns
    -------
    list of Step

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        Lines are malformed or not in the order of time (one finding each).
    """
    steps = []
    findings = []
    latest_at = 0.0
    for line in lines:
        try:
            step = _build_step(line, event_classes, outcome_class)
        except (TypeError, ValueError, KeyError) as error:
            findings.append(Finding(line.place, '', line.data, str(error)))
            continue
        if step.at < latest_at:
            findings.append(
                Finding(line.place, '/at', step.at, f'at least {latest_at}')
            )
        latest_at = max(latest_at, step.at)
        steps.append(step)
    if findings:
        raise exceptions.InvalidInput(findings)
    return steps


def _build_step(line, event_classes, outcome_class):
    data = dict(line.data)
    at = data.pop('at', None)
    if isinstance(at, bool) or not isinstance(at, int | float) or at < 0:
        raise ValueError('"at" as a number of seconds, 0 or more')
    if 'expect' in data:
        payload_class, fields = outcome_class, data['expect']
        if len(data) > 1:
            raise ValueError('only the keys "at" and "expect"')
    else:
        name = data.pop('event', None)
        if name not in event_classes:
            raise ValueError(
                '"event" one of ' + ', '.join(sorted(event_classes))
            )
        payload_class, fields = event_classes[name], data
    known_fields = [field.name for field in dataclasses.fields(payload_class)]
    if not isinstance(fields, dict) or set(fields) - set(known_fields):
        raise ValueError('only the keys ' + ', '.join(known_fields))
    return Step(line.place, float(at), objects.decode(payload_class, fields))
