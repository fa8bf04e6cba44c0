"""Port to the backend servers of plain services."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceCall:
    """One call of a plain service.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with the query string.
    body : bytes
        Body of the request.
    content_type : str
        Media type of the body.
    idempotency_key : str
        Idempotency key of the caller; empty if there is none.
    request_id : str
        Id of the request.
    """

    method: str
    path: str
    body: bytes = b''
    content_type: str = 'application/json'
    idempotency_key: str = ''
    request_id: str = ''


class PlainService(typing.Protocol):
    """Client of the backend servers of plain services."""

    async def call(
        self,
        address,
        call,
        timeout,
        tls=False,
        late_answer_time=0.0,
        max_answer_size=None,
    ):
        """Send a call once, without retries.

        Parameters
        ----------
        address : str
            ``host:port`` of the backend server.
        call : ServiceCall
            Call to send.
        timeout : float
            Time-out for the connection and for the response (seconds).
        tls : bool
            Whether the connection uses TLS.
        late_answer_time : float
            Time added to `timeout` when waiting for the response (seconds).
        max_answer_size : int or None
            Largest body of the response (bytes); None if it is not limited.

        Returns
        -------
        balsamwind.objects.Answer

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The backend server reports that it did not run the call.
        balsamwind.exceptions.TransportError
            The connection failed. The attribute `sent` states whether any
            byte of the call may have been sent.
        balsamwind.exceptions.AnswerTooLarge
            The call was run, but its response is larger than
            `max_answer_size`.
        """
