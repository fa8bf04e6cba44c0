"""Which VMs a node observes, and what failed polls say of them."""

import dataclasses

from balsamwind import exceptions
from balsamwind.membership import _observers


@dataclasses.dataclass(slots=True, frozen=True)
class ObservedVm:
    """A VM, and what it is observed with.

    Parameters
    ----------
    unit : str
        Group whose members are observed together, or the VM itself.
    address : str
        ``host:port`` of its engine.
    data_centre : str
        Where it is.
    """

    unit: str
    address: str
    data_centre: str


def find_observed(listed, groups):
    """All VMs that somebody has to observe.

    Parameters
    ----------
    listed : dict of str to balsamwind.ports.ListedVm
        Rows of the VM list.
    groups : iterable of balsamwind.objects.Group
        Replica groups.

    Returns
    -------
    dict of str to ObservedVm
    """
    observed = {
        row.name: ObservedVm(row.name, row.address, row.data_centre)
        for row in listed.values()
    }
    for group in groups:
        for member in group.members:
            observed[member.vm] = ObservedVm(
                group.name, member.address, group.data_centre
            )
    return observed


def plan_polls(observed, observers, node):
    """Part of the VMs that one node observes.

    Parameters
    ----------
    observed : dict of str to ObservedVm
        All VMs.
    observers : dict of str to sequence of str
        Nodes that observe each data centre.
    node : str
        The node.

    Returns
    -------
    dict of str to str
        VM -> address.
    """
    sizes = {place: {} for place in observers}
    for vm in observed.values():
        units = sizes[vm.data_centre]
        units[vm.unit] = units.get(vm.unit, 0) + 1
    chosen = {
        place: _observers.plan_observers(sizes[place], nodes)
        for place, nodes in observers.items()
        if node in nodes
    }
    return {
        name: vm.address
        for name, vm in observed.items()
        if chosen.get(vm.data_centre, {}).get(vm.unit) == node
    }


class PollFailures:
    """Failed polls in a row, by VM.

    Parameters
    ----------
    limit : int
        Polls without an answer after which a VM is unreachable (count).
    """

    __slots__ = ('_counts', '_limit')

    def __init__(self, limit):
        self._counts = {}
        self._limit = limit

    def check_reachable(self, vm, error):
        """Whether a VM still counts as reachable after a poll.

        A refused connection is a solid sign; silence has to be repeated.

        Parameters
        ----------
        vm : str
            The VM.
        error : balsamwind.exceptions.BalsamwindError or None
            What became of the poll.
        """
        if error is None:
            self.forget(vm)
            return True
        failures = self._counts.get(vm, 0) + 1
        self._counts[vm] = failures
        refused = (
            isinstance(error, exceptions.TransportError) and not error.sent
        )
        return not refused and failures < self._limit

    def forget(self, vm):
        """Start to count anew."""
        self._counts.pop(vm, None)
