"""Usable VMs of the fleet, and which contract each part is kept for."""

from balsamwind import ports


def is_lost(view, vm):
    """Whether a VM is leaving or confirmed to be down."""
    row = view.listed.get(vm)
    if row is not None and row.state is ports.VmState.LEAVING:
        return True
    wait = view.settings.placement.confirm_time
    return view.observations.down_for(vm, view.now) > wait


def make_room(view):
    """Count the usable VMs of each fabric domain."""
    domains = {}
    holders = {}
    down = 0
    leaving = 0
    for row in view.listed.values():
        key = row.data_centre, row.fabric_domain
        domains.setdefault(key, 0)
        if row.state is ports.VmState.LEAVING:
            leaving += 1
        elif is_lost(view, row.name):
            down += 1
        else:
            domains[key] += 1
            if view.catalogue.get('claim', row.name) is None:
                _count_held(view, row.name, holders.setdefault(key, {}))
    return Room(domains, down, leaving, holders)


def _count_held(view, vm, held):
    seen = view.observations.get(vm)
    if seen is not None and seen.report is not None:
        for weights in seen.report.cached:
            held[weights] = held.get(weights, 0) + 1


class Room:
    """Usable VMs of each fabric domain, less those that are taken.

    Parameters
    ----------
    domains : dict of (str, str) to int
        Data centre and fabric domain -> usable VMs (count).
    down, leaving : int
        VMs that are not usable (count).
    holders : dict of (str, str) to dict of str to int, optional
        Data centre and fabric domain -> ``model@version`` -> unclaimed VMs
        that hold it (count).
    """

    __slots__ = ('_domains', '_holders', '_taken', 'down', 'leaving')

    def __init__(self, domains, down=0, leaving=0, holders=None):
        self._holders = {} if holders is None else holders
        self._domains = dict(sorted(domains.items()))
        self._taken = {}
        self.down = down
        self.leaving = leaving

    def take(self, key, size, demand):
        """Keep `size` VMs of a fabric domain; whether there were enough."""
        if self._domains.get(key, 0) < size:
            return False
        self._domains[key] -= size
        self._taken.setdefault(key, []).append((demand, size))
        return True

    def fullest(self, data_centre, size):
        """Fabric domain of a data centre with most room, or None."""
        fitting = [
            (count, key)
            for key, count in self._domains.items()
            if key[0] == data_centre and count >= size
        ]
        return max(fitting)[1] if fitting else None

    def best(self, terms):
        """Fabric domain for a new group, or None.

        The one where most of the group's members would hold the weights,
        then one of the data centre where most groups fit, then the fullest.
        """
        size = terms.group_size
        weights = f'{terms.model}@{terms.version}'
        whole = {}
        for (data_centre, _), count in self._domains.items():
            whole[data_centre] = whole.get(data_centre, 0) + count // size
        fitting = [key for key, n in self._domains.items() if n >= size]
        if not fitting:
            return None
        return min(
            fitting,
            key=lambda key: (
                -min(self._holders.get(key, {}).get(weights, 0), size),
                -whole[key[0]],
                key[0],
                -self._domains[key],
                key,
            ),
        )

    def preempt(self, size, demand):
        """Make room in place of contracts with a lower priority.

        Gives up as little as possible: the fabric domain where the highest
        priority given up is lowest, then where fewest VMs are.

        Returns
        -------
        (str, str) or None
            Fabric domain that now has room.
        """
        best = None
        for key in self._domains:
            victims = self._find_victims(key, size, demand.priority)
            if victims is None:
                continue
            highest = max(victim.priority for victim, _ in victims)
            given = sum(size for _, size in victims)
            if best is None or (highest, given, key) < best[:3]:
                best = (highest, given, key, victims)
        if best is None:
            return None
        _, _, key, victims = best
        for taken in victims:
            self._give_back(key, taken, demand.contract)
        return key

    def _find_victims(self, key, size, priority):
        """What to give up in a fabric domain, lowest priority first."""
        taken = self._taken.get(key, ())
        lower = [pair for pair in taken if pair[0].priority < priority]
        lower.sort(key=lambda pair: (pair[0].priority, pair[0].key))
        room = self._domains[key]
        victims = []
        for pair in lower:
            if room >= size:
                break
            victims.append(pair)
            room += pair[1]
        return victims if room >= size and victims else None

    def _give_back(self, key, taken, taker):
        demand, size = taken
        self._taken[key].remove(taken)
        self._domains[key] += size
        demand.remove(key[0], taker)
