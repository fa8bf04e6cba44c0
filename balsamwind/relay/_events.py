"""Whole events of a stream."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'^id: ?(\d+)', re.MULTILINE)


class EventSplitter:
    """Passes whole events on and keeps the rest back.

    A stream that breaks off inside an event can then go on elsewhere after
    the last whole one.

    Parameters
    ----------
    last_event : int
        Id of the last event that the caller has; -1 for none.
    """

    __slots__ = ('_rest', 'last_event')

    def __init__(self, last_event=-1):
        self.last_event = last_event
        self._rest = b''

    def feed(self, data):
        """Whole events that are complete with `data`, as they came."""
        data = self._rest + data
        end = 0
        for found in _END.finditer(data):
            end = found.end()
        whole, self._rest = data[:end], data[end:]
        if whole:
            ids = _ID.findall(whole)
            if ids:
                self.last_event = int(ids[-1])
        return whole

    def restart(self):
        """Drop the part of an event that was cut off."""
        self._rest = b''

    def finish(self):
        """What is left at the proper end of the stream."""
        rest, self._rest = self._rest, b''
        return rest
