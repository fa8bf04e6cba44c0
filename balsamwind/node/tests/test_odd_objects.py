"""Objects of other kinds than servers that another writer has changed."""

import asyncio
import types

import hypothesis
import pytest

from balsamwind import exceptions
from balsamwind.node import _evidence_records
from balsamwind.node import _lease_records
from balsamwind.node import _node_records
from balsamwind.node import _updates
from balsamwind.node.tests import doubles
from balsamwind.node.tests import helpers
from balsamwind.node.tests.recorded import record as recorded
from balsamwind import objects
from balsamwind.platform import _configuration
from balsamwind.platform.tests import any_json
from balsamwind import traffic

LEASE = {'holder': 'n1', 'fencing': 7, 'duration': 2.0, 'operation': 'op'}

NODE = {'data_centre': 'z1', 'news': '10.0.0.1:7340', 'capacity': 0.5}

CONFIGURATION = {
    **helpers.CONFIGURATION,
    'Limits': {'MaxHeaderBytes': 16384, 'IdleTimeoutMs': 15000},
}


class _Store:
    """Returns one object, and notes what is left out."""

    def __init__(self, spec, name='n1'):
        self._object = types.SimpleNamespace(name=name, revision=7, spec=spec)
        self.left_out = []

    def on_malformed(self, kind, name, revision, reason):
        self.left_out.append(name)

    async def get(self, kind, name, timeout, may_be_stale=False):
        return self._object

    async def list(self, kind, timeout, may_be_stale=False):
        return 7, [self._object]


@hypothesis.given(any_json.make_variants(CONFIGURATION))
def test_every_configuration_is_in_force_at_all_nodes_or_malformed(spec):
    # A key that was a list ended the task that reads the configuration.
    try:
        configuration = _configuration.decode_configuration(spec)
    except exceptions.MalformedValue:
        return
    cache = traffic.ConfigurationCache(4.6)
    cache.accept(configuration, 0.0)
    change = traffic.plan_change(traffic.NO_CONFIGURATION, configuration)
    if change is not None:
        proof = _updates.ConfigurationProof(configuration.version, 7, 0.0)
        update = _updates.ConfigurationUpdate(change, proof)
        assert _updates.decode_frame(_updates.encode_frame(update)) == update


@hypothesis.given(any_json.make_variants(LEASE))
def test_every_lease_is_read_or_a_store_error(spec):
    records = _lease_records.LeaseRecords(_Store(spec))
    try:
        stored = asyncio.run(records.read_lease('z1', 1.0))
    except exceptions.StoreError:
        return
    hash(stored.value)


@hypothesis.given(any_json.make_variants(NODE))
def test_every_registration_names_a_node_or_is_left_out(spec):
    # An address without a port ended the task that looks for a publisher.
    store = _Store(spec)
    nodes = asyncio.run(_node_records.NodeRecords(store).list(1.0))
    assert bool(nodes) is not bool(store.left_out)
    for registered in nodes.values():
        assert objects.check_address(registered[0].address, '', True)


@hypothesis.given(any_json.make_variants(objects.encode(recorded.EVIDENCE)))
def test_all_evidence_can_be_passed_on(spec):
    records = _evidence_records.EvidenceRecords(_Store(spec), doubles.Log())
    _, evidence = asyncio.run(records.read('z1', 1.0))
    assert _updates.decode_frame(_updates.encode_frame(evidence)) == evidence


@pytest.mark.parametrize(
    'change',
    [
        pytest.param({'news': 'nowhere'}, id='no port'),
        pytest.param({'news': '10.0.0.1:99999'}, id='port out of range'),
        pytest.param({'news': ['10.0.0.1:7340']}, id='address in a list'),
        pytest.param({'news': 'x' * 64 + ':7340'}, id='no host name'),
        pytest.param({'capacity': 10**400}, id='infinite capacity'),
        pytest.param({'data_centre': ['z1']}, id='data centre in a list'),
    ],
)
def test_nodes_serve_beside_an_odd_registration(change):
    # It came first by rank where its capacity was large, so that the others
    # looked for updates there, and ended the task that does.
    async def scenario():
        async with helpers.open_platform(2) as fake_platform:
            odd = {**NODE, 'capacity': 1e9, **change}
            fake_platform.store.put(_node_records.KIND, 'a', odd)
            async with (
                helpers.open_node(fake_platform, 'n1') as first,
                helpers.open_node(fake_platform, 'n2') as second,
            ):
                for process in (first, second):
                    await helpers.wait_until(
                        lambda process=process: (
                            helpers.count_serving_groups(process) == 1
                        )
                    )
                await helpers.wait_until(
                    lambda: (
                        first.subscriber.has_fresh_servers()
                        or second.subscriber.has_fresh_servers()
                    )
                )

    asyncio.run(scenario())
