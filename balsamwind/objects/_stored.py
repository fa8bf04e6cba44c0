"""Versions of objects, identified by the store revision of their write."""

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
"""Kinds that every node watches and caches in memory."""


MAX_REVISION = 2**53
"""Largest store revision; JSON keeps integers exact up to this value."""


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectVersion:
    """One version of an object.

    Parameters
    ----------
    kind : str
        Kind of the object, a key of `KINDS`.
    name : str
        Name of the object, unique within its kind.
    revision : int
        Store revision of the write that created this version. The store
        revision increases with every write to any object, so the version
        with the larger revision is the newer one.
    value : object or None
        Instance of the data class of the kind; None if the object was
        deleted.
    """

    kind: str
    name: str
    revision: int
    value: object

    @property
    def key(self):
        """Kind and name of the object."""
        return self.kind, self.name

    @property
    def deleted(self):
        """Whether this version is a tombstone."""
        return self.value is None


def check_revision(value):
    """Check that a value is a valid store revision.

    Parameters
    ----------
    value : object
        Value to check.

    Returns
    -------
    int
        The unchanged value.

    Raises
    ------
    ValueError
        The value is not an integer from 0 to `MAX_REVISION`.
    """
    if type(value) is not int or not 0 <= value <= MAX_REVISION:
        raise ValueError(f'revision: got {value!r}, expected 0 to 2**53')
    return value


def decode_object_version(data):
    """Convert a plain mapping to an `ObjectVersion`.

    Parameters
    ----------
    data : dict
        Parsed JSON or CBOR with the keys ``kind``, ``name``, ``revision`` and
        ``value``. A missing or null ``value`` denotes a deletion.

    Returns
    -------
    ObjectVersion

    Raises
    ------
    TypeError, ValueError, KeyError
        The mapping does not describe an object of a known kind.
    """
    kind = data['kind']
    value = data.get('value')
    if value is not None:
        value = _decode_value(kind, data['name'], value)
    revision = check_revision(data['revision'])
    return ObjectVersion(kind, data['name'], revision, value)


def _decode_value(kind, name, value):
    if kind != 'contract':
        return _codec.decode(KINDS[kind], value)
    # Operators can write a contract directly to the object API, without the
    # validation by the command line.
    try:
        return _contract.check_contract(
            value, f'contract {name}', allow_unknown=True
        )
    except exceptions.InvalidInput as error:
        raise ValueError(str(error)) from None
