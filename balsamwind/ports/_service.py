"""Port of a plain service."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceCall:
    """One call of a plain service.

    Parameters
    ----------
    method, path : str
        HTTP method, and path with query.
    body : bytes
        Request body.
    content_type : str
        Media type of the body.
    idempotency_key : str
        The caller's key; empty if none.
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
    """Backend servers of plain services, each reached by its address."""

    async def call(
        self, address, call, timeout, tls=False, late=0.0, limit=None
    ):
        """Send once.

        Parameters
        ----------
        address : str
            ``host:port`` of the backend server.
        call : ServiceCall
            What to send.
        timeout : float
            Time-out for connecting and for the answer (seconds).
        tls : bool
            Whether the backend server speaks TLS.
        late : float
            How much longer to wait for the answer (seconds).
        limit : int or None
            Largest answer (bytes).

        Returns
        -------
        balsamwind.objects.Answer

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The backend server says that it did not run the call.
        balsamwind.exceptions.TransportError
            `sent` says whether a byte may have left.
        balsamwind.exceptions.AnswerTooLarge
            The call was run; its answer is over `limit`.
        """
