"""Evidence is recorded only of engines that have really crashed."""

import asyncio
import contextlib
import socket

import pytest

from balsamwind import adapters
from balsamwind import pool
from balsamwind import relay
from balsamwind.relay import _crash_reporter
from balsamwind.relay.tests import forwarding

PARTS = ('a', 'dead')


class _Log:
    def info(self, event, **fields):
        pass


@contextlib.asynccontextmanager
async def _open_server():
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    async with server:
        yield server.sockets[0].getsockname()[1]


@contextlib.asynccontextmanager
async def _close_port():
    """Yield a port that refuses connections."""
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        yield bound.getsockname()[1]


def _report(open_port, began=True, parts=PARTS):
    async def scenario():
        client = adapters.HttpClient()
        quarantine = relay.PromptQuarantine('z1')
        clock = forwarding.Clock()
        reporter = _crash_reporter.CrashReporter(
            quarantine, client, clock, _Log()
        )
        news = []
        reporter.on_evidence = news.append
        async with open_port() as port:
            record = pool.ServerRecord('e1', 'llm', f'127.0.0.1:{port}', 'z1')
            backend = relay.Backend(('llm', 'g', 1), record, 4)
            progress = relay.AttemptProgress()
            if began:
                progress.began_at = clock.monotonic() - 0.2
            reporter.report_broken_answer(backend, 'llm', parts, progress)
            await asyncio.sleep(0.1)
        reporter.close()
        client.close()
        return news

    return asyncio.run(scenario())


def test_engine_that_refuses_connections_has_crashed():
    (news,) = _report(_close_port)
    (report,) = news.reports
    assert report.parts == PARTS
    assert report.crash.startswith('e1:')
    assert report.duration == pytest.approx(0.2, abs=0.1)


@pytest.mark.parametrize(
    ('open_port', 'began', 'parts'),
    [
        pytest.param(_open_server, True, PARTS, id='engine still accepts'),
        pytest.param(_close_port, False, PARTS, id='answer not begun'),
        pytest.param(_close_port, True, (), id='no shared parts'),
    ],
)
def test_broken_answer_alone_is_no_evidence(open_port, began, parts):
    assert _report(open_port, began, parts) == []
