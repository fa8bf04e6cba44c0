"""Epoch of the store, raised when its history is replaced."""

import dataclasses

EPOCH_NAME = 'store'
"""Name of the only object of kind ``epoch``."""


@dataclasses.dataclass(slots=True, frozen=True)
class Epoch:
    """Epoch of the store, which identifies its current history.

    An operator who has restored the store from a backup increments the
    number. The nodes then discard the objects of the former history and read
    the store again.

    Parameters
    ----------
    number : int
        Number of the epoch, which only increases. A store without this object
        is in epoch 0.
    operation : str
        Unique id of the write.
    """

    number: int
    operation: str = ''
