"""Buffering of server-sent events up to event boundaries."""

import re

from balsamwind import exceptions

MAX_EVENT_SIZE = 1 << 20
"""Largest event that is held back until it is complete (bytes)."""

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_MAX_EVENT_END_SIZE = 4
"""Length of the longest event end (bytes)."""

_EVENT_ID = re.compile(rb'^id: ?(\d{1,18})\s*$', re.MULTILINE)

_COMMENT = re.compile(rb'(:[^\r\n]*(\r?\n|$))*')


class EventStreamBuffer:
    """Releases complete events and holds back a partial one.

    A stream that is cut within an event can then be resumed at another
    backend after the last complete event. What follows must show that it
    continues the stream: each event has an id after the last one. Anything
    else, as the text of an error, is not released.

    Parameters
    ----------
    last_event_id : int
        Id of the last event that was released; -1 if none.
    """

    __slots__ = (
        '_ends_with_id',
        '_has_confirmed_end',
        '_has_events',
        '_has_next_event',
        '_is_resumed',
        '_partial',
        'last_event_id',
    )

    def __init__(self, last_event_id=-1):
        self.last_event_id = last_event_id
        self._ends_with_id = True
        self._has_events = False
        self._is_resumed = False
        self._partial = b''
        self._has_next_event = False
        self._has_confirmed_end = False

    @property
    def may_be_resumed(self):
        """Whether the last event that was released has an id."""
        return self._ends_with_id

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
            An event of a resumed stream does not continue it, or an event is
            too large; nothing is released.
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
        complete = data[:end]
        if complete:
            self._take_ids(complete)
            self._has_events = True
        self._partial = data[end:]
        return complete

    def _take_ids(self, complete):
        """Note the ids of events, if all of them may be released."""
        last_id, ends_with_id = self.last_event_id, self._ends_with_id
        for event in _EVENT_END.split(complete):
            if _COMMENT.fullmatch(event):
                continue
            found = _EVENT_ID.search(event)
            event_id = int(found[1]) if found else None
            if self._is_resumed:
                _check_order(event_id, last_id)
            ends_with_id = found is not None
            if ends_with_id:
                last_id = event_id
        self.last_event_id, self._ends_with_id = last_id, ends_with_id

    def start_attempt(self):
        """Begin the stream of the next attempt.

        A partial event is discarded, because the attempt sends it as a whole.
        """
        if self.unfinished_bytes:
            self._has_next_event = True
        elif self._has_events:
            self._has_next_event = False
        self._partial = b''
        self._has_events = False
        self._is_resumed = self.last_event_id >= 0

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
        balsamwind.exceptions.EmptyContinuation
            A resumed stream ends without an event, and nothing but that shows
            that there are none left.
        """
        if self.unfinished_bytes:
            raise exceptions.BadAnswer('the stream ended within an event')
        if not has_marked_end and not self._has_events:
            raise exceptions.BadAnswer(
                'the connection ended before the first event of the stream'
            )
        if self._is_resumed and not self._has_events:
            self._check_empty_end()
        rest, self._partial = self._partial, b''
        return rest

    def _check_empty_end(self):
        """Believe two attempts that there is no further event, but not one.

        A stream mostly breaks off in the middle; between two events that
        looks like a break after the last one.
        """
        if self._has_next_event:
            raise exceptions.EmptyContinuation(
                'the resumed stream is empty, but an event had begun'
            )
        if not self._has_confirmed_end:
            self._has_confirmed_end = True
            raise exceptions.EmptyContinuation('the resumed stream is empty')


def _check_order(event_id, last_id):
    if event_id is None:
        raise exceptions.BadAnswer('an event of a resumed stream has no id')
    if event_id <= last_id:
        raise exceptions.BadAnswer(
            f'a resumed stream has event {event_id} after event {last_id}'
        )
