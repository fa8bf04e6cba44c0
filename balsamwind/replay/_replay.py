"""Dispatch of a trace by the kind that its header names."""

from balsamwind import exceptions
from balsamwind.replay import _control
from balsamwind.replay import _requests
from balsamwind.replay import _trace
from balsamwind.settings import Finding

REPLAYS = {
    'control': _control.replay_control,
    'requests': _requests.replay_requests,
}
"""Kind of trace -> what replays its lines and returns findings."""


def replay_file(path):
    """Replay one trace.

    Returns
    -------
    list of balsamwind.settings.Finding
        Outcomes that were not met.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The trace is malformed.
    """
    lines = _trace.load_lines(path)
    kind = lines[0].data['trace']
    if kind not in REPLAYS:
        allowed = ', '.join(sorted(REPLAYS))
        raise exceptions.InvalidInput(
            [Finding(lines[0].place, '/trace', kind, allowed)]
        )
    return REPLAYS[kind](lines)
