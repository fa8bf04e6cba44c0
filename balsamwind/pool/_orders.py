"""Orders that the leader of a shard sends to engines, and their results."""

import dataclasses
import enum


@dataclasses.dataclass(slots=True, frozen=True)
class Join:
    """Order an engine to join a replica group.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch : int
        Epoch of the group.
    model : str
        Model that the group serves.
    members : tuple of str
        Ids of all members in the order of their ranks; the first is the head.
    """

    group: str
    epoch: int
    model: str
    members: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class Open:
    """Order the head of a group whose members are all ready to open it.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch : int
        Epoch of the group.
    """

    group: str
    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class Close:
    """Order the head of a group to accept no more requests.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch : int
        Epoch of the group.
    cut : bool
        Whether running requests are aborted; if not, the head finishes them
        first.
    """

    group: str
    epoch: int
    cut: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Leave:
    """Order an engine to leave a group.

    Parameters
    ----------
    group : str
        Name of the group.
    epoch : int
        Epoch of the group.
    """

    group: str
    epoch: int


@dataclasses.dataclass(slots=True, frozen=True)
class Stage:
    """Order an engine to copy a model from the weight store to its host.

    Parameters
    ----------
    model : str
        Name of the model.
    """

    model: str


class OrderResult(enum.Enum):
    """Result of an order, as the engine answers it.

    Attributes
    ----------
    BEGUN
        The engine has accepted the order and carries it out.
    DONE
        The order has no effect, as the engine is already in the state that it
        asks for.
    UNFIT
        The order does not fit the engine's state, or the engine has accepted
        other orders than the sender assumes.
    FENCED
        The fencing number or the epoch is older than one that the engine has
        seen.
    OTHER_SERVER
        Another server answers at the engine's address.
    UNKNOWN
        No answer came; the engine may have accepted the order.
    """

    BEGUN = 'begun'
    DONE = 'done'
    UNFIT = 'unfit'
    FENCED = 'fenced'
    OTHER_SERVER = 'other server'
    UNKNOWN = 'unknown'

    @property
    def accepted(self):
        """Whether the engine carries the order out or already has."""
        return self in (OrderResult.BEGUN, OrderResult.DONE)
