"""Whether a revision is in force at all nodes."""

import dataclasses

GIVE_UP_AFTER = 5.0
"""Silence after which a node is not waited for (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class InForce:
    """Where a revision is in force.

    Parameters
    ----------
    ready, total : int
        Nodes where it is, and all nodes (count).
    unheard : tuple of str
        Nodes that the asked entry does not hear, with for how long.
    lagging : tuple of str
        Nodes that are heard and do not have it yet.
    decided : bool
        Whether waiting longer is of no use.
    """

    ready: int
    total: int
    unheard: tuple[str, ...]
    lagging: tuple[str, ...]
    decided: bool

    @property
    def everywhere(self):
        """Whether it is in force at all nodes."""
        return self.ready == self.total

    def __str__(self):
        text = f'in force at {self.ready} of {self.total} nodes'
        for what in (*self.unheard, *self.lagging):
            text += f', {what}'
        return text


def check_in_force(nodes, revision):
    """Compare what an entry says of all nodes with a revision.

    Parameters
    ----------
    nodes : list of dict
        ``nodes`` of the entry's status.
    revision : int
        Store revision to look for.

    Returns
    -------
    InForce
    """
    heard = [node for node in nodes if node['alive']]
    silent = [node for node in nodes if not node['alive']]
    lagging = [node for node in heard if node['revision'] < revision]
    patient = any(
        node['heard_ago'] is not None and node['heard_ago'] < GIVE_UP_AFTER
        for node in silent
    )
    return InForce(
        len(heard) - len(lagging),
        len(nodes),
        tuple(_describe_silence(node) for node in silent),
        tuple(f'{n["name"]} has revision {n["revision"]}' for n in lagging),
        not lagging and not patient,
    )


def _describe_silence(node):
    if node['heard_ago'] is None:
        return f'{node["name"]} never heard'
    return f'{node["name"]} not heard for {node["heard_ago"]:.0f} s'
