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

    async def call(self, address, call, timeout, tls=False):
        """Send once.

        Returns
        -------
        balsamwind.objects.Answer

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The backend server says that it did not run the call.
        balsamwind.exceptions.TransportError
            `sent` says whether a byte may have left.
        """
