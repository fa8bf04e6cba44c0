"""What it shows that a server refuses connections.

Failure pattern: one request ends the few servers of a service, one after the
other. Those that have ended refuse connections, too, so that no node reaches
any server, and each takes its own path for lost. The other way round, a path
may be cut by refusals while the servers are sound; then other nodes still
reach them.

So a refusal says nothing by itself, and the state of the own path does not
either: what other nodes find does.
"""

from balsamwind.relay import _carried_attempts
from balsamwind.relay import _crash_evidence

MAX_WITNESSES = 8
"""Nodes that are asked at most where this node reaches no other server
(count). Half of all nodes may have lost their paths."""


def judge_refusal(is_path_open, opinions):
    """Decide what the refusal of a server shows.

    Parameters
    ----------
    is_path_open : bool
        Whether this node reaches other servers of the service.
    opinions : list of Reach
        What other nodes found, `UNKNOWN` of those that gave no reply.

    Returns
    -------
    EndVerdict
    """
    if _carried_attempts.Reach.ANSWERS in opinions:
        return _crash_evidence.EndVerdict.REACHED
    if is_path_open:
        return _crash_evidence.EndVerdict.ENDED
    refusals = opinions.count(_carried_attempts.Reach.REFUSES)
    # This node and its neighbours may be cut off from all the others.
    if refusals and 2 * refusals >= len(opinions):
        return _crash_evidence.EndVerdict.ENDED
    return _crash_evidence.EndVerdict.NO_WITNESS
