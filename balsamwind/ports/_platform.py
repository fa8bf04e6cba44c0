"""Ports to the platform: object API, VM list and weight store."""

import dataclasses
import enum
import typing


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """Response to a list or a watch.

    Parameters
    ----------
    revision : int
        Store revision up to which the response is complete.
    items : tuple of balsamwind.objects.ObjectVersion
        Objects of a list, or changes of a watch in the order of their
        revisions.
    unreadable : tuple of (str, str)
        Kind and name of each object that could not be decoded.
    """

    revision: int
    items: tuple
    unreadable: tuple = ()


class ObjectStore(typing.Protocol):
    """Client of the platform's object API."""

    async def get(self, kind, name):
        """Read one object.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.

        Returns
        -------
        balsamwind.objects.ObjectVersion or None
            None if the object does not exist.
        """

    async def list(self, kinds):
        """Read all objects of some kinds.

        Parameters
        ----------
        kinds : tuple of str
            Kinds to read.

        Returns
        -------
        Snapshot
        """

    async def put(self, kind, name, value, expected):
        """Write an object if it has the expected revision.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.
        value : object
            Instance of the data class of the kind.
        expected : int
            Revision that the object must have; 0 if it must not exist.

        Returns
        -------
        balsamwind.objects.ObjectVersion
            The version that was written.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has a different revision; nothing was written.
        balsamwind.exceptions.StoreError
            The write may or may not have taken effect.
        """

    async def delete(self, kind, name, expected):
        """Delete an object if it has the expected revision.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.
        expected : int
            Revision that the object must have.

        Returns
        -------
        balsamwind.objects.ObjectVersion
            Tombstone of the object.

        Raises
        ------
        balsamwind.exceptions.Conflict
            The object has a different revision; nothing was deleted.
        balsamwind.exceptions.StoreError
            The deletion may or may not have taken effect.
        """

    async def watch(self, kinds, since):
        """Wait for changes of some kinds of objects.

        Parameters
        ----------
        kinds : tuple of str
            Kinds to watch.
        since : int
            Store revision after which changes are requested.

        Returns
        -------
        Snapshot

        Raises
        ------
        balsamwind.exceptions.HistoryGone
            The store no longer has the changes since that revision, so the
            objects have to be listed again.
        """


class VmState(enum.Enum):
    """State of a VM in the VM list."""

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
        ``host:port`` of the engine on the VM.
    data_centre : str
        Data centre of the VM.
    fabric_domain : str
        Fabric domain of the VM.
    accelerators : int
        Accelerators of the VM (count).
    state : VmState
        Whether the VM is live or is leaving.
    """

    name: str
    address: str
    data_centre: str
    fabric_domain: str
    accelerators: int = 2
    state: VmState = VmState.LIVE


class VmList(typing.Protocol):
    """Client of the VM list, which lags behind the state of the VMs."""

    async def fetch(self):
        """Read the whole list.

        Returns
        -------
        tuple of ListedVm
            Live and leaving VMs.
        """


class WeightStore(typing.Protocol):
    """Client of the weight store, which limits the rate of loads."""

    async def take_ticket(self, model, version):
        """Request permission for one load.

        Parameters
        ----------
        model : str
            Model to load.
        version : str
            Version of the weights to load.

        Returns
        -------
        float
            0 if the load was granted, otherwise the time after which to
            request it again (seconds).
        """
