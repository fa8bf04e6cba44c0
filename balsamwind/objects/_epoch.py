"""Count of the times that the store's history was replaced."""

import dataclasses

EPOCH_NAME = 'store'
"""Name of the only object of the kind ``epoch``."""


@dataclasses.dataclass(slots=True, frozen=True)
class Epoch:
    """History of the store that is in force.

    An operator who restored the store from an older state raises the number;
    nodes then drop what they know and follow the store again.

    Parameters
    ----------
    number : int
        0 if there is no such object; only grows.
    operation : str
        Id of the write.
    """

    number: int
    operation: str = ''
