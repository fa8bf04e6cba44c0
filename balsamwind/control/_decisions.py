"""Decisions of the control path."""

import dataclasses

from balsamwind import ports


@dataclasses.dataclass(slots=True, frozen=True)
class PutObject:
    """Write an object if it has the expected revision.

    Parameters
    ----------
    kind, name : str
        Which object.
    value : object
        Its new data class.
    expected : int
        Revision that it must have (0: no object).
    """

    kind: str
    name: str
    value: object
    expected: int


@dataclasses.dataclass(slots=True, frozen=True)
class DeleteObject:
    """Delete an object if it has the expected revision.

    Parameters
    ----------
    kind, name : str
        Which object.
    expected : int
        Revision that it must have.
    """

    kind: str
    name: str
    expected: int


@dataclasses.dataclass(slots=True, frozen=True)
class SendOrder:
    """Give an order to an engine.

    Parameters
    ----------
    vm, address : str
        Which engine.
    order : balsamwind.ports.Order
        The order.
    needs_ticket : bool
        Whether the engine has to fetch weights.
    """

    vm: str
    address: str
    order: ports.Order
    needs_ticket: bool = False
