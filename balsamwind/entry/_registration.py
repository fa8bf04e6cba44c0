"""Registration of this node in the object API, and of the others here."""

import asyncio
import dataclasses

from balsamwind import exceptions
from balsamwind import membership
from balsamwind import objects

START_JITTER = 2.0
"""Longest wait before the first registration (seconds)."""

CHECK_INTERVAL = 5.0
"""Time between checks of the registrations (seconds)."""

GONE_AFTER = 900.0
"""Time without a sign of life after which a node is removed (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Register:
    """Write this node's object.

    Parameters
    ----------
    value : balsamwind.objects.Node
        The object.
    expected : int
        Revision that it must have (0: none).
    """

    value: objects.Node
    expected: int


@dataclasses.dataclass(slots=True, frozen=True)
class Remove:
    """Delete the object of a node that is gone.

    Parameters
    ----------
    name : str
        Name of the node.
    expected : int
        Revision that it must have.
    """

    name: str
    expected: int


def plan_registrations(catalogue, registry, own, now):
    """Decide which node objects to write and delete.

    A node that was not heard of for `GONE_AFTER` is removed by one of the
    living nodes; if it lives on elsewhere, it registers again.

    Parameters
    ----------
    catalogue : balsamwind.catalogue.Catalogue
        Objects in memory.
    registry : balsamwind.peers.PeerRegistry
        Peers.
    own : balsamwind.objects.Node
        This node.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    list of Register or Remove
    """
    decisions = []
    known = catalogue.get('node', own.name)
    if known is None:
        decisions.append(Register(own, 0))
    elif known.value != own:
        decisions.append(Register(own, known.revision))
    living = [own.name, *(peer.name for peer in registry.alive(now))]
    for stored in catalogue.items('node'):
        if stored.name in living:
            continue
        peer = registry.get(stored.name)
        silent = catalogue.age(stored, now)
        if peer is not None:
            silent = min(silent, now - peer.heard_at)
        if silent < GONE_AFTER:
            continue
        chosen = membership.choose_observer(f'remove/{stored.name}', living)
        if chosen == own.name:
            decisions.append(Remove(stored.name, stored.revision))
    return decisions


class Registrar:
    """Keeps the node objects, and dials the nodes that they name.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Whose node it is.
    store : balsamwind.ports.ObjectStore
        The object API.
    own : balsamwind.objects.Node
        This node.
    rng : random.Random
        Source of jitter.
    """

    __slots__ = ('_entry', '_own', '_rng', '_store')

    def __init__(self, entry, store, own, rng):
        self._entry = entry
        self._store = store
        self._own = own
        self._rng = rng
        entry.catalogue.listen(self._on_object)

    def _on_object(self, stored):
        if stored.kind != 'node' or stored.name == self._own.name:
            return
        links = self._entry.links
        if stored.deleted:
            seeds = {peer.name for peer in self._entry.settings.peers}
            if stored.name not in seeds:
                links.leave(stored.name)
                self._entry.registry.forget(stored.name)
        else:
            links.reach(stored.name, stored.value.peer_address)

    async def run(self):
        """Register, and remove nodes that are gone, until cancelled."""
        await asyncio.sleep(self._rng.uniform(0.0, START_JITTER))
        while True:
            entry = self._entry
            if not entry.draining and not entry.catalogue.restored:
                await self._run_round()
            await asyncio.sleep(CHECK_INTERVAL * self._rng.uniform(0.8, 1.2))

    async def _run_round(self):
        entry = self._entry
        decisions = plan_registrations(
            entry.catalogue, entry.registry, self._own, entry.clock.monotonic()
        )
        for decision in decisions:
            try:
                match decision:
                    case Register(value=value, expected=expected):
                        stored = await self._store.put(
                            'node', value.name, value, expected
                        )
                    case Remove(name=name, expected=expected):
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

    async def withdraw(self):
        """Delete this node's object."""
        known = self._entry.catalogue.get('node', self._own.name)
        if known is None or known.value != self._own:
            return
        try:
            await self._store.delete('node', self._own.name, known.revision)
        except exceptions.BalsamwindError as error:
            self._entry.log.warning('withdrawal_failed', error=str(error))
