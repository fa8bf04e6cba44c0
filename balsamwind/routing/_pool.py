"""Groups that serve one model, arranged for quick choices."""

import bisect

import xxhash

from balsamwind.routing import _prefixes

VIRTUAL_NODES = 16
"""Points of one group on the hash ring (count)."""

MEAN_SAMPLES = 64
"""Groups from which the mean load is estimated (count)."""


class Pool:
    """Groups by data centre, and a hash ring over the near ones.

    Parameters
    ----------
    groups : sequence of balsamwind.objects.Group
        Groups that may serve.
    data_centre : str
        Own data centre.

    References
    ----------
    D. Karger et al., "Consistent hashing and random trees", Proceedings of
    the 29th ACM Symposium on Theory of Computing, 1997.
    """

    __slots__ = (
        '_points',
        '_ring',
        'by_name',
        'far',
        'groups',
        'mean_load',
        'near',
    )

    def __init__(self, groups, data_centre):
        self.groups = groups
        self.mean_load = 0.0
        self.by_name = {group.name: group for group in groups}
        self.near = [g for g in groups if g.data_centre == data_centre]
        self.far = [g for g in groups if g.data_centre != data_centre]
        self._points = []
        self._ring = []
        self._make_ring()

    def _make_ring(self):
        points = sorted(
            (_make_point(group, number), group.name)
            for group in self.near or self.far
            for number in range(VIRTUAL_NODES)
        )
        self._points = [point for point, _ in points]
        self._ring = [name for _, name in points]

    def measure(self, load, rng):
        """Estimate the mean of `load` from some of the groups."""
        sample = self.groups
        if len(sample) > MEAN_SAMPLES:
            sample = rng.sample(sample, MEAN_SAMPLES)
        self.mean_load = sum(map(load, sample)) / len(sample)

    def homes(self, key, count):
        """First `count` groups on the ring after `key`, as names."""
        names = []
        size = len(self._ring)
        start = bisect.bisect_left(self._points, key)
        for offset in range(size):
            name = self._ring[(start + offset) % size]
            if name not in names:
                names.append(name)
                if len(names) >= count:
                    break
        return names


def _make_point(group, number):
    """Place on the ring, over the same range as the hashes of blocks."""
    digest = xxhash.xxh64_intdigest(group.name.encode(), number)
    return digest >> _prefixes.HASH_SHIFT
