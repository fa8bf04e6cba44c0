"""Number of replica groups of a contract in each data centre."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Allocation:
    """Distribution of the replica groups of one contract over data centres.

    Parameters
    ----------
    contract : str
        Name of the contract.
    replicas : dict of str to dict of str to int
        Replica groups (count) by model and data centre.
    short : dict of str to str
        For each model with fewer replica groups than the contract promises,
        the reason.
    fencing : int
        Fencing number of the lease under which the object was written.
    """

    contract: str
    replicas: dict[str, dict[str, int]]
    short: dict[str, str] = dataclasses.field(default_factory=dict)
    fencing: int = 0

    def total(self, model):
        """Count the replica groups of a model in all data centres.

        Parameters
        ----------
        model : str
            Name of the model.

        Returns
        -------
        int
            Number of allocated replica groups.
        """
        return sum(self.replicas.get(model, {}).values())
