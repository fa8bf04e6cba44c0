"""How many replica groups of a contract each data centre carries."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Allocation:
    """Split of one contract's replicas over data centres.

    Parameters
    ----------
    contract : str
        Name of the contract.
    replicas : dict of str to dict of str to int
        Model -> data centre -> replica groups (count).
    short : dict of str to str
        Model -> why fewer replicas were allocated than promised.
    fencing : int
        Fencing number of the lease under which this was written.
    """

    contract: str
    replicas: dict[str, dict[str, int]]
    short: dict[str, str] = dataclasses.field(default_factory=dict)
    fencing: int = 0

    def total(self, model):
        """Replica groups allocated for `model` (count)."""
        return sum(self.replicas.get(model, {}).values())
