"""Heads into which a server in trouble has put bytes at random."""

import asyncio
import re

import hypothesis
from hypothesis import strategies

from balsamwind import exceptions
from balsamwind.node.tests import carrying
from balsamwind.node.tests import harms
from balsamwind.relay.tests import forwarding
from standins import raw_server

EXAMPLES = 300

ODD_BYTES = b'\x00\x01\t\n\x0b\r\x1b !"(),-./019:;=@AZ[]_az{}\x7f\x80\xff'

MISDIRECTED = 421
"""Status that says by itself that the request was not run."""

FRAMINGS = (
    (b'Content-Length: %d\r\n' % len(harms.BODY), harms.BODY),
    (
        forwarding.CHUNKED.encode(),
        forwarding.make_chunk(harms.BODY) + forwarding.LAST_CHUNK,
    ),
    (b'', harms.BODY),
)

_END = re.compile(rb'\r?\n\r?\n')
_START_LINE = re.compile(rb'HTTP/1\.[0-9] ([2-5][0-9]{2}) [\t -~\x80-\xff]*')
_FIELD = re.compile(
    rb"([-!#$%&'*+.^_`|~0-9A-Za-z]+):[ \t]*([\t -~\x80-\xff]*?)[ \t]*"
)
_CHUNK = re.compile(rb'([0-9A-Fa-f]+)\r\n')


class _Responder(forwarding.Responder):
    """Keeps the fields that the caller receives."""

    def __init__(self):
        super().__init__()
        self.fields = []

    def start(self, status, headers):
        super().start(status, headers)
        self.fields = list(headers)


@strategies.composite
def _spoilt_answers(draw):
    """Draw the bytes of an answer whose head holds a few bytes more."""
    usual = strategies.sampled_from((200, 404, 503))
    status = draw(usual | strategies.integers(0, 999))
    framing, body = draw(strategies.sampled_from(FRAMINGS))
    fields = draw(strategies.permutations([harms.FIELDS, framing]))
    head = b'HTTP/1.1 %03d X\r\n%s\r\n' % (status, b''.join(fields))
    odd_bytes = strategies.sampled_from(ODD_BYTES).map(lambda byte: [byte])
    spots = strategies.integers(0, len(head) - 1)
    for _ in range(draw(strategies.integers(0, 3))):
        spot = draw(spots)
        spoiler = bytes(draw(odd_bytes)) * draw(strategies.integers(1, 2))
        head = head[:spot] + spoiler + head[spot:]
    return head + body


def _read_strictly(answer):
    """Read the status and the body of an answer; None if it is none."""
    # Empty lines in front of a start line are passed over, as in requests.
    answer = answer.lstrip(b'\r\n')
    end = _END.search(answer)
    if end is None:
        return None
    line, *lines = re.split(rb'\r?\n', answer[: end.start()])
    start = _START_LINE.fullmatch(line)
    fields = [_FIELD.fullmatch(line) for line in lines]
    if start is None or None in fields:
        return None
    body = _read_body(
        [(field[1].lower(), field[2]) for field in fields],
        answer[end.end() :],
    )
    return None if body is None else (int(start[1]), body)


def _read_body(fields, rest):
    lengths = {value for name, value in fields if name == b'content-length'}
    codings = [value for name, value in fields if name == b'transfer-encoding']
    if codings:
        is_chunked = codings == [b'chunked'] and not lengths
        return _read_chunks(rest) if is_chunked else None
    if not lengths:
        return rest
    (length,) = lengths
    is_readable = length.isdigit() and len(rest) >= int(length)
    return rest[: int(length)] if is_readable else None


def _read_chunks(rest):
    body = b''
    while chunk := _CHUNK.match(rest):
        size = int(chunk[1], 16)
        data = rest[chunk.end() : chunk.end() + size]
        rest = rest[chunk.end() + size :]
        if len(data) < size or not rest.startswith(b'\r\n'):
            return None
        if not size:
            return body
        body += data
        rest = rest[2:]
    return None


async def _send(answer, route):
    server = raw_server.RawServer([answer], raw_server.CLOSE)
    responder = _Responder()
    async with server.listen():
        addresses = [server.address]
        async with carrying.open_relay(addresses, False) as relay:
            error = await forwarding.send_one(relay, responder, route=route)
    return responder, error


@hypothesis.settings(
    max_examples=EXAMPLES, deadline=None, derandomize=True, database=None
)
@hypothesis.given(
    _spoilt_answers(), strategies.sampled_from(sorted(harms.ROUTES))
)
def test_spoilt_head_is_refused_or_relayed_as_it_is(answer, name):
    # The caller gets 502, a response that is cut, or the server's answer.
    route = harms.ROUTES[name]
    responder, error = asyncio.run(_send(answer, route))
    expected = _read_strictly(answer)
    if error is not None:
        assert not responder.complete
        if expected is None or expected[0] != MISDIRECTED:
            assert error.status == 502
            assert error.run == exceptions.OUTCOME_UNKNOWN
        return
    assert responder.complete
    assert (responder.status, responder.body) == expected
    for field in responder.fields:
        assert _FIELD.fullmatch(': '.join(field).encode('latin-1'))
