"""What a control round decides from."""

import dataclasses

from balsamwind import catalogue
from balsamwind import membership


@dataclasses.dataclass(slots=True)
class View:
    """All that the decisions of one round may look at.

    Parameters
    ----------
    catalogue : balsamwind.catalogue.Catalogue
        Objects in memory.
    observations : balsamwind.membership.Observations
        What is known of the VMs.
    listed : dict of str to balsamwind.ports.ListedVm
        The VM list.
    settings : balsamwind.settings.Settings
        Settings of the node.
    now : float
        Monotonic time (seconds).
    time : float
        Seconds since the epoch, UTC.
    rng : random.Random
        Source of names and of ties.
    group_in_flight : dict of str to int
        Group -> requests open at all entries, by their own count (count).
    """

    catalogue: catalogue.Catalogue
    observations: membership.Observations
    listed: dict
    settings: object
    now: float
    time: float
    rng: object
    group_in_flight: dict = dataclasses.field(default_factory=dict)

    def contract(self, name):
        """Contract `name` if it is in force, else None."""
        contract = self.catalogue.value('contract', name)
        if contract is None or not contract.in_force(self.time):
            return None
        return contract

    def operation(self):
        """A new operation id."""
        return f'{self.rng.getrandbits(64):016x}'
