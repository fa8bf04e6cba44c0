"""Buffering of server-sent events up to event boundaries."""

import re

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'^id: ?(\d+)', re.MULTILINE)


class EventStreamBuffer:
    """Releases complete events and holds back a partial one.

    A stream that is cut within an event can then be resumed at another
    backend after the last complete event.

    Parameters
    ----------
    last_event_id : int
        Id of the last event that was released; -1 if none.
    """

    __slots__ = ('_partial', 'last_event_id')

    def __init__(self, last_event_id=-1):
        self.last_event_id = last_event_id
        self._partial = b''

    def feed(self, data):
        """Add received bytes and release the complete events.

        Parameters
        ----------
        data : bytes
            Next bytes of the stream.

        Returns
        -------
        bytes
            Events that are now complete, unchanged; empty if there are none.
        """
        data = self._partial + data
        end = 0
        for match in _EVENT_END.finditer(data):
            end = match.end()
        complete, self._partial = data[:end], data[end:]
        if complete:
            ids = _EVENT_ID.findall(complete)
            if ids:
                self.last_event_id = int(ids[-1])
        return complete

    def discard_partial(self):
        """Discard a partial event; the next attempt sends it as a whole."""
        self._partial = b''

    def finish(self):
        """Release what is left after the regular end of the stream.

        Returns
        -------
        bytes
            Bytes after the last complete event; empty if there are none.
        """
        partial, self._partial = self._partial, b''
        return partial
