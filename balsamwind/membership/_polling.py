"""Selection of the VMs that a node polls, and detection of failed VMs."""

import dataclasses

from balsamwind import exceptions
from balsamwind.membership import _observers


@dataclasses.dataclass(slots=True, frozen=True)
class ObservedVm:
    """A VM that has to be observed.

    Parameters
    ----------
    unit : str
        Name of the unit that one node observes as a whole: the VM's group,
        or the VM itself if it is in no group.
    address : str
        ``host:port`` of the VM's engine.
    data_centre : str
        Name of the VM's data centre.
    """

    unit: str
    address: str
    data_centre: str


def collect_observed_vms(listed_vms, groups):
    """Collect all VMs that have to be observed.

    These are the listed VMs and the members of all groups. A member is
    observed even if the VM list, which lags, does not contain it.

    Parameters
    ----------
    listed_vms : dict of str to balsamwind.ports.ListedVm
        Rows of the VM list, by name of the VM.
    groups : iterable of balsamwind.objects.Group
        Records of all groups.

    Returns
    -------
    dict of str to ObservedVm
        Observed VMs by name.
    """
    observed = {
        row.name: ObservedVm(row.name, row.address, row.data_centre)
        for row in listed_vms.values()
    }
    for group in groups:
        for member in group.members:
            observed[member.vm] = ObservedVm(
                group.name, member.address, group.data_centre
            )
    return observed


def select_vms_to_poll(observed, observers, node):
    """Select the VMs that one node polls.

    Parameters
    ----------
    observed : dict of str to ObservedVm
        All VMs that have to be observed, by name.
    observers : dict of str to sequence of str
        Names of the nodes that observe each data centre. Every data centre
        of an observed VM has an entry.
    node : str
        Name of the node.

    Returns
    -------
    dict of str to str
        Address of the engine of each VM that the node polls, by name of
        the VM.
    """
    unit_sizes = {data_centre: {} for data_centre in observers}
    for vm in observed.values():
        sizes = unit_sizes[vm.data_centre]
        sizes[vm.unit] = sizes.get(vm.unit, 0) + 1
    assignments = {
        data_centre: _observers.plan_observers(unit_sizes[data_centre], nodes)
        for data_centre, nodes in observers.items()
        if node in nodes
    }
    return {
        name: vm.address
        for name, vm in observed.items()
        if assignments.get(vm.data_centre, {}).get(vm.unit) == node
    }


class PollFailureDetector:
    """Detector of unreachable VMs by consecutive failed polls.

    Parameters
    ----------
    failure_threshold : int
        Consecutive failed polls after which a VM is unreachable (count).
    """

    __slots__ = ('_failure_counts', '_failure_threshold')

    def __init__(self, failure_threshold):
        self._failure_counts = {}
        self._failure_threshold = failure_threshold

    def record_poll(self, vm, error):
        """Record the outcome of a poll and tell whether a VM is reachable.

        A poll that cannot connect, as when the connection is refused, is
        clear evidence and makes the VM unreachable at once. Other errors,
        such as a missing answer, are weaker evidence: the VM becomes
        unreachable only after the threshold of consecutive failed polls.

        Parameters
        ----------
        vm : str
            Name of the VM.
        error : balsamwind.exceptions.BalsamwindError or None
            Error with which the poll ended; None if the engine answered.

        Returns
        -------
        bool
            Whether the VM still counts as reachable.
        """
        if error is None:
            self.reset(vm)
            return True
        failures = self._failure_counts.get(vm, 0) + 1
        self._failure_counts[vm] = failures
        connect_failed = (
            isinstance(error, exceptions.TransportError) and not error.sent
        )
        return not connect_failed and failures < self._failure_threshold

    def reset(self, vm):
        """Reset the count of consecutive failed polls of a VM.

        Parameters
        ----------
        vm : str
            Name of the VM.
        """
        self._failure_counts.pop(vm, None)
