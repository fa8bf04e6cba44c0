"""Check of which nodes have applied a store revision."""

import dataclasses

NODE_SILENCE_TIMEOUT = 5.0
"""Time since the last contact after which a wait ignores a node (seconds)."""


@dataclasses.dataclass(slots=True, frozen=True)
class RevisionRollout:
    """Progress of a store revision across the nodes.

    Parameters
    ----------
    applied_count : int
        Nodes that are alive and have applied the revision (count).
    node_count : int
        All nodes (count).
    silent_nodes : tuple of str
        One text for each node that is not alive according to the entry that
        was asked: its name and the time since its last contact.
    lagging_nodes : tuple of str
        One text for each node that is alive and has not applied the revision:
        its name and the revision that it has.
    is_final : bool
        Whether waiting longer can't change the result: no node lags, and no
        silent node was heard within `NODE_SILENCE_TIMEOUT`.
    """

    applied_count: int
    node_count: int
    silent_nodes: tuple[str, ...]
    lagging_nodes: tuple[str, ...]
    is_final: bool

    @property
    def is_complete(self):
        """Whether all nodes have applied the revision."""
        return self.applied_count == self.node_count

    def __str__(self):
        text = f'in force at {self.applied_count} of {self.node_count} nodes'
        for node_text in (*self.silent_nodes, *self.lagging_nodes):
            text += f', {node_text}'
        return text


def check_rollout(nodes, revision):
    """Compare the revisions of all nodes with a store revision.

    Parameters
    ----------
    nodes : list of dict
        Value of ``nodes`` in the status of an entry.
    revision : int
        Store revision that the nodes should have applied.

    Returns
    -------
    RevisionRollout
    """
    alive_nodes = [node for node in nodes if node['alive']]
    silent_nodes = [node for node in nodes if not node['alive']]
    lagging_nodes = [
        node for node in alive_nodes if node['revision'] < revision
    ]
    may_return = any(
        node['heard_ago'] is not None
        and node['heard_ago'] < NODE_SILENCE_TIMEOUT
        for node in silent_nodes
    )
    return RevisionRollout(
        len(alive_nodes) - len(lagging_nodes),
        len(nodes),
        tuple(_describe_silence(node) for node in silent_nodes),
        tuple(
            f'{n["name"]} has revision {n["revision"]}' for n in lagging_nodes
        ),
        not lagging_nodes and not may_return,
    )


def _describe_silence(node):
    if node['heard_ago'] is None:
        return f'{node["name"]} never heard'
    return f'{node["name"]} not heard for {node["heard_ago"]:.0f} s'
