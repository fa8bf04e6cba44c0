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


class EventStream:
    """Events that a caller has got of one stream, over all attempts.

    Attributes
    ----------
    last_event_id : int
        Id of the last event that was released; -1 if none.
    may_be_resumed : bool
        Whether the last event that was released has an id.
    """

    __slots__ = (
        '_confirmed_end',
        '_next_event_after',
        'last_event_id',
        'may_be_resumed',
    )

    def __init__(self):
        self.last_event_id = -1
        self.may_be_resumed = True
        self._next_event_after = None
        self._confirmed_end = None

    def open_attempt(self):
        """Return the `EventStreamBuffer` of an attempt that begins now."""
        return EventStreamBuffer(self)

    def note_next_event(self):
        """Note that an event after the last one has begun."""
        self._next_event_after = self.last_event_id

    def confirm_end(self):
        """Believe two attempts that there is no further event, but not one.

        A stream mostly breaks off in the middle; between two events that
        looks like a break after the last one.

        Raises
        ------
        balsamwind.exceptions.EmptyContinuation
            Nothing but one attempt shows that there is none, or an event had
            begun.
        """
        if self._next_event_after == self.last_event_id:
            raise exceptions.EmptyContinuation(
                'the resumed stream is empty, but an event had begun'
            )
        if self._confirmed_end != self.last_event_id:
            self._confirmed_end = self.last_event_id
            raise exceptions.EmptyContinuation('the resumed stream is empty')


class EventStreamBuffer:
    """Releases the complete events of an attempt, holds back a partial one.

    A stream that is cut within an event can then be resumed at another
    backend after the last complete event. What follows must show that it
    continues the stream: each event has an id after the last one. Anything
    else, as the text of an error, is not released.

    Parameters
    ----------
    stream : EventStream
        What was released over all attempts.

    Attributes
    ----------
    has_new_events : bool
        Whether the last bytes completed an event, and not only comments.
    """

    __slots__ = (
        '_has_events',
        '_is_resumed',
        '_partial',
        '_stream',
        'has_new_events',
    )

    def __init__(self, stream):
        self._stream = stream
        self._has_events = False
        self._is_resumed = stream.last_event_id >= 0
        self._partial = b''
        self.has_new_events = False

    @property
    def unfinished_bytes(self):
        """Bytes of an event that has begun and not ended (count)."""
        return len(self._partial.strip(b'\r\n'))

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
        self.has_new_events = False
        if complete:
            self._take_ids(complete)
        self._partial = data[end:]
        if self.unfinished_bytes:
            self._stream.note_next_event()
        return complete

    def _take_ids(self, complete):
        """Note the ids of events, if all of them may be released."""
        stream = self._stream
        last_id, ends_with_id = stream.last_event_id, stream.may_be_resumed
        has_events = False
        for event in _EVENT_END.split(complete):
            if _COMMENT.fullmatch(event):
                continue
            has_events = True
            found = _EVENT_ID.search(event)
            event_id = int(found[1]) if found else None
            if self._is_resumed:
                _check_order(event_id, last_id)
            ends_with_id = found is not None
            if ends_with_id:
                last_id = event_id
        stream.last_event_id, stream.may_be_resumed = last_id, ends_with_id
        self.has_new_events = has_events
        self._has_events = self._has_events or has_events

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
            self._stream.confirm_end()
        rest, self._partial = self._partial, b''
        return rest


def _check_order(event_id, last_id):
    if event_id is None:
        raise exceptions.BadAnswer('an event of a resumed stream has no id')
    if event_id <= last_id:
        raise exceptions.BadAnswer(
            f'a resumed stream has event {event_id} after event {last_id}'
        )
