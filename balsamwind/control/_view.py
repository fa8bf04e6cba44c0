"""Input of one control round: a consistent view of the fleet."""

import dataclasses

from balsamwind import catalogue
from balsamwind import membership


@dataclasses.dataclass(slots=True)
class View:
    """Everything that the decisions of one control round may depend on.

    Parameters
    ----------
    catalogue : balsamwind.catalogue.ObjectCache
        Objects of the store, as cached on this node.
    observations : balsamwind.membership.Observations
        Latest observation of each VM and its engine.
    listed : dict of str to balsamwind.ports.ListedVm
        VM name -> row of the platform's VM list.
    settings : balsamwind.settings.Settings
        Settings of the node.
    now : float
        Monotonic time (seconds).
    time : float
        Wall-clock time: seconds since the epoch, UTC.
    rng : random.Random
        Source of random group names and operation ids.
    group_in_flight : dict of str to int
        Group name -> open requests, summed over the counts that all entry
        nodes report (count).
    """

    catalogue: catalogue.ObjectCache
    observations: membership.Observations
    listed: dict
    settings: object
    now: float
    time: float
    rng: object
    group_in_flight: dict = dataclasses.field(default_factory=dict)

    def contract_in_force(self, name):
        """Return a contract if it is in force, else None.

        Parameters
        ----------
        name : str
            Name of the contract.

        Returns
        -------
        balsamwind.objects.Contract or None
        """
        contract = self.catalogue.get_value('contract', name)
        if contract is None or not contract.in_force(self.time):
            return None
        return contract

    def new_operation_id(self):
        """Return a random id that identifies one write."""
        return f'{self.rng.getrandbits(64):016x}'
