"""Orders to engines of a pool, and what becomes of them."""

import dataclasses
import enum


@dataclasses.dataclass(slots=True, frozen=True)
class Join:
    """Become a member of a replica group.

    Parameters
    ----------
    group, model : str
        Name of the group and its model.
    epoch : int
        Epoch of the group.
    members : tuple of str
        Ids of all members; the first is the head.
    """

    group: str
    epoch: int
    model: str
    members: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class Open:
    """Serve as the head of a group whose members are all ready."""

    group: str
    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class Close:
    """Take no more requests as the head of a group.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch : int
        Epoch of the group.
    cut : bool
        Whether requests that run are broken off.
    """

    group: str
    epoch: int
    cut: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Leave:
    """Leave a group."""

    group: str
    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class Stage:
    """Copy a model to the host of the engine."""

    model: str


class OrderResult(enum.Enum):
    """Answer of an engine to an order."""

    BEGUN = 'begun'
    DONE = 'done'
    UNFIT = 'unfit'
    FENCED = 'fenced'
    OTHER_SERVER = 'other server'
    UNKNOWN = 'unknown'

    @property
    def accepted(self):
        """Whether the order holds."""
        return self in (OrderResult.BEGUN, OrderResult.DONE)
