"""Selection of the replay function for a trace by the kind in its header."""

from balsamwind import exceptions
from balsamwind.replay import _control
from balsamwind.replay import _requests
from balsamwind.replay import _trace
from balsamwind.settings import Finding

REPLAY_FUNCTIONS = {
    'control': _control.replay_control,
    'requests': _requests.replay_requests,
}
"""Kind of trace -> function that replays its lines and returns findings."""


def replay_file(path):
    """Replay one trace file.

    Parameters
    ----------
    path : str or pathlib.Path
        Trace file.

    Returns
    -------
    list of balsamwind.settings.Finding
        Expected outcomes that were not met, and violated invariants.

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        The trace is malformed, or its kind is unknown.
    """
    lines = _trace.load_trace_lines(path)
    kind = lines[0].data['trace']
    if kind not in REPLAY_FUNCTIONS:
        allowed = ', '.join(sorted(REPLAY_FUNCTIONS))
        raise exceptions.InvalidInput(
            [Finding(lines[0].place, '/trace', kind, allowed)]
        )
    return REPLAY_FUNCTIONS[kind](lines)
