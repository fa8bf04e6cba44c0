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
FINGERPRINT = 'request:1'


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


def _report(
    open_port, began=True, parts=PARTS, writing=0.0, is_confirmed=True
):
    async def judge_refusal(record):
        return (
            relay.EndVerdict.ENDED
            if is_confirmed
            else relay.EndVerdict.REACHED
        )

    async def scenario():
        client = adapters.HttpClient()
        quarantine = relay.CrashQuarantine('z1')
        clock = forwarding.Clock()
        reporter = _crash_reporter.CrashReporter(
            quarantine, client, clock, _Log(), judge_refusal
        )
        news = []
        reporter.on_evidence = news.append
        async with open_port() as port:
            record = pool.ServerRecord('e1', 'llm', f'127.0.0.1:{port}', 'z1')
            backend = relay.Backend(('llm', 'g', 1), record, 4)
            now = clock.monotonic()
            progress = relay.AttemptProgress(sent_at=now - 0.5)
            if began:
                progress.began_at = now - 0.2
            if writing:
                progress.began_at = now - writing - 0.2
                progress.first_event_at = now - writing
            reporter.report_broken_answer(
                backend, 'llm', parts, FINGERPRINT, progress
            )
            await asyncio.sleep(0.1)
        reporter.close()
        client.close()
        return news

    return asyncio.run(scenario())


def test_engine_that_refuses_connections_has_crashed():
    news = _report(_close_port)
    reports = [report for item in news for report in item.reports]
    assert [report.parts for report in reports] == [PARTS, (FINGERPRINT,)]
    assert len({report.crash for report in reports}) == 1
    assert reports[0].crash.startswith('e1:')
    assert reports[0].duration == pytest.approx(0.2, abs=0.1)
    assert reports[1].duration == pytest.approx(0.5, abs=0.1)


@pytest.mark.parametrize(
    ('began', 'parts'),
    [
        pytest.param(False, PARTS, id='answer not begun'),
        pytest.param(True, (), id='no shared parts'),
        pytest.param(False, (), id='plain service'),
    ],
)
def test_request_without_a_suspected_part_is_suspected_itself(began, parts):
    (news,) = _report(_close_port, began, parts)
    (report,) = news.reports
    assert report.parts == (FINGERPRINT,)


def test_broken_answer_alone_is_no_evidence():
    assert _report(_open_server) == []


@pytest.mark.parametrize('writing', [0.0, 0.1, 0.6, 8.0])
def test_answer_under_way_at_a_crash_is_suspected_however_long(writing):
    """How long it had run tells how much the crash weighs."""
    news = _report(_close_port, writing=writing)
    reports = [report for item in news for report in item.reports]
    assert [report.parts for report in reports] == [PARTS, (FINGERPRINT,)]
    assert reports[0].duration == pytest.approx(writing + 0.2, abs=0.1)


def test_refusal_that_only_this_node_sees_is_no_evidence():
    assert _report(_close_port, is_confirmed=False) == []


@pytest.mark.parametrize('crashes', [False, True])
def test_crash_after_its_attempt_was_given_up_blamed_nothing(
    monkeypatch, crashes
):
    monkeypatch.setattr(_crash_reporter, 'LATER_CHECK_DELAY', 0.1)

    async def judge_refusal(record):
        return relay.EndVerdict.ENDED

    async def scenario():
        client = adapters.HttpClient()
        clock = forwarding.Clock()
        reporter = _crash_reporter.CrashReporter(
            relay.CrashQuarantine('z1'), client, clock, _Log(), judge_refusal
        )
        news = []
        reporter.on_evidence = news.append
        async with _open_server() as port:
            record = pool.ServerRecord('e1', 'llm', f'127.0.0.1:{port}', 'z1')
            backend = relay.Backend(('llm', 'g', 1), record, 4)
            now = clock.monotonic()
            progress = relay.AttemptProgress(
                began_at=now - 0.6, sent_at=now - 0.7
            )
            reporter.watch_abandoned(
                backend, 'llm', PARTS, FINGERPRINT, progress
            )
            if not crashes:
                await asyncio.sleep(0.3)
        await asyncio.sleep(0.3)
        reporter.close()
        client.close()
        return [report.parts for item in news for report in item.reports]

    expected = [PARTS, (FINGERPRINT,)] if crashes else []
    assert asyncio.run(scenario()) == expected
