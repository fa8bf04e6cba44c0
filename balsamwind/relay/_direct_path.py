"""Attempts that this node itself sends to a backend server."""

from balsamwind import exceptions
from balsamwind.relay import _metadata

CONNECT_TIMEOUT = 0.35
"""Longest wait for a connection to a backend server (seconds)."""

READ_MARGIN = 1.0
"""Time after the deadline of a request up to which its answer is read
(seconds)."""


async def open_directly(
    relay, backend, attempt, before_send, connect_timeout=CONNECT_TIMEOUT
):
    """Send an attempt to its backend, and wait for the head of the answer.

    What the attempt shows of the path to the server is recorded.

    Parameters
    ----------
    relay : Relay
        Request path of this node.
    backend : Backend
        Backend that the attempt is sent to.
    attempt : OutgoingAttempt
        The attempt.
    before_send : callable
        Called without arguments immediately before the attempt is sent. If
        it raises, nothing is sent.
    connect_timeout : float
        Longest wait for a connection (seconds).

    Returns
    -------
    balsamwind.adapters.StreamedResponse

    Raises
    ------
    balsamwind.exceptions.TransportError
        The attempt failed.
    """
    service = attempt.backend.service
    server_id = backend.record.server_id
    clock = relay.clock
    deadline = clock.monotonic() + attempt.time_left

    def is_own_response(headers):
        request_id = relay.header_codec.decode_response(headers).request_id
        return request_id == attempt.request_id if request_id else None

    def check_before_send():
        # This node may have been paused while it waited for a connection.
        if clock.monotonic() > deadline:
            raise exceptions.DeadlinePassed(
                'the deadline passed before the request was sent'
            )
        before_send()

    added = _metadata.ForwardedMetadata(
        server_id=server_id,
        time_budget=max(attempt.time_left, 0.001),
        account=attempt.account,
        priority=attempt.priority,
        last_event_id=attempt.last_event_id,
    )
    try:
        response = await relay.client.open(
            attempt.method,
            f'http://{backend.record.address}{attempt.target}',
            headers=[
                *attempt.headers,
                *relay.header_codec.encode_request(added),
            ],
            body=attempt.body,
            timeout=max(deadline - clock.monotonic(), 0.0) + READ_MARGIN,
            connect_timeout=connect_timeout,
            # Without an id, only the first answer is surely the own one.
            new_connection=not attempt.request_id,
            is_own_response=is_own_response,
            before_send=check_before_send,
            request_tag=attempt.request_id,
        )
    except exceptions.SendPrevented:
        raise
    except exceptions.TransportError as error:
        record_failure(relay, backend, error)
        raise
    relay.paths.record_heard(service, clock.monotonic())
    return response


def record_failure(relay, backend, error):
    """Record what a failure of the own path shows of it.

    Parameters
    ----------
    relay : Relay
        Request path of this node.
    backend : Backend
        Backend that the attempt was sent to.
    error : balsamwind.exceptions.TransportError
        The failure.
    """
    service = backend.key[0]
    server_id = backend.record.server_id
    now = relay.clock.monotonic()
    match error:
        case exceptions.AnswerTimeout() | exceptions.BadAnswer():
            return
        case exceptions.TransportError(sent=False):
            relay.paths.record_unreachable(service, server_id, now)
        case _:
            relay.paths.record_broken(service, server_id, now)
