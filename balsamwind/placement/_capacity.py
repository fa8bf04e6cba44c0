"""VMs that a new group may use."""

from balsamwind import objects
from balsamwind import ports


class FreeVms:
    """Unclaimed VMs that are up, by fabric domain.

    Parameters
    ----------
    domains : dict of str to list of balsamwind.ports.ListedVm
        Fabric domain -> free VMs.
    cached : dict of str to frozenset of str
        VM -> ``model@version`` that it holds.
    """

    __slots__ = ('_cached', '_domains')

    def __init__(self, domains, cached):
        self._domains = domains
        self._cached = cached

    @property
    def domains(self):
        """Fabric domain -> free VMs."""
        return self._domains

    def holds(self, vm, model, version):
        """Whether `vm` already holds the weights."""
        return f'{model}@{version}' in self._cached.get(vm, ())

    def take(self, rows):
        """Remove VMs that a plan has used."""
        names = {row.name for row in rows}
        for domain, free in self._domains.items():
            self._domains[domain] = [v for v in free if v.name not in names]


def make_free_vms(data_centre, listed, catalogue, observations, now):
    """Free VMs of one data centre.

    Parameters
    ----------
    data_centre : str
        Which one.
    listed : dict of str to balsamwind.ports.ListedVm
        The VM list.
    catalogue : balsamwind.catalogue.Catalogue
        Claims and groups.
    observations : balsamwind.membership.Observations
        What is known of the VMs.
    now : float
        Monotonic time (seconds).
    """
    used = {stored.name for stored in catalogue.items('claim')}
    for stored in catalogue.items('group'):
        if stored.value.state is not objects.GroupState.RELEASING:
            used.update(stored.value.vms)
    domains = {}
    cached = {}
    for row in sorted(listed.values(), key=lambda row: row.name):
        if row.data_centre != data_centre or row.name in used:
            continue
        if row.state is not ports.VmState.LIVE:
            continue
        if not observations.is_up(row.name, now):
            continue
        domains.setdefault(row.fabric_domain, []).append(row)
        report = observations.get(row.name).report
        cached[row.name] = frozenset(report.cached if report else ())
    return FreeVms(domains, cached)
