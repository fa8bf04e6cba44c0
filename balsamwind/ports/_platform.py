"""Ports of the platform: object API, VM list, weight store."""

import dataclasses
import enum
import typing


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Answer of a list or a watch.

    Parameters
    ----------
    revision : int
        Store revision up to which the answer is complete.
    items : tuple of balsamwind.objects.Stored
        Objects; for a watch, changes in the order of their revisions.
    unreadable : tuple of (str, str)
        Kind and name of each object that could not be decoded.
    """

    revision: int
    items: tuple
    unreadable: tuple = ()


class ObjectStore(typing.Protocol):
    """The platform's object API."""

    async def get(self, kind, name):
        """Read one object; a `Stored`, or None if there is none."""

    async def list(self, kinds):
        """Read all objects of `kinds`; a `Snapshot`."""

    async def put(self, kind, name, value, expected):
        """Write if the object's revision is `expected` (0: no object).

        Returns
        -------
        balsamwind.objects.Stored

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has another revision; nothing was written.
        balsamwind.exceptions.StoreError
            The write may or may not have taken effect.
        """

    async def delete(self, kind, name, expected):
        """Delete if the object's revision is `expected`; a tombstone."""

    async def watch(self, kinds, since):
        """Wait for changes after revision `since`; a `Snapshot`.

        Raises
        ------
        balsamwind.exceptions.HistoryGone
            The store no longer holds that revision: list again.
        """


class VmState(enum.Enum):
    """What the VM list says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(slots=True, frozen=True)
class ListedVm:
    """One row of the VM list.

    Parameters
    ----------
    name : str
        Name of the VM.
    address : str
        ``host:port`` of its engine.
    data_centre, fabric_domain : str
        Where it is.
    accelerators : int
        Accelerators of the VM (count).
    state : VmState
        Live or leaving.
    """

    name: str
    address: str
    data_centre: str
    fabric_domain: str
    accelerators: int = 2
    state: VmState = VmState.LIVE


class VmList(typing.Protocol):
    """The lagging list of live and leaving VMs."""

    async def fetch(self):
        """All rows; a tuple of `ListedVm`."""


class WeightStore(typing.Protocol):
    """The rate-limited weight store."""

    async def take_ticket(self, model, version):
        """Ask leave to load once.

        Returns
        -------
        float
            0 when granted, else when to ask again (seconds).
        """
