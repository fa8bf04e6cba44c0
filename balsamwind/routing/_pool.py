"""Candidate groups of one model, indexed for fast selection."""

import bisect

import xxhash

from balsamwind.routing import _prefixes

VIRTUAL_NODES = 16
"""Virtual nodes of each group on the hash ring (count)."""

MEAN_LOAD_SAMPLES = 64
"""Largest number of groups sampled to estimate the mean load (count)."""


class GroupPool:
    """Groups by data centre, with a consistent hash ring.

    The ring holds the groups of the local data centre, or those of the
    other data centres if there are no local ones.

    Parameters
    ----------
    groups : sequence of balsamwind.objects.Group
        Groups that may serve the model.
    data_centre : str
        Name of the local data centre.

    Attributes
    ----------
    groups : sequence of balsamwind.objects.Group
        All groups of the pool.
    by_name : dict of str to balsamwind.objects.Group
        Groups by name.
    local : list of balsamwind.objects.Group
        Groups in the local data centre.
    remote : list of balsamwind.objects.Group
        Groups in the other data centres.
    mean_load : float
        Estimated mean load of a group (count of requests).

    References
    ----------
    D. Karger et al., "Consistent hashing and random trees", Proceedings of
    the 29th ACM Symposium on Theory of Computing, 1997.
    """

    __slots__ = (
        '_owners',
        '_positions',
        'by_name',
        'groups',
        'local',
        'mean_load',
        'remote',
    )

    def __init__(self, groups, data_centre):
        self.groups = groups
        self.mean_load = 0.0
        self.by_name = {group.name: group for group in groups}
        self.local = [g for g in groups if g.data_centre == data_centre]
        self.remote = [g for g in groups if g.data_centre != data_centre]
        self._positions = []
        self._owners = []
        self._build_ring()

    def _build_ring(self):
        entries = sorted(
            (_hash_position(group, replica), group.name)
            for group in self.local or self.remote
            for replica in range(VIRTUAL_NODES)
        )
        self._positions = [position for position, _ in entries]
        self._owners = [name for _, name in entries]

    def update_mean_load(self, get_load, rng):
        """Estimate the mean load from a random sample of the groups.

        Parameters
        ----------
        get_load : callable
            Maps a group to its load (count of requests).
        rng : random.Random
            Source of randomness for the sample.
        """
        sample = self.groups
        if len(sample) > MEAN_LOAD_SAMPLES:
            sample = rng.sample(sample, MEAN_LOAD_SAMPLES)
        self.mean_load = sum(map(get_load, sample)) / len(sample)

    def find_owners(self, key, count):
        """Find the first distinct groups that follow a key on the ring.

        Parameters
        ----------
        key : int
            Hash of a prompt block.
        count : int
            Largest number of groups to return.

        Returns
        -------
        list of str
            Names of the groups in ring order.
        """
        names = []
        size = len(self._owners)
        start = bisect.bisect_left(self._positions, key)
        for offset in range(size):
            name = self._owners[(start + offset) % size]
            if name not in names:
                names.append(name)
                if len(names) >= count:
                    break
        return names


def _hash_position(group, replica):
    """Ring position of a virtual node, in the range of the block hashes."""
    digest = xxhash.xxh64_intdigest(group.name.encode(), replica)
    return digest >> _prefixes.HASH_SHIFT
