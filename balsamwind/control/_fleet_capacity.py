"""Usable VMs of each fabric domain, and the demands they are reserved for."""

from balsamwind import ports


def is_unavailable(view, vm):
    """Whether a VM is leaving or confirmed to be down.

    Parameters
    ----------
    view : View
        Input of the control round.
    vm : str
        Name of the VM.
    """
    row = view.listed.get(vm)
    if row is not None and row.state is ports.VmState.LEAVING:
        return True
    confirm_time = view.settings.placement.confirm_time
    return view.observations.down_duration(vm, view.now) > confirm_time


def count_capacity(view):
    """Count the usable VMs of each fabric domain.

    Parameters
    ----------
    view : View
        Input of the control round.

    Returns
    -------
    FleetCapacity
    """
    usable = {}
    cached_counts = {}
    down = 0
    leaving = 0
    for row in view.listed.values():
        key = row.data_centre, row.fabric_domain
        usable.setdefault(key, 0)
        if row.state is ports.VmState.LEAVING:
            leaving += 1
        elif is_unavailable(view, row.name):
            down += 1
        else:
            usable[key] += 1
            if view.catalogue.get('claim', row.name) is None:
                _count_cached(
                    view, row.name, cached_counts.setdefault(key, {})
                )
    return FleetCapacity(usable, down, leaving, cached_counts)


def _count_cached(view, vm, counts):
    vm_view = view.observations.get(vm)
    if vm_view is not None and vm_view.report is not None:
        for weights in vm_view.report.cached:
            counts[weights] = counts.get(weights, 0) + 1


class FleetCapacity:
    """Usable VMs of each fabric domain that are not reserved yet.

    Parameters
    ----------
    usable : dict of (str, str) to int
        Data centre and fabric domain -> usable VMs (count).
    down : int
        VMs confirmed to be down (count).
    leaving : int
        VMs that are leaving (count).
    cached_counts : dict of (str, str) to dict of str to int, optional
        Data centre and fabric domain -> ``model@version`` -> unclaimed VMs
        that have these weights cached (count).
    """

    __slots__ = (
        '_available',
        '_cached_counts',
        '_reservations',
        'down',
        'leaving',
    )

    def __init__(self, usable, down=0, leaving=0, cached_counts=None):
        self._cached_counts = {} if cached_counts is None else cached_counts
        self._available = dict(sorted(usable.items()))
        self._reservations = {}
        self.down = down
        self.leaving = leaving

    def reserve(self, key, size, demand):
        """Reserve VMs of one fabric domain for one replica of a demand.

        Parameters
        ----------
        key : (str, str)
            Data centre and fabric domain.
        size : int
            VMs to reserve (count).
        demand : _Demand
            Demand that the VMs are reserved for.

        Returns
        -------
        bool
            False, with nothing reserved, if too few VMs are available.
        """
        if self._available.get(key, 0) < size:
            return False
        self._available[key] -= size
        self._reservations.setdefault(key, []).append((demand, size))
        return True

    def find_largest_domain(self, data_centre, size):
        """Find the fabric domain of a data centre with most available VMs.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        size : int
            VMs that the domain must have available (count).

        Returns
        -------
        (str, str) or None
            Data centre and fabric domain; None if no domain has enough VMs.
        """
        candidates = [
            (count, key)
            for key, count in self._available.items()
            if key[0] == data_centre and count >= size
        ]
        return max(candidates)[1] if candidates else None

    def choose_domain(self, terms):
        """Choose the fabric domain for a new group.

        Prefers the domain where most members of the group would have the
        weights cached, then a domain of the data centre where most complete
        groups fit, then the domain with most available VMs.

        Parameters
        ----------
        terms : balsamwind.objects.ModelTerms
            Model, version and size of the group.

        Returns
        -------
        (str, str) or None
            Data centre and fabric domain; None if no domain has enough VMs.
        """
        size = terms.group_size
        weights = f'{terms.model}@{terms.version}'
        group_slots = {}
        for (data_centre, _), count in self._available.items():
            group_slots[data_centre] = (
                group_slots.get(data_centre, 0) + count // size
            )
        candidates = [key for key, n in self._available.items() if n >= size]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda key: (
                -min(self._cached_counts.get(key, {}).get(weights, 0), size),
                -group_slots[key[0]],
                key[0],
                -self._available[key],
                key,
            ),
        )

    def preempt(self, size, demand):
        """Release reservations of lower priority in one fabric domain.

        Chooses the fabric domain where the highest priority that is
        preempted is lowest, then the one where fewest VMs are released.

        Parameters
        ----------
        size : int
            VMs that must be available afterwards (count).
        demand : _Demand
            Demand that preempts the others.

        Returns
        -------
        (str, str) or None
            Data centre and fabric domain that now has enough VMs; None if
            preemption cannot free enough VMs in any domain.
        """
        best = None
        for key in self._available:
            victims = self._find_victims(key, size, demand.priority)
            if victims is None:
                continue
            highest = max(victim.priority for victim, _ in victims)
            released = sum(size for _, size in victims)
            if best is None or (highest, released, key) < best[:3]:
                best = (highest, released, key, victims)
        if best is None:
            return None
        _, _, key, victims = best
        for reservation in victims:
            self._release(key, reservation, demand.contract)
        return key

    def _find_victims(self, key, size, priority):
        """Find the reservations to preempt, lowest priority first.

        Returns None if there are none, or if preempting all of them would
        not make `size` VMs available.
        """
        reservations = self._reservations.get(key, ())
        lower = [pair for pair in reservations if pair[0].priority < priority]
        lower.sort(key=lambda pair: (pair[0].priority, pair[0].key))
        available = self._available[key]
        victims = []
        for pair in lower:
            if available >= size:
                break
            victims.append(pair)
            available += pair[1]
        return victims if available >= size and victims else None

    def _release(self, key, reservation, preemptor):
        demand, size = reservation
        self._reservations[key].remove(reservation)
        self._available[key] += size
        demand.remove(key[0], preemptor)
