"""Replica groups, as their members' own reports show them.

No record of a group is kept anywhere else: its name says its model, and the
members say the rest, so any node can adopt what stands.
"""

import dataclasses

from balsamwind.pool import _records

SEPARATOR = '.'
"""Between the parts of a group's name."""


def make_group_name(model, shard, epoch):
    """Name of a new group; epochs are only unique within a shard."""
    return SEPARATOR.join((model, shard, str(epoch)))


def read_model(name):
    """Model in the name of a group."""
    return name.rsplit(SEPARATOR, 2)[0]


@dataclasses.dataclass(slots=True, frozen=True)
class PoolGroup:
    """A replica group, whole or not.

    Parameters
    ----------
    name, model : str
        Name, and the model that it serves.
    epoch : int
        Epoch.
    size : int
        Members of a whole group (count).
    members : tuple of ServerRecord
        Members that are known, in the order of their ranks.
    """

    name: str
    model: str
    epoch: int
    size: int
    members: tuple

    @property
    def key(self):
        """Name and epoch."""
        return (self.name, self.epoch)

    @property
    def head(self):
        """Record of the head, or None."""
        if self.members and self.members[0].membership.rank == 0:
            return self.members[0]
        return None

    @property
    def state(self):
        """State of the head; None if the head is not known."""
        return None if self.head is None else self.head.membership.state

    @property
    def complete(self):
        """Whether each rank has a member that may take work."""
        ranks = [item.membership.rank for item in self.members]
        return ranks == list(range(self.size)) and all(
            item.usable for item in self.members
        )

    @property
    def all_ready(self):
        """Whether every member has reported that it is ready."""
        return all(
            item.membership.state
            in (_records.MemberState.READY, _records.MemberState.OPEN)
            for item in self.members
        )

    @property
    def serving(self):
        """Whether requests may be sent to it."""
        return (
            self.state is _records.MemberState.OPEN
            and self.complete
            and self.all_ready
        )


def find_groups(records, terms):
    """Sort engines into the groups that they report.

    Parameters
    ----------
    records : iterable of ServerRecord
        Engines of one service.
    terms : balsamwind.traffic.EngineTerms
        Models and their sizes.

    Returns
    -------
    dict of (str, int) to PoolGroup
        By name and epoch.
    """
    members = {}
    for record in records:
        if record.membership is not None:
            members.setdefault(record.membership.key, []).append(record)
    groups = {}
    for (name, epoch), found in members.items():
        model = read_model(name)
        known = terms.find_model(model)
        found.sort(
            key=lambda record: (record.membership.rank, not record.listed)
        )
        groups[name, epoch] = PoolGroup(
            name=name,
            model=model,
            epoch=epoch,
            size=known.size if known is not None else 0,
            members=tuple(found),
        )
    return groups
