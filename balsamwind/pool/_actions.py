"""Actions that the planner of a pool decides on."""

import dataclasses

from balsamwind.pool import _groups
from balsamwind.pool import _records


@dataclasses.dataclass(slots=True, frozen=True)
class CloseGroup:
    """Close a group that has lost a member, or is about to.

    Parameters
    ----------
    group : PoolGroup
        The group.
    cut : bool
        Whether what runs in it is broken off, as it stands still anyway.
    reason : str
        Why.
    wanted : str
        Model that gets its engines; empty if none is meant.
    """

    group: _groups.PoolGroup
    cut: bool
    reason: str
    wanted: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class OpenGroup:
    """Open a whole group that stands ready."""

    group: _groups.PoolGroup


@dataclasses.dataclass(slots=True, frozen=True)
class FormGroup:
    """Form a new group.

    Parameters
    ----------
    model : str
        Model that it serves.
    members : tuple of ServerRecord
        Its members; the first is the head.
    """

    model: str
    members: tuple


@dataclasses.dataclass(slots=True, frozen=True)
class StageModel:
    """Copy a model to an engine's host, ahead of need."""

    engine: _records.ServerRecord
    model: str
