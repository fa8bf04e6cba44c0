"""VMs that are available for new groups and replacements."""

from balsamwind import objects
from balsamwind import ports


class FreeVms:
    """Unclaimed VMs of one data centre that are up, by fabric domain.

    Parameters
    ----------
    domains : dict of str to list of balsamwind.ports.ListedVm
        Fabric domain -> free VMs.
    cached : dict of str to frozenset of str
        Name of a VM -> ``model@version`` of the weights in its cache.
    pending_release : dict of str to list, optional
        Fabric domain -> VMs (`balsamwind.ports.ListedVm`) that groups in
        draining or releasing have not given up yet.
    """

    __slots__ = ('_cached', '_domains', '_pending_release')

    def __init__(self, domains, cached, pending_release=None):
        self._domains = domains
        self._cached = cached
        self._pending_release = (
            {} if pending_release is None else pending_release
        )

    @property
    def domains(self):
        """Fabric domain -> list of free VMs."""
        return self._domains

    @property
    def pending_release(self):
        """Fabric domain -> list of VMs of groups in draining or releasing."""
        return self._pending_release

    def count(self, domain):
        """Count the free VMs of a fabric domain.

        Parameters
        ----------
        domain : str
            Name of the fabric domain.

        Returns
        -------
        int
        """
        return len(self._domains.get(domain, ()))

    def has_weights(self, vm_name, model, version):
        """Check whether a VM has weights in its cache.

        Parameters
        ----------
        vm_name : str
            Name of the VM.
        model : str
            Name of the model.
        version : str
            Version of the weights.

        Returns
        -------
        bool
        """
        return f'{model}@{version}' in self._cached.get(vm_name, ())

    def count_missing(self, vms, weights):
        """Count the VMs that have to fetch weights from the weight store.

        Parameters
        ----------
        vms : iterable of balsamwind.ports.ListedVm
            VMs to check.
        weights : object
            Any object with the attributes `model` and `version`, such as
            `balsamwind.objects.ModelTerms` or `balsamwind.objects.Group`.

        Returns
        -------
        int
        """
        return sum(
            not self.has_weights(vm.name, weights.model, weights.version)
            for vm in vms
        )

    def remove(self, vms):
        """Remove VMs that a plan uses, so that no other plan selects them.

        Parameters
        ----------
        vms : collection of balsamwind.ports.ListedVm
            VMs to remove, free or pending release.
        """
        names = {vm.name for vm in vms}
        for domain in {vm.fabric_domain for vm in vms}:
            for vms_by_domain in (self._domains, self._pending_release):
                if domain in vms_by_domain:
                    vms_by_domain[domain] = [
                        vm
                        for vm in vms_by_domain[domain]
                        if vm.name not in names
                    ]


def make_free_vms(data_centre, listed, catalogue, observations, now):
    """Find the VMs of one data centre that placement may use.

    Parameters
    ----------
    data_centre : str
        Name of the data centre.
    listed : dict of str to balsamwind.ports.ListedVm
        Name of a VM -> its row of the VM list.
    catalogue : balsamwind.catalogue.ObjectCache
        Stored claims and groups.
    observations : balsamwind.membership.Observations
        Health and last engine report of the VMs.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    FreeVms
        VMs that are live and up. VMs in a fabric domain are sorted by name.
    """
    unavailable, leaving = _find_unavailable(catalogue)
    vms = [
        vm
        for vm in listed.values()
        if vm.data_centre == data_centre
        and vm.state is ports.VmState.LIVE
        and observations.is_up(vm.name, now)
    ]
    domains = {}
    pending_release = {}
    cached = {}
    for vm in sorted(vms, key=lambda vm: vm.name):
        report = observations.get(vm.name).report
        cached[vm.name] = frozenset(report.cached if report else ())
        if vm.name not in unavailable:
            domains.setdefault(vm.fabric_domain, []).append(vm)
        elif vm.name in leaving:
            pending_release.setdefault(vm.fabric_domain, []).append(vm)
    return FreeVms(domains, cached, pending_release)


def _find_unavailable(catalogue):
    """Find the VMs that groups use now or are about to claim.

    Returns
    -------
    unavailable : set of str
        VMs with a claim, and members of groups that are not in releasing:
        these may be about to be claimed. A group in releasing occupies only
        the VMs that still have a claim.
    leaving : set of str
        Members of groups in draining or releasing that belong to no other
        group.
    """
    unavailable = {stored.name for stored in catalogue.list_objects('claim')}
    kept = set()
    leaving = set()
    for stored in catalogue.list_objects('group'):
        group = stored.value
        if group.leaving:
            leaving.update(group.vms)
        else:
            kept.update(group.vms)
        if group.state is not objects.GroupState.RELEASING:
            unavailable.update(group.vms)
    return unavailable, leaving - kept
