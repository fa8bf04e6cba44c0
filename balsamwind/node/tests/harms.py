"""What callers suffer from the answers of a server, also behind a node."""

import asyncio
import dataclasses

from balsamwind import exceptions
from balsamwind.node.tests import carrying
from balsamwind.relay.tests import forwarding
from balsamwind import traffic
from standins import raw_server

BODY = b''.join(map(forwarding.make_event, range(3)))
ID = b'X-Balsamwind-Request-Id: r1\r\n'
FIELDS = (
    ID + b'Content-Type: text/event-stream\r\n' + forwarding.STAMP.encode()
)
WHOLE = b'HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s' % (
    FIELDS,
    len(BODY),
    BODY,
)

STREAM = forwarding.make_route(2)
ROUTES = {
    'stream': STREAM,
    'stream that may run once': dataclasses.replace(STREAM, resumable=False),
    'idempotent': dataclasses.replace(
        STREAM, kind=traffic.RequestKind.IDEMPOTENT
    ),
    'not idempotent': dataclasses.replace(
        STREAM, kind=traffic.RequestKind.NON_IDEMPOTENT
    ),
}
REPEATABLE = [name for name, route in ROUTES.items() if route.repeatable]

MAX_CONCURRENT_REQUESTS = 4
"""Requests at the same time, few enough for the timeouts between nodes
(count)."""


async def find_harm(answers, ending, through_peer, route):
    """Describe the harm that a request comes to; empty if none."""
    server = raw_server.RawServer(answers, ending)
    async with server.listen():
        addresses = [server.address] * 3
        async with carrying.open_relay(addresses, through_peer) as own:
            responder = forwarding.Responder()
            error = await forwarding.send_one(own, responder, route=route)
            if through_peer and own.client.opened_connections:
                return 'was not sent through the other node'
    return _describe_harm(server, responder, error, route)


def _describe_harm(server, responder, error, route):
    if not server.requests:
        return 'was not sent'
    if server.requests > (2 if route.repeatable else 1):
        return f'was sent {server.requests} times'
    if error is not None:
        if error.run == exceptions.NOT_RUN:
            return 'is said not to have run'
        return '' if error.status == 502 else f'gets {error.status}'
    is_whole = responder.complete and responder.body == BODY
    return '' if is_whole and responder.status == 200 else 'is not whole'


async def find_harms(answers, routes, ending, through_peer):
    """Describe the harm of answers on each route, some at the same time."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    harms = {}

    async def play(name, route):
        async with limit:
            harm = await find_harm(
                answers[name], ending, through_peer, ROUTES[route]
            )
        if harm:
            harms[name, route] = harm

    async with asyncio.TaskGroup() as tasks:
        for name in answers:
            for route in routes:
                tasks.create_task(play(name, route))
    return harms
