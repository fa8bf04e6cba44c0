"""Choice of a replica group for one request."""

import contextlib
import dataclasses
import random

from balsamwind import objects
from balsamwind.routing import _health
from balsamwind.routing import _loads
from balsamwind.routing import _pool
from balsamwind.routing import _prefixes

ROUND_TRIP = 0.004
"""Round trip to another data centre (seconds)."""

BLOCK_TOKENS = _prefixes.BLOCK_SIZE / 4.0
"""Tokens of one prompt block (count)."""

NEAR_SAMPLES = 2
"""Groups of the own data centre drawn for a choice (count)."""

FAR_SAMPLES = 1
"""Groups of other data centres drawn for a choice (count)."""

HOMES = 2
"""Groups on the hash ring that a prefix is sent to (count)."""

LOAD_BOUND = 2.0
"""A group whose load is over the mean by this share, and by one request,
is not chosen for its cache."""

NEAR_EQUAL = 0.002
"""Difference of expected times that is left to chance (seconds)."""

MAX_SPARE = 8
"""Groups compared where no drawn one will do (count)."""

HOME_CREDIT = 0.5
"""Part of the prefilling that the first home of a prefix is spared, in
expectation that others sent the prefix there."""

PREFILL_WEIGHT = 3.0
"""Weight of the prefilling against the wait: it also delays the requests
behind it and takes the place of other prefixes in the cache."""

MAX_POOLS = 1000
"""Pools kept (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """A group for a request.

    Parameters
    ----------
    group : balsamwind.objects.Group
        The group.
    wait : float
        Expected time until the request is prefilled (seconds).
    prefill : float
        Expected time of the prefilling (seconds).
    tokens : float
        Prompt tokens that are not in the group's cache (count).
    """

    group: objects.Group
    wait: float
    prefill: float
    tokens: float


def make_router(data_centre, load_report, random_state):
    """Build a router for a node in `data_centre`.

    Parameters
    ----------
    data_centre : str
        Own data centre.
    load_report : callable
        Group -> last report of its head, or None.
    random_state : int
        Seed.
    """
    return Router(
        data_centre,
        _loads.LoadTable(load_report),
        _health.HealthTable(),
        _prefixes.PrefixIndex(),
        random.Random(random_state),
    )


class Router:
    """Chooses the group with the shortest expected time to first token.

    Few groups are compared for a request: those that hold its prefix, the
    homes of the prefix on a hash ring, two random groups of the own data
    centre and one of another. So the cost of a choice hardly grows with
    the fleet, and nodes with the same stale reports do not all choose the
    same group.

    Parameters
    ----------
    data_centre : str
        Own data centre.
    loads : LoadTable
        Expected waits.
    health : HealthTable
        Stragglers and sick groups.
    prefixes : PrefixIndex
        What the groups have in their caches.
    rng : random.Random
        Source of chance.

    Attributes
    ----------
    on_ejection : callable or None
        Told the names of the groups that were ejected.

    References
    ----------
    M. Mitzenmacher, "The power of two choices in randomized load
    balancing", IEEE Transactions on Parallel and Distributed Systems
    12(10), 2001.

    V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with
    bounded loads", Proceedings of the 29th ACM-SIAM Symposium on Discrete
    Algorithms, 2018.
    """

    __slots__ = (
        '_data_centre',
        '_pools',
        '_rng',
        'health',
        'loads',
        'on_ejection',
        'prefixes',
    )

    def __init__(self, data_centre, loads, health, prefixes, rng):
        self._data_centre = data_centre
        self._rng = rng
        self._pools = {}
        self.on_ejection = None
        self.loads = loads
        self.health = health
        self.prefixes = prefixes

    @property
    def in_flight(self):
        """Requests sent and not yet answered, over all groups (count)."""
        return self.loads.in_flight

    def hash_prompt(self, request):
        """Hashes of the leading blocks of a request's prompt."""
        return _prefixes.hash_blocks(request.model, request.prompt)

    def choose(self, groups, blocks, now, excluded=()):
        """Choose a group.

        Parameters
        ----------
        groups : sequence of balsamwind.objects.Group
            Complete groups.
        blocks : tuple of int
            Hashes of the prompt's leading blocks.
        now : float
            Monotonic time (seconds).
        excluded : container of str
            Groups tried before; used again only if there is no other.

        Returns
        -------
        Choice or None
        """
        if not groups:
            return None
        pool = self._find_pool(groups, now)
        names = self._candidates(pool, blocks, now, excluded)
        if not names:
            names = self._any(pool, now, excluded)
        return self._pick(pool, names, blocks)

    def expected_wait(self, group, blocks, now):
        """Expected time until a request at `group` is prefilled."""
        del now
        return self._estimate(group, blocks)[0]

    def admit(self, group, blocks):
        """Choice of a given group; its cache will hold `blocks`."""
        choice = self._make_choice(group, blocks)
        self.prefixes.note_sent(group.name, group.generation, blocks)
        return choice

    def forget(self, name):
        """Drop all that is known of a group that is gone."""
        self.loads.forget(name)
        self.health.forget(name)
        self.prefixes.forget(name)

    def note_failure(self, group, now):
        """Note that an attempt at `group` failed."""
        del now
        self.health.note_failure(group.name)

    @contextlib.contextmanager
    def track(self, choice, now):
        """Count one request against its group until the block ends."""
        tracker = _Tracker(self.health, self.loads, choice, now)
        try:
            yield tracker
        finally:
            tracker.close()
            self.loads.finish(choice.group, tracker.answer_time)

    def _find_pool(self, groups, now):
        key = groups[0].name
        pool = self._pools.get(key)
        if pool is not None and pool.groups is groups:
            return pool
        if pool is None or pool.groups != groups:
            if len(self._pools) >= MAX_POOLS:
                self._pools.clear()
            pool = _pool.Pool(groups, self._data_centre)
            self._pools[key] = pool
        pool.groups = groups
        ejected = self.health.evaluate(key, pool.by_name, now)
        if ejected and self.on_ejection is not None:
            self.on_ejection(ejected)
        pool.measure(self.loads.load, self._rng)
        return pool

    def _candidates(self, pool, blocks, now, excluded):
        names = self._draw(pool.near, NEAR_SAMPLES)
        names += self._draw(pool.far, FAR_SAMPLES if pool.near else 2)
        if blocks:
            bound = pool.mean_load * (1.0 + LOAD_BOUND) + 1.0
            names += self._affine(pool, blocks, bound)
        return [
            name
            for name in dict.fromkeys(names)
            if name not in excluded
            and self.health.admits(name, now, self._rng)
        ]

    def _any(self, pool, now, excluded):
        """Some groups, where no drawn one will do."""
        names = list(pool.by_name)
        fresh = [name for name in names if name not in excluded] or names
        admitted = [
            name for name in fresh if self.health.admits(name, now, self._rng)
        ]
        start = int(self._rng.random() * len(fresh))
        return admitted[:MAX_SPARE] or [fresh[start]]

    def _draw(self, groups, count):
        size = len(groups)
        if size <= count:
            return [group.name for group in groups]
        draw = self._rng.random
        return [groups[int(draw() * size)].name for _ in range(count)]

    def _affine(self, pool, blocks, bound):
        names = self.prefixes.holders(blocks)
        names += pool.homes(blocks[0], HOMES)
        return [
            name
            for name in names
            if name in pool.by_name
            and self.loads.load(pool.by_name[name]) <= bound
        ]

    def _pick(self, pool, names, blocks):
        best = None
        best_time = 0.0
        home = pool.homes(blocks[0], 1)[0] if blocks else None
        for name in names:
            group = pool.by_name[name]
            wait, prefill, _ = self._estimate(group, blocks)
            time = wait + self._rng.random() * NEAR_EQUAL
            share = 1.0 - HOME_CREDIT if name == home else 1.0
            time += prefill * PREFILL_WEIGHT * share
            if best is None or time < best_time:
                best, best_time = group, time
        return self._make_choice(best, blocks)

    def _make_choice(self, group, blocks):
        return Choice(group, *self._estimate(group, blocks))

    def _estimate(self, group, blocks):
        """Wait, time of prefilling (seconds), tokens to prefill."""
        name = group.name
        depth = self.prefixes.depth(name, blocks) if blocks else 0
        tokens = (len(blocks) - depth) * BLOCK_TOKENS
        slowdown = self.health.slowdown(name)
        wait, rate = self.loads.estimate(group)
        wait *= slowdown
        if group.data_centre != self._data_centre:
            wait += ROUND_TRIP
        return wait, tokens / rate * slowdown, tokens


class _Tracker:
    """One request at a group, as its tokens come."""

    __slots__ = (
        '_choice',
        '_count',
        '_first_at',
        '_health',
        '_last_at',
        '_loads',
        '_report',
        '_started_at',
    )

    def __init__(self, health, loads, choice, now):
        self._health = health
        self._loads = loads
        self._report = loads.start(choice.group, choice.tokens)
        self._choice = choice
        self._started_at = now
        self._first_at = None
        self._last_at = None
        self._count = 0

    @property
    def answer_time(self):
        """Time until the last token (seconds); None if none came."""
        if self._last_at is None:
            return None
        return self._last_at - self._started_at

    def note_tokens(self, count, now):
        """Note that tokens came."""
        if self._first_at is None:
            self._first_at = now
            self._note_first(now - self._started_at)
        self._last_at = now
        self._count += count

    def _note_prefilled(self):
        choice = self._choice
        self._loads.note_prefilled(choice.group, choice.tokens, self._report)

    def _note_first(self, seconds):
        self._note_prefilled()
        name = self._choice.group.name
        slowdown = self._health.slowdown(name)
        expected = (self._choice.wait + self._choice.prefill) / slowdown
        self._health.note_first_token(name, seconds / max(expected, 0.02))

    def close(self):
        """Note the mean time between the tokens."""
        if self._first_at is None:
            self._note_prefilled()
        if self._count > 1 and self._last_at > self._first_at:
            gap = (self._last_at - self._first_at) / (self._count - 1)
            self._health.note_gap(self._choice.group.name, gap)
