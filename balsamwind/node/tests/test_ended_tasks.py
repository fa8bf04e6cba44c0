"""Background tasks that end by an error that nobody expects."""

import asyncio

import pytest

from balsamwind.node import _configuration_watcher
from balsamwind.node import _evacuation_watcher
from balsamwind.node import _evidence_exchange
from balsamwind.node import _leader
from balsamwind.node import _node_discovery
from balsamwind.node import _server_watcher
from balsamwind.node import _update_subscriber
from balsamwind.node.tests import helpers

NODES = (('n1', 'z1'), ('n2', 'z1'))


def fail_once(monkeypatch, cls, name):
    """Let the next call of a method at each instance raise an error."""
    method = getattr(cls, name)
    failed = set()

    def fail(self, *arguments, **values):
        if id(self) not in failed:
            failed.add(id(self))
            raise ZeroDivisionError(name)
        return method(self, *arguments, **values)

    monkeypatch.setattr(cls, name, fail)
    return failed


def count_failures(process):
    """Count the tasks of a node that have ended, by name."""
    registry = process._request_log.metrics_registry
    return {
        sample.labels['task']: sample.value
        for metric in registry.collect()
        if metric.name == 'balsamwind_task_failures'
        for sample in metric.samples
        if sample.name.endswith('_total')
    }


@pytest.mark.parametrize(
    ('name', 'cls', 'method'),
    [
        (
            'configuration',
            _configuration_watcher.ConfigurationWatcher,
            '_watch',
        ),
        ('servers', _server_watcher.ServerWatcher, '_follow'),
        ('evacuations', _evacuation_watcher.EvacuationWatcher, 'step'),
        ('nodes', _node_discovery.NodeDiscovery, '_register'),
        (
            'subscriber',
            _update_subscriber.UpdateSubscriber,
            '_search_publisher',
        ),
        ('evidence', _evidence_exchange.EvidenceExchange, '_run_watches'),
        ('leader', _leader.ShardLeader, '_find_idle_time'),
    ],
)
def test_task_that_has_ended_is_counted_and_runs_again(
    monkeypatch, name, cls, method
):
    # Tasks were looked at when the node stopped only: a watcher that ended by
    # an error was gone for good, without a word in the log.
    failed = fail_once(monkeypatch, cls, method)

    async def scenario():
        async with helpers.open_fleet(NODES, engines=2) as (_, nodes):
            assert failed
            counts = [count_failures(process) for process in nodes]
            assert sum(count.get(name, 0) for count in counts) == len(failed)
            for process in nodes:
                answer = await helpers.send_request(
                    process, helpers.make_request()
                )
                assert answer.startswith(b'HTTP/1.1 200')

    asyncio.run(scenario())


def test_error_of_any_other_task_is_counted():
    # Tasks that nobody waits for ended without a word.
    async def end_unexpectedly():
        raise ZeroDivisionError

    async def scenario():
        async with helpers.open_platform(0) as fake_platform:
            async with helpers.open_node(fake_platform) as process:
                asyncio.ensure_future(end_unexpectedly())
                asyncio.get_running_loop().call_soon(int, 'x')
                await asyncio.sleep(0.05)
                return count_failures(process)

    counts = asyncio.run(scenario())
    assert sorted(counts.values()) == [1.0, 1.0]
    assert end_unexpectedly.__qualname__ in counts


def test_subscribers_get_changes_that_an_error_kept_back(monkeypatch):
    # The publisher had applied them, so that its next list showed nothing
    # new, and its subscribers never learned of them.
    async def scenario():
        async with helpers.open_fleet(NODES, engines=2) as (
            fake_platform,
            nodes,
        ):
            publisher = next(
                process
                for process in nodes
                if process.subscriber.reads_store_first
                and not process.subscriber.has_publishers
            )
            publish = publisher._publisher.publish_news
            failed = []

            def fail():
                changed = publisher.registry.listing.changed
                if changed and not failed:
                    failed.append(changed)
                    raise ZeroDivisionError
                publish()

            monkeypatch.setattr(publisher._publisher, 'publish_news', fail)
            fake_platform.add_engine('e9', 'llm', 'z1', 'd1')
            for process in nodes:
                await helpers.wait_until(
                    lambda process=process: process.registry.get('e9'), 3.0
                )
            assert failed

    asyncio.run(scenario())
