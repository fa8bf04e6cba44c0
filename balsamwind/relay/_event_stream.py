"""Buffering of server-sent events up to event boundaries."""

import re

from balsamwind import exceptions

MAX_EVENT_SIZE = 1 << 20
"""Largest event that is held back until it is complete (bytes)."""

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_MAX_EVENT_END_SIZE = 4
"""Length of the longest event end (bytes)."""

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

    __slots__ = ('_has_events', '_is_resuming', '_partial', 'last_event_id')

    def __init__(self, last_event_id=-1):
        self.last_event_id = last_event_id
        self._has_events = False
        self._is_resuming = False
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

        Raises
        ------
        balsamwind.exceptions.BadAnswer
            The first event of a resumed stream does not come after the last
            event that was released, or an event is too large.
        """
        # An event end may begin in the last bytes that came before.
        searched = max(0, len(self._partial) - _MAX_EVENT_END_SIZE + 1)
        data = self._partial + data
        end = 0
        for match in _EVENT_END.finditer(data, searched):
            end = match.end()
        if len(data) - end > MAX_EVENT_SIZE:
            raise exceptions.BadAnswer(
                f'an event is larger than {MAX_EVENT_SIZE} bytes'
            )
        complete, self._partial = data[:end], data[end:]
        if complete:
            self._has_events = True
            ids = _EVENT_ID.findall(complete)
            if ids:
                self._check_order(int(ids[0]))
                self.last_event_id = int(ids[-1])
        return complete

    def _check_order(self, first_event_id):
        if self._is_resuming and first_event_id <= self.last_event_id:
            raise exceptions.BadAnswer(
                f'the resumed stream begins with event {first_event_id},'
                f' expected one after {self.last_event_id}'
            )
        self._is_resuming = False

    def start_attempt(self):
        """Begin the stream of the next attempt.

        A partial event is discarded, because the attempt sends it as a whole.
        """
        self._partial = b''
        self._has_events = False
        self._is_resuming = self.last_event_id >= 0

    @property
    def unfinished_bytes(self):
        """Bytes of an event that has begun and not ended (count)."""
        return len(self._partial.strip(b'\r\n'))

    def finish(self, has_marked_end):
        """Check that the stream is complete, and release what is left.

        Parameters
        ----------
        has_marked_end : bool
            Whether the body marks its end by a length or by a last chunk, and
            not only by the end of its connection.

        Returns
        -------
        bytes
            Line ends after the last complete event; empty if there are none.

        Raises
        ------
        balsamwind.exceptions.BadAnswer
            The stream was broken off: it ends within an event, or its
            connection ended before the first event.
        """
        if self.unfinished_bytes:
            raise exceptions.BadAnswer('the stream ended within an event')
        if not has_marked_end and not self._has_events:
            raise exceptions.BadAnswer(
                'the connection ended before the first event of the stream'
            )
        rest, self._partial = self._partial, b''
        return rest
