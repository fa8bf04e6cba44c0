"""Tests that the formats of the stand-in engines fit the engine port."""

import asyncio
import dataclasses

import pytest

from balsamwind import adapters
from balsamwind.adapters.tests import completion_helpers
from balsamwind import exceptions
from balsamwind import ports
from standins import engine_handlers
from standins import engines

PROMPT = 'w ' * 1024


def run_engines(check, token_delay=0.0):
    """Run `check(engine, first VM, second VM)`, each with a loaded model."""

    async def run():
        fleet = engines.Fleet(token_delay, load_delay=0.0)
        client = adapters.HttpClient()
        vms = [fleet.add('v0'), fleet.add('v1')]
        engine = adapters.HttpEngine(client)
        for vm in vms:
            order = ports.Order('load', vm.name, 1, 1, 'm', '1')
            await engine.order(vm.address, order, 1.0)
            while vm.state is not ports.EngineState.READY:
                await asyncio.sleep(0.01)
        try:
            await check(engine, *vms)
        finally:
            client.close()
            for vm in vms:
                await vm.kill()

    asyncio.run(run())


async def generate(engine, vm, count=4, resume=()):
    """Return the tokens of one attempt."""
    call = ports.GenerateRequest(
        'r', 'r.1', vm.name, 1, 'm', PROMPT, count, resume=resume
    )
    stream = await engine.generate(vm.address, call, 1.0)
    tokens = []
    while events := await stream.read(1.0):
        tokens += [e for e in events if isinstance(e, ports.Token)]
    return tokens


def test_kv_cache_moves_between_engines():
    async def check(engine, first, second):
        await generate(engine, first)
        export = await engine.export_kv(first.address, 'r', 1.0)
        assert export.tokens == 8
        await engine.import_kv(second.address, 'r', export, 1.0)
        moved = await engine.export_kv(second.address, 'r', 1.0)
        assert (moved.source, moved.tokens) == (second.address, 8)

    run_engines(check)


@pytest.mark.parametrize('change', ['unknown', 'other model', 'source gone'])
def test_kv_cache_transfer_is_refused(change):
    async def check(engine, first, second):
        await generate(engine, first)
        if change == 'unknown':
            with pytest.raises(exceptions.BackendRefused):
                await engine.export_kv(first.address, 'other', 1.0)
            return
        export = await engine.export_kv(first.address, 'r', 1.0)
        if change == 'other model':
            second.order = ports.Order('load', 'v1', 1, 1, 'm', '2')
        else:
            await first.kill()
        with pytest.raises(exceptions.BackendRefused):
            await engine.import_kv(second.address, 'r', export, 1.0)

    run_engines(check)


def test_repeated_prompt_adds_no_cache_event():
    async def check(engine, first, second):
        del second
        await generate(engine, first)
        await generate(engine, first)
        report = await engine.report(first.address, 1.0)
        (event,) = report.cache_events
        assert event.sequence == 1
        assert len(event.stored) == 2

    run_engines(check)


def test_draining_engine_refuses_requests():
    async def check(engine, first, second):
        del second
        first.draining = True
        with pytest.raises(exceptions.BackendRefused) as raised:
            await generate(engine, first)
        assert raised.value.reason == 'draining'

    run_engines(check)


@pytest.mark.parametrize('exported', [True, False])
def test_stalled_stream_resumes_on_another_engine(exported):
    async def check(engine, first, second):
        del engine
        path = completion_helpers.CompletionPath(
            [first.address, second.address]
        )
        for group, vm in zip(path.groups.groups, (first, second)):
            vm.order = ports.Order('load', group.name, 1, 1, 'm', '1')
        request = dataclasses.replace(path.make_request(20), prompt=PROMPT)
        tokens = []
        async for batch in path.completions.run(request):
            tokens += batch
            first.delay_factor = 1000.0
            if not exported:
                first.kv.clear()
        path.client.close()
        assert tokens == engine_handlers.make_answer(PROMPT, 20)
        assert path.resumption_steps == ['ImportCache']
        assert len(second.attempt_ids) == 1
        assert (second.kv['r'] > 20) and first.attempt_ids == ['r.1']

    run_engines(check, token_delay=0.002)
