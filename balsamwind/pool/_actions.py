"""Actions that the planner of a pool returns."""

import dataclasses

from balsamwind.pool import _groups
from balsamwind.pool import _records


@dataclasses.dataclass(slots=True, frozen=True)
class CloseGroup:
    """Close an open group.

    A group is closed when it has lost a member or is about to lose one, or
    when another model needs its engines.

    Parameters
    ----------
    group : PoolGroup
        Group to close.
    cut : bool
        Whether running requests are aborted. Set if the group has already lost
        a member, as its requests then make no progress anyway.
    reason : str
        Reason for the log.
    target_model : str
        Model that needs the engines of the group; empty if the group is not
        closed for the sake of another model.
    """

    group: _groups.PoolGroup
    cut: bool
    reason: str
    target_model: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class OpenGroup:
    """Open a group whose members are all present and ready.

    Parameters
    ----------
    group : PoolGroup
        Group to open.
    """

    group: _groups.PoolGroup


@dataclasses.dataclass(slots=True, frozen=True)
class FormGroup:
    """Form a new group from free engines.

    Parameters
    ----------
    model : str
        Model that the group serves.
    members : tuple of ServerRecord
        Members in the order of their ranks; the first is the head.
    evidence : dict of str to object
        What shows that the last group of a member is not open, by the
        member's id; see `judge_reuse`.
    """

    model: str
    members: tuple
    evidence: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class DisbandGroup:
    """Let members leave a group whose head is not known, and wait.

    Parameters
    ----------
    group : PoolGroup
        Group to disband.
    members : tuple of ServerRecord
        Members that are ordered to leave.
    reason : str
        Reason for the log.
    """

    group: _groups.PoolGroup
    members: tuple
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class HoldMembers:
    """Keep the members of a group, as its head may be open unseen.

    Parameters
    ----------
    group : PoolGroup
        Group whose head is not known or does not answer.
    reason : str
        What is not known, for the log.
    """

    group: _groups.PoolGroup
    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class StageModel:
    """Copy a model to an engine's host before a group needs it there.

    Parameters
    ----------
    engine : ServerRecord
        Engine whose host receives the copy.
    model : str
        Name of the model.
    """

    engine: _records.ServerRecord
    model: str
