"""An object together with its place in the store's history."""

import dataclasses

from balsamwind import exceptions
from balsamwind.objects import _allocation
from balsamwind.objects import _call
from balsamwind.objects import _claim
from balsamwind.objects import _codec
from balsamwind.objects import _contract
from balsamwind.objects import _epoch
from balsamwind.objects import _group
from balsamwind.objects import _lease
from balsamwind.objects import _node

KINDS = {
    'allocation': _allocation.Allocation,
    'claim': _claim.Claim,
    'contract': _contract.Contract,
    'epoch': _epoch.Epoch,
    'group': _group.Group,
    'lease': _lease.Lease,
    'node': _node.Node,
    **dict.fromkeys(_call.CALL_KINDS, _call.CallRecord),
}
"""Data class of each kind of object."""

WATCHED_KINDS = (
    'allocation',
    'claim',
    'contract',
    'epoch',
    'group',
    'lease',
    'node',
)
"""Kinds that every node keeps in memory."""


MAX_REVISION = 2**53
"""Largest store revision that JSON carries without loss (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """One version of an object.

    Parameters
    ----------
    kind : str
        A key of `KINDS`.
    name : str
        Unique within the kind.
    revision : int
        Store revision of the write that made this version. It grows with
        every write to any object, so the larger of two is the newer.
    value : object or None
        The data class; None says that the object was deleted.
    """

    kind: str
    name: str
    revision: int
    value: object

    @property
    def key(self):
        """Kind and name."""
        return self.kind, self.name

    @property
    def deleted(self):
        """Whether this version is a tombstone."""
        return self.value is None


def check_revision(value):
    """Check that a value can be a store revision; the value.

    Raises
    ------
    ValueError
        It is not an integer from 0 to `MAX_REVISION`.
    """
    if type(value) is not int or not 0 <= value <= MAX_REVISION:
        raise ValueError(f'revision: got {value!r}, allowed is an integer')
    return value


def load_stored(data):
    """Build a `Stored` from a plain mapping.

    Raises
    ------
    TypeError, ValueError, KeyError
        The mapping does not describe an object of a known kind.
    """
    kind = data['kind']
    value = data.get('value')
    if value is not None:
        value = _load_value(kind, data['name'], value)
    revision = check_revision(data['revision'])
    return Stored(kind, data['name'], revision, value)


def _load_value(kind, name, value):
    if kind != 'contract':
        return _codec.decode(KINDS[kind], value)
    # Operators may write a contract past the command line's check.
    try:
        return _contract.check_contract(
            value, f'contract {name}', allow_unknown=True
        )
    except exceptions.InvalidInput as error:
        raise ValueError(str(error)) from None
