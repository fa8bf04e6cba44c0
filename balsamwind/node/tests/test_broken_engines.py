"""Fleets whose engines and servers break some heads of their answers."""

import asyncio
import collections
import re

import pytest

from balsamwind.adapters.tests import broken_answers
from balsamwind.node.tests import helpers
from balsamwind.node.tests import test_broken_answers

SHARE = 0.3
"""Share of the answers that are broken."""

REQUESTS = 60
"""Requests of each path (count)."""

MAX_CONCURRENT_REQUESTS = 6
"""Requests at the same time (count)."""

RECOVERY_TIME = 10.0
"""Time in which a request is served once all answers are whole (seconds)."""

ONCE = ('/once/x', '/balance/x')
PATHS = (*ONCE, '/ask/x', '/lookup/x')

SERVED = re.compile(rb'token 1 |ledger ran ')
"""What each answer holds that an engine or a server has given."""

EVENT_STREAM = (
    b'Content-Type: text/event-stream\r\nX-Balsamwind-Response-Stamp: s\r\n'
)
BROKEN_EVENT = b'id: 1\ndata: broken\n\n'

ANSWERS = broken_answers.make_statuses(EVENT_STREAM, BROKEN_EVENT)
REFUSALS = broken_answers.make_statuses(
    EVENT_STREAM + test_broken_answers.NOT_EXECUTED, b''
)
HEADS = broken_answers.make_other_heads(EVENT_STREAM, BROKEN_EVENT)


def _set_share(fake_platform, share):
    servers = {**fake_platform.engines, **fake_platform.services}
    for server in servers.values():
        server.broken_share = share


async def _play(process):
    """Send requests of each path; return the answers by path and id."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    answers = {}

    async def send(path, number):
        request_id = f'{path}{number}'
        request = helpers.make_request(path, request_id)
        async with limit:
            answers[path, request_id] = await helpers.send_request(
                process, request
            )

    async with asyncio.TaskGroup() as tasks:
        for number in range(REQUESTS):
            for path in PATHS:
                tasks.create_task(send(path, number))
    return answers


def _find_harms(answers, trace):
    """Describe each request that has come to harm."""
    runs = collections.Counter(run.request_id for run in trace.runs)
    harms = []
    for (path, request_id), answer in answers.items():
        status = answer[9:12]
        if status not in (b'200', b'502', b'503') or answer[12:13] != b' ':
            harms.append((request_id, answer[:40]))
        elif b'broken' in answer:
            harms.append((request_id, 'holds a broken answer'))
        elif status == b'200' and not SERVED.search(answer):
            harms.append((request_id, 'is served, and empty'))
        elif status == b'503' and runs[request_id]:
            harms.append((request_id, 'is said not to have run'))
        elif path in ONCE and runs[request_id] > 1:
            harms.append((request_id, f'ran {runs[request_id]} times'))
    return harms


async def _wait_until_served(process):
    """Wait until a request is served; servers may be passed over before."""
    async with asyncio.timeout(RECOVERY_TIME):
        answer = b''
        while not answer.startswith(b'HTTP/1.1 200 '):
            await asyncio.sleep(0.1)
            request = helpers.make_request('/ask/x', 'last')
            answer = await helpers.send_request(process, request)


@pytest.mark.parametrize(
    'heads',
    [
        pytest.param(ANSWERS, id='statuses'),
        pytest.param(REFUSALS, id='statuses that refuse'),
        pytest.param(HEADS, id='other heads'),
    ],
)
def test_answers_of_engines_in_trouble_reached_callers(heads):
    async def scenario():
        async with helpers.open_fleet(
            (('n1', 'z1'),),
            engines=6,
            servers=3,
            configuration=test_broken_answers.make_configuration(),
        ) as (fake_platform, (process,)):
            fake_platform.broken_heads = list(heads.values())
            _set_share(fake_platform, SHARE)
            answers = await _play(process)
            _set_share(fake_platform, 0.0)
            await _wait_until_served(process)
            return (
                _find_harms(answers, fake_platform.trace),
                collections.Counter(
                    (path, answer[9:12])
                    for (path, _), answer in answers.items()
                ),
                process.relay.crash_quarantine.has_suspects,
                [process.relay.paths.is_open(s) for s in ('llm', 'ledger')],
            )

    harms, counts, has_suspects, are_open = asyncio.run(scenario())
    assert harms == [], counts
    assert not has_suspects
    assert are_open == [True, True]
    assert counts['/ask/x', b'200'] > 0
