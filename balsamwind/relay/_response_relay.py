"""The response to one caller, from the responses of one or more attempts."""

from balsamwind.relay import _event_stream
from balsamwind.relay import _header_filter
from balsamwind import traffic

MAX_BUFFERED_BYTES = 1 << 18
"""Size up to which a response body is held back until it is complete, so that
the request can still be retried if the body is cut (bytes)."""

EVENT_STREAM_TYPE = 'text/event-stream'
"""Media type of event streams; a stream route may also answer without one."""


class ResponseRelay:
    """Writes responses of backend servers to the caller.

    Parameters
    ----------
    responder : balsamwind.adapters.Responder
        Writes the response to the caller.
    route : balsamwind.traffic.Route
        Route that matches the request.

    Attributes
    ----------
    started : bool
        Whether the caller has got the head of the response.
    events : EventStream
        Events of a stream, over all attempts.
    """

    __slots__ = (
        '_responder',
        '_route',
        '_stream_media_type',
        'events',
        'started',
    )

    def __init__(self, responder, route):
        self._responder = responder
        self._route = route
        self._stream_media_type = None
        self.started = False
        self.events = _event_stream.EventStream()

    @property
    def may_be_continued(self):
        """Whether another attempt can still complete the response.

        Once the response has started, only an event stream can be continued,
        after an event with an id.
        """
        return not self.started or (
            self._stream_media_type is not None and self.events.may_be_resumed
        )

    def is_event_stream(self, response):
        """Tell whether a response is a stream of events.

        Parameters
        ----------
        response : balsamwind.adapters.HttpResponse
            Response of a backend server.

        Returns
        -------
        bool
        """
        return (
            self._route.kind is traffic.RequestKind.STREAM
            and response.status == 200
            and _get_media_type(response.headers) in ('', EVENT_STREAM_TYPE)
        )

    def can_follow(self, response):
        """Tell whether a response can follow what was relayed so far.

        Any other body would end the response to the caller as if it were
        complete.

        Parameters
        ----------
        response : balsamwind.adapters.HttpResponse
            Response of a backend server.

        Returns
        -------
        bool
        """
        return not self.started or (
            response.status == 200
            and _get_media_type(response.headers) == self._stream_media_type
        )

    async def write_events(self, response, data):
        """Write whole events to the caller.

        Parameters
        ----------
        response : balsamwind.adapters.HttpResponse
            Response whose events they are.
        data : bytes
            The events.
        """
        self._start_event_stream(response)
        await self._responder.write(data)

    async def finish_events(self, response, rest):
        """End the caller's response with the end of a stream.

        Parameters
        ----------
        response : balsamwind.adapters.HttpResponse
            Response that has ended.
        rest : bytes
            What is left after the last event.
        """
        self._start_event_stream(response)
        if rest:
            await self._responder.write(rest)
        self._responder.finish()

    async def relay_body(self, response, find_timeout, before_write):
        """Relay a response that is no stream of events.

        Parameters
        ----------
        response : balsamwind.adapters.HttpResponse
            Response of a backend server.
        find_timeout : callable
            Returns the longest wait for more of the body (seconds).
        before_write : callable
            Called without arguments before the caller gets anything.
        """
        chunks = []
        size = 0
        while chunk := await response.read(find_timeout()):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                before_write()
                self._start(response, with_content_length=True)
                await self._responder.write(b''.join(chunks))
                chunks.clear()
        before_write()
        self._start(response, with_content_length=True)
        if chunks:
            await self._responder.write(b''.join(chunks))
        self._responder.finish()

    def _start_event_stream(self, response):
        if not self.started:
            self._stream_media_type = _get_media_type(response.headers)
        self._start(response, with_content_length=False)

    def _start(self, response, with_content_length):
        if self.started:
            return
        headers = _header_filter.filter_response_headers(
            response.headers, with_content_length
        )
        self._responder.start(response.status, headers)
        self.started = True


def _get_media_type(headers):
    """Return the media type of a body, without parameters."""
    return headers.get('Content-Type', '').partition(';')[0].strip().lower()
