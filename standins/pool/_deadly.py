"""How servers end under what is deadly to them."""

import dataclasses
import random

UNSIGNED_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n'
"""Head of an answer without a signature, which a node ends itself."""


@dataclasses.dataclass(slots=True)
class DeadlyEnding:
    """Times from the head of an answer to the end of its engine.

    Parameters
    ----------
    event_time : (float, float)
        Shortest and longest time in which events are sent (seconds). An
        answer that is whole by then is completed.
    silence : (float, float)
        Shortest and longest silence that follows (seconds). The engine ends
        after it, whether or not the connection is still open.
    random_state : int or None
        Seed of the times.
    """

    event_time: tuple[float, float] = (0.0, 0.0)
    silence: tuple[float, float] = (0.01, 0.01)
    random_state: dataclasses.InitVar[int | None] = None
    _rng: random.Random = dataclasses.field(init=False)

    def __post_init__(self, random_state):
        self._rng = random.Random(random_state)

    def draw_event_time(self):
        """Draw how long events are sent (seconds)."""
        return self._rng.uniform(*self.event_time)

    def draw_silence(self):
        """Draw the silence after them (seconds)."""
        return self._rng.uniform(*self.silence)


@dataclasses.dataclass(slots=True)
class DeadlyRun:
    """How a plain server ends that runs a deadly request.

    Parameters
    ----------
    work_time : (float, float)
        Shortest and longest time for which it runs the request (seconds).
    head : bytes
        What it sends of an answer before it ends.
    pause : (float, float)
        Shortest and longest time from there to the end (seconds). The server
        ends after it, whether or not the connection is still open.
    random_state : int or None
        Seed of the times.
    """

    work_time: tuple[float, float] = (0.02, 0.02)
    head: bytes = b''
    pause: tuple[float, float] = (0.0, 0.0)
    random_state: dataclasses.InitVar[int | None] = None
    _rng: random.Random = dataclasses.field(init=False)

    def __post_init__(self, random_state):
        self._rng = random.Random(random_state)

    def draw_work_time(self):
        """Draw how long the request runs (seconds)."""
        return self._rng.uniform(*self.work_time)

    def draw_pause(self):
        """Draw the time to the end of the server (seconds)."""
        return self._rng.uniform(*self.pause)
