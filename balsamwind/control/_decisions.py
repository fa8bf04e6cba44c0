"""Decisions that a control round makes and the executor carries out."""

import dataclasses

from balsamwind import ports


@dataclasses.dataclass(slots=True, frozen=True)
class PutObject:
    """Write an object if its current revision is the expected one.

    Parameters
    ----------
    kind : str
        Kind of the object.
    name : str
        Name of the object.
    value : object
        Data class instance to store.
    expected : int
        Revision that the object must have; 0 if it must not exist.
    """

    kind: str
    name: str
    value: object
    expected: int


@dataclasses.dataclass(slots=True, frozen=True)
class DeleteObject:
    """Delete an object if its current revision is the expected one.

    Parameters
    ----------
    kind : str
        Kind of the object.
    name : str
        Name of the object.
    expected : int
        Revision that the object must have.
    """

    kind: str
    name: str
    expected: int


@dataclasses.dataclass(slots=True, frozen=True)
class SendOrder:
    """Send an order to the engine of a VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    address : str
        ``host:port`` of its engine.
    order : balsamwind.ports.Order
        Order to send.
    needs_ticket : bool
        Whether the engine has to fetch weights, so that the weight store has
        to grant a ticket first.
    """

    vm: str
    address: str
    order: ports.Order
    needs_ticket: bool = False
