"""Registration of this node in the object API and removal of dead nodes."""

import asyncio
import dataclasses

from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects

START_JITTER = 2.0
"""Longest random delay before the first registration (seconds)."""

CHECK_INTERVAL = 5.0
"""Mean time between checks of the registrations (seconds)."""

REMOVAL_TIMEOUT = 900.0
"""Time without a heartbeat or a new version of its object after which a
node is removed (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class RegisterNode:
    """Decision to write this node's object.

    Parameters
    ----------
    value : balsamwind.objects.Node
        Object to write.
    expected : int
        Revision that the stored object must have (0: none stored).
    """

    value: objects.Node
    expected: int


@dataclasses.dataclass(slots=True, frozen=True)
class RemoveNode:
    """Decision to delete the object of a node that is gone.

    Parameters
    ----------
    name : str
        Name of the node.
    expected : int
        Revision that the stored object must have.
    """

    name: str
    expected: int


def plan_registrations(catalogue, registry, own_node, now):
    """Decide which node objects to write and delete.

    A node that was not heard of for `REMOVAL_TIMEOUT` is removed by one of
    the live nodes. If it is still running, for example behind a
    network partition, it registers again.

    Parameters
    ----------
    catalogue : balsamwind.catalogue.ObjectCache
        Objects in memory.
    registry : balsamwind.peers.PeerRegistry
        Peers and the times of their last heartbeats.
    own_node : balsamwind.objects.Node
        Object that this node should have in the store.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    list of RegisterNode or RemoveNode
    """
    decisions = []
    known = catalogue.get('node', own_node.name)
    if known is None:
        decisions.append(RegisterNode(own_node, 0))
    elif known.value != own_node:
        decisions.append(RegisterNode(own_node, known.revision))
    live_nodes = [
        own_node.name,
        *(peer.name for peer in registry.list_alive(now)),
    ]
    for stored in catalogue.list_objects('node'):
        if stored.name in live_nodes:
            continue
        peer = registry.get(stored.name)
        silent_for = catalogue.age(stored, now)
        if peer is not None:
            silent_for = min(silent_for, now - peer.last_contact_at)
        if silent_for < REMOVAL_TIMEOUT:
            continue
        remover = membership.choose_node(f'remove/{stored.name}', live_nodes)
        if remover == own_node.name:
            decisions.append(RemoveNode(stored.name, stored.revision))
    return decisions


class Registrar:
    """Maintains the node objects and the links to registered nodes.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Entry of this node.
    store : balsamwind.ports.ObjectStore
        The platform's object API.
    own_node : balsamwind.objects.Node
        Object that this node should have in the store.
    rng : random.Random
        Source of jitter.
    """

    __slots__ = ('_entry', '_own_node', '_rng', '_store')

    def __init__(self, entry, store, own_node, rng):
        self._entry = entry
        self._store = store
        self._own_node = own_node
        self._rng = rng
        entry.catalogue.add_listener(self._on_object_change)

    def _on_object_change(self, stored):
        """Open or close the link to a node that was written or deleted.

        Peers of the settings are dialled even if their object is deleted.
        """
        if stored.kind != 'node' or stored.name == self._own_node.name:
            return
        links = self._entry.links
        if stored.deleted:
            seeds = {peer.name for peer in self._entry.settings.peers}
            if stored.name not in seeds:
                links.stop_connecting(stored.name)
                self._entry.registry.remove(stored.name)
        else:
            links.connect_to(stored.name, stored.value.peer_address)

    async def run(self):
        """Register this node and remove dead ones until cancelled.

        Nothing is written while the entry drains or while the store may
        have been restored from an older state.
        """
        await asyncio.sleep(self._rng.uniform(0.0, START_JITTER))
        while True:
            entry = self._entry
            if not entry.draining and not entry.catalogue.possibly_restored:
                await self._run_round()
            await asyncio.sleep(CHECK_INTERVAL * self._rng.uniform(0.8, 1.2))

    async def _run_round(self):
        entry = self._entry
        decisions = plan_registrations(
            entry.catalogue,
            entry.registry,
            self._own_node,
            entry.clock.monotonic(),
        )
        for decision in decisions:
            try:
                match decision:
                    case RegisterNode(value=value, expected=expected):
                        stored = await self._store.put(
                            'node', value.name, value, expected
                        )
                    case RemoveNode(name=name, expected=expected):
                        stored = await self._store.delete(
                            'node', name, expected
                        )
                        entry.log.warning('node_removed', peer=name)
            except exceptions.Conflict as conflict:
                stored = conflict.current
            except exceptions.BalsamwindError as error:
                entry.log.warning('registration_failed', error=str(error))
                return
            if stored is not None:
                entry.catalogue.apply(stored, entry.clock.monotonic())

    async def deregister(self):
        """Delete this node's object if the newest version is its own."""
        known = self._entry.catalogue.get('node', self._own_node.name)
        if known is None or known.value != self._own_node:
            return
        try:
            await self._store.delete(
                'node', self._own_node.name, known.revision
            )
        except exceptions.BalsamwindError as error:
            self._entry.log.warning('withdrawal_failed', error=str(error))
