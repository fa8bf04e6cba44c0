"""Evidence that no head is open over the members of a group.

Failure pattern: a head that a node does not hear of serves on. Its entry was
removed because it leaves, it is cut off from the store, or it came and went
while the node heard nothing. What the node does not know is no evidence:
members are reused on what somebody has seen, and held back otherwise.
"""

import dataclasses

from balsamwind.pool import _records

HEAD_SEARCH_TIME = 5.0
"""Time with unbroken news of entries in which a head that is alive and reaches
the store shows itself (seconds). After an outage of the store an entry is back
within two seconds."""

SERVING_STATES = (_records.MemberState.OPEN, _records.MemberState.CLOSING)


@dataclasses.dataclass(slots=True, frozen=True)
class HeadNotServing:
    """The head says itself that its group is not open.

    Parameters
    ----------
    head : str
        Id of the head.
    state : MemberState
        State that it reports.
    """

    head: str
    state: _records.MemberState


@dataclasses.dataclass(slots=True, frozen=True)
class HeadMovedOn:
    """The head says that it has left the group, or joined a later one.

    Parameters
    ----------
    head : str
        Id of the head.
    group : str
        Group that it reports; empty if there is none.
    """

    head: str
    group: str


@dataclasses.dataclass(slots=True, frozen=True)
class HeadEnded:
    """The start of the engine that was the head has ended.

    A later start has shown itself, or another server has its address.

    Parameters
    ----------
    head : str
        Id of the head.
    """

    head: str


@dataclasses.dataclass(slots=True, frozen=True)
class HeadSilent:
    """The head is not listed, and nobody who has tried reaches it.

    It has lost its members as well, and breaks its group after the stall
    bound.

    Parameters
    ----------
    head : str
        Id of the head.
    silent_for : float
        Time for which this node has tried without a gap (seconds).
    asked : int
        Other nodes that have had their say (count).
    """

    head: str
    silent_for: float
    asked: int


@dataclasses.dataclass(slots=True, frozen=True)
class HeadUnknown:
    """Nothing shows who the head is, or what has become of it.

    Parameters
    ----------
    searched_for : float
        Time for which the group was known and the news of entries had no gap,
        without any sign of the head (seconds).
    """

    searched_for: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """There is no evidence yet.

    Parameters
    ----------
    reason : str
        What is not known, for the log.
    """

    reason: str


def judge_reuse(view, group):
    """Judge whether the head of a group can't be open any more.

    Only then may the members of the group join another one. A head that has
    not answered the order to open may carry it out later. One that does not
    answer at all may have been opened since its entry was written. After an
    outage of a domain its engines come back one after another, so the head of
    a group whose member has just come back may still be open, although it has
    not been seen again yet.

    Parameters
    ----------
    view : PoolView
        State of the shard.
    group : PoolGroup
        The group.

    Returns
    -------
    HeadNotServing, HeadMovedOn, HeadEnded, HeadSilent or Held
    """
    head = group.head
    if head is None:
        return _judge_missing_head(view, group)
    silence = view.silent_heads.get(head.server_id)
    if silence is not None:
        return _hold_if_returning(view, group) or silence
    if head.server_id in view.late_openers:
        return Held('its head may carry out an order to open')
    if head.server_id in view.down:
        if group.state is _records.MemberState.BROKEN:
            return HeadNotServing(head.server_id, group.state)
        return Held('its head does not answer')
    if group.state in SERVING_STATES:
        return Held('its head serves')
    return HeadNotServing(head.server_id, group.state)


def _judge_missing_head(view, group):
    held = _hold_if_returning(view, group)
    if held is not None:
        return held
    match view.former_heads.get(group.key, HeadUnknown()):
        case HeadUnknown():
            return Held('its head is not known')
        case evidence:
            return evidence


def _hold_if_returning(view, group):
    member_ids = {member.server_id for member in group.members}
    if member_ids & view.recently_returned:
        return Held('a member has come back a moment ago')
    return None


def find_disband_reason(view, group):
    """Find why the members of a group must leave it to be reused.

    A group that a member leaves moves nothing any more, and its head breaks
    it after the stall bound, whoever the head is and whoever reaches it. That
    ends a group which may be sound, so it is for heads that are lost as far
    as can be known.

    Parameters
    ----------
    view : PoolView
        State of the shard.
    group : PoolGroup
        The group.

    Returns
    -------
    str
        For the log; empty if they need not, or may not yet.
    """
    if _hold_if_returning(view, group) is not None:
        return ''
    if group.head is not None:
        if group.head.server_id in view.doubtful_heads:
            return 'not enough nodes know whether its head is silent'
        return ''
    match view.former_heads.get(group.key, HeadUnknown()):
        case HeadUnknown(searched_for=seconds) if seconds >= HEAD_SEARCH_TIME:
            return 'its head is not known'
    return ''
