"""Groups of one model to form and to drain, one step at a time."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Rollout:
    """Progress of one contract's model in one data centre.

    Parameters
    ----------
    wanted : int
        Groups allocated to the data centre (count).
    current : tuple of balsamwind.objects.ObjectVersion
        Groups that match the terms of the contract and have no leaving
        members, in the order in which they are to be drained.
    outdated : tuple of balsamwind.objects.ObjectVersion
        Groups that do not match the terms, and groups that serve while one
        of their VMs is leaving, in the same order.
    matching : int
        Groups that match the terms, including those with leaving members
        (count).
    ready : int
        Groups of `current` that serve and that all entry nodes know to serve
        (count).
    may_drain_first : bool
        Whether a group may be drained before its successor exists: no group
        of the model is being formed or drained in any data centre, and it is
        the turn of this data centre.
    """

    wanted: int
    current: tuple
    outdated: tuple
    matching: int
    ready: int
    may_drain_first: bool

    def may_form(self):
        """Whether to form one more group in this round.

        An update replaces one group at a time, so that spare VMs remain for
        repairs in the meantime.
        """
        if len(self.current) >= self.wanted:
            return False
        return not self.outdated or self.ready == len(self.current)

    def find_surplus(self):
        """Return the groups to drain because enough others exist."""
        excess = max(len(self.current) - self.wanted, 0)
        needed = max(self.wanted - self.ready, 0)
        superseded = max(len(self.outdated) - needed, 0)
        return [*self.current[:excess], *self.outdated[:superseded]]

    def find_replaceable(self):
        """Return the group to drain so that a new one finds free VMs.

        Called only if no fabric domain has room for the new group.
        """
        if not self.may_drain_first or self.matching >= self.wanted:
            return []
        return list(self.outdated[:1])
