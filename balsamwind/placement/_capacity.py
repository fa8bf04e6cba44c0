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
    coming : dict of str to list of balsamwind.ports.ListedVm
        Fabric domain -> VMs that a leaving group is about to give back.
    """

    __slots__ = ('_cached', '_coming', '_domains')

    def __init__(self, domains, cached, coming=None):
        self._domains = domains
        self._cached = cached
        self._coming = {} if coming is None else coming

    @property
    def domains(self):
        """Fabric domain -> free VMs."""
        return self._domains

    @property
    def coming(self):
        """Fabric domain -> VMs of leaving groups."""
        return self._coming

    def count(self, domain):
        """Free VMs of a fabric domain (count)."""
        return len(self._domains.get(domain, ()))

    def holds(self, vm, model, version):
        """Whether `vm` already holds the weights."""
        return f'{model}@{version}' in self._cached.get(vm, ())

    def missing(self, rows, terms):
        """VMs of `rows` that have to fetch the weights (count)."""
        return sum(
            not self.holds(row.name, terms.model, terms.version)
            for row in rows
        )

    def take(self, rows):
        """Remove VMs that a plan has used."""
        names = {row.name for row in rows}
        for domain in {row.fabric_domain for row in rows}:
            for pool in (self._domains, self._coming):
                if domain in pool:
                    pool[domain] = [
                        row for row in pool[domain] if row.name not in names
                    ]


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
    used, leaving = _find_used(catalogue)
    rows = [
        row
        for row in listed.values()
        if row.data_centre == data_centre
        and row.state is ports.VmState.LIVE
        and observations.is_up(row.name, now)
    ]
    domains = {}
    coming = {}
    cached = {}
    for row in sorted(rows, key=lambda row: row.name):
        report = observations.get(row.name).report
        cached[row.name] = frozenset(report.cached if report else ())
        if row.name not in used:
            domains.setdefault(row.fabric_domain, []).append(row)
        elif row.name in leaving:
            coming.setdefault(row.fabric_domain, []).append(row)
    return FreeVms(domains, cached, coming)


def _find_used(catalogue):
    """VMs that are claimed or about to be, and those of leaving groups."""
    used = {stored.name for stored in catalogue.items('claim')}
    kept = set()
    leaving = set()
    for stored in catalogue.items('group'):
        group = stored.value
        if group.leaving:
            leaving.update(group.vms)
        else:
            kept.update(group.vms)
        if group.state is not objects.GroupState.RELEASING:
            used.update(group.vms)
    return used, leaving - kept
