"""Which groups of one model to form and to drain, one step at a time."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Rollout:
    """Groups of one contract and model in one data centre.

    Parameters
    ----------
    wanted : int
        Groups that the data centre has to carry (count).
    current : tuple of balsamwind.objects.Stored
        Groups that are what the contract asks for, not leaving; those to
        drain first come first.
    outdated : tuple of balsamwind.objects.Stored
        Groups that are something else, and those of which a VM leaves; in
        the same order.
    fitting : int
        Groups that are what the contract asks for, those of which a VM
        leaves with them (count).
    ready : int
        Current groups that serve, as all entries know by now (count).
    settled : bool
        Whether no group of the model is on its way in or out, anywhere,
        and it is this data centre's turn.
    """

    wanted: int
    current: tuple
    outdated: tuple
    fitting: int
    ready: int
    settled: bool

    def may_form(self):
        """Whether to form one more group now.

        A change is made group by group, so that spare VMs are left for
        repairs meanwhile.
        """
        if len(self.current) >= self.wanted:
            return False
        return not self.outdated or self.ready == len(self.current)

    def surplus(self):
        """Groups to drain because others have taken their place."""
        excess = max(len(self.current) - self.wanted, 0)
        needed = max(self.wanted - self.ready, 0)
        passed = max(len(self.outdated) - needed, 0)
        return [*self.current[:excess], *self.outdated[:passed]]

    def replaced(self):
        """Groups to drain to make room for a new one, where none fits."""
        if not self.settled or self.fitting >= self.wanted:
            return []
        return list(self.outdated[:1])
