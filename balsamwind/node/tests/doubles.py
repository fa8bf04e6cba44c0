"""A clock that is set, and a log that tests can read."""

import logging


class Clock:
    """Boot time that tests set."""

    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        """Now (seconds)."""
        return self.now


class Log:
    """Passes events on to the standard library."""

    def __getattr__(self, name):
        return lambda event, **rows: logging.info('%s %s', event, rows)
