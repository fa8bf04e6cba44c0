"""Replica groups, derived from what their members report.

No other record of a group exists. The name of a group contains its model, and
the members report the rest, so any node that takes over the lease of a shard
can continue with the groups that it finds.
"""

import dataclasses

from balsamwind.pool import _records

SEPARATOR = '.'
"""Separator between the parts of a group's name."""


def make_group_name(model, shard, epoch):
    """Make the name of a new group.

    The name contains the shard, as an epoch is only unique within its shard.

    Parameters
    ----------
    model : str
        Model that the group serves.
    shard : str
        Name of the shard that the group belongs to.
    epoch : int
        Epoch of the group.

    Returns
    -------
    str
    """
    return SEPARATOR.join((model, shard, str(epoch)))


def parse_model_name(name):
    """Return the model that the name of a group contains.

    The model may contain the separator itself.

    Parameters
    ----------
    name : str
        Name of a group.

    Returns
    -------
    str
    """
    return name.rsplit(SEPARATOR, 2)[0]


@dataclasses.dataclass(slots=True, frozen=True)
class PoolGroup:
    """A replica group, complete or not.

    Parameters
    ----------
    name : str
        Name of the group.
    model : str
        Model that the group serves.
    epoch : int
        Epoch of the group.
    size : int
        Number of members of a complete group (count); 0 if the service does
        not list the model.
    members : tuple of ServerRecord
        Known members, sorted by rank.
    """

    name: str
    model: str
    epoch: int
    size: int
    members: tuple

    @property
    def key(self):
        """Key of the group: a tuple of its name and its epoch."""
        return (self.name, self.epoch)

    @property
    def head(self):
        """Record of the member with rank 0; None if it is not known."""
        if self.members and self.members[0].membership.rank == 0:
            return self.members[0]
        return None

    @property
    def state(self):
        """State that the head reports; None if the head is not known."""
        return None if self.head is None else self.head.membership.state

    @property
    def all_ranks_usable(self):
        """Whether each rank has exactly one member and all are usable."""
        ranks = [member.membership.rank for member in self.members]
        return ranks == list(range(self.size)) and all(
            member.usable for member in self.members
        )

    @property
    def all_ready(self):
        """Whether every known member reports that it has joined."""
        return all(
            member.membership.state
            in (_records.MemberState.READY, _records.MemberState.OPEN)
            for member in self.members
        )

    @property
    def serving(self):
        """Whether the group is open and complete, and accepts requests."""
        return (
            self.state is _records.MemberState.OPEN
            and self.all_ranks_usable
            and self.all_ready
        )


def find_groups(records, engine_profile):
    """Collect engines into the groups that they report.

    Parameters
    ----------
    records : iterable of ServerRecord
        Engines of one service.
    engine_profile : balsamwind.traffic.EngineProfile
        Profile of the engines, with their models and group sizes.

    Returns
    -------
    dict of (str, int) to PoolGroup
        Groups by name and epoch.
    """
    members_by_key = {}
    for record in records:
        if record.membership is not None:
            members_by_key.setdefault(record.membership.key, []).append(record)
    return {
        key: _make_group(key, members, engine_profile)
        for key, members in members_by_key.items()
    }


def _make_group(key, members, engine_profile):
    name, epoch = key
    model = parse_model_name(name)
    model_profile = engine_profile.find_model(model)
    # An engine that restarts under a new id leaves an unlisted entry with the
    # same rank; the listed entry comes first, so it can be the head.
    members = sorted(
        members,
        key=lambda record: (record.membership.rank, not record.listed),
    )
    return PoolGroup(
        name=name,
        model=model,
        epoch=epoch,
        size=model_profile.group_size if model_profile is not None else 0,
        members=tuple(members),
    )


class GroupIndex:
    """Groups of one service, kept up to date entry by entry.

    A change of an entry only affects the groups that the engine has left or
    joined, so its cost does not grow with the number of engines.

    Parameters
    ----------
    service : str
        Name of the service.
    registry : ServerRegistry
        Entries of the backend servers.
    """

    __slots__ = (
        '_changed_keys',
        '_engine_profile',
        '_members_by_key',
        '_service',
    )

    def __init__(self, service, registry):
        self._service = service
        self._engine_profile = None
        self._members_by_key = {}
        self._changed_keys = set()
        for record in registry.get_by_service(service):
            self._handle_change(None, record)
        registry.add_listener(self._handle_change)

    def _handle_change(self, previous, record):
        if previous is not None and previous.service == self._service:
            self._remove_member(previous)
        if record is not None and record.service == self._service:
            self._add_member(record)

    def _remove_member(self, record):
        if record.membership is None:
            return
        key = record.membership.key
        self._changed_keys.add(key)
        del self._members_by_key[key][record.server_id]
        if not self._members_by_key[key]:
            del self._members_by_key[key]

    def _add_member(self, record):
        if record.membership is None:
            return
        key = record.membership.key
        self._changed_keys.add(key)
        members = self._members_by_key.setdefault(key, {})
        members[record.server_id] = record

    def take_changes(self, engine_profile):
        """Return the groups that have changed since the last call.

        Parameters
        ----------
        engine_profile : balsamwind.traffic.EngineProfile
            Profile of the engines. If it is another one than in the last
            call, all groups count as changed.

        Returns
        -------
        dict of (str, int) to PoolGroup or None
            Groups by name and epoch; None for a group without members.
        """
        keys = self._changed_keys
        if engine_profile is not self._engine_profile:
            keys = keys | self._members_by_key.keys()
        self._engine_profile = engine_profile
        self._changed_keys = set()
        return {key: self._find_group(key) for key in keys}

    def _find_group(self, key):
        members = self._members_by_key.get(key)
        if members is None:
            return None
        return _make_group(key, members.values(), self._engine_profile)
