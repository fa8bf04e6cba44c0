"""Selection of a replica group for one request."""

import contextlib
import dataclasses
import random

from balsamwind import objects
from balsamwind.routing import _health
from balsamwind.routing import _loads
from balsamwind.routing import _pool
from balsamwind.routing import _prefixes

REMOTE_ROUND_TRIP = 0.004
"""Network round trip to another data centre (seconds)."""

TOKENS_PER_BLOCK = _prefixes.BLOCK_SIZE / 4.0
"""Estimated tokens of a prompt block, at four characters each (count)."""

LOCAL_SAMPLES = 2
"""Groups of the local data centre sampled for a request (count)."""

REMOTE_SAMPLES = 1
"""Groups of other data centres sampled for a request (count)."""

OWNERS_PER_PREFIX = 2
"""Groups on the hash ring that are candidates for a prefix (count)."""

LOAD_BOUND = 2.0
"""Fraction by which the load of a group may exceed the mean load, in addition
to one request, for the group to be a candidate because of its cache."""

TIE_BREAK_JITTER = 0.002
"""Largest random time added to the cost of a candidate, so that the choice
among nearly equal ones is random (seconds)."""

MAX_FALLBACK_CANDIDATES = 8
"""Largest number of groups compared if no regular candidate is eligible
(count)."""

OWNER_PREFILL_DISCOUNT = 0.5
"""Fraction of the prefill time that is not charged to the first owner of a
prefix on the hash ring, because other nodes have probably sent the prefix
there."""

PREFILL_WEIGHT = 3.0
"""Weight of the prefill time relative to the wait. Prefill also delays the
requests queued behind it and displaces other prefixes from the cache."""

MAX_POOLS = 1000
"""Largest number of pools that are kept (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """Group selected for a request, with the expected cost.

    Parameters
    ----------
    group : balsamwind.objects.Group
        The selected group.
    wait : float
        Expected delay of the first token without the prefill of the request
        itself (seconds).
    prefill_time : float
        Expected time to prefill the prompt (seconds).
    prefill_tokens : float
        Prompt tokens that are not in the group's cache (count).
    """

    group: objects.Group
    wait: float
    prefill_time: float
    prefill_tokens: float


def make_router(data_centre, get_load_report, random_state):
    """Build a router for a node.

    Parameters
    ----------
    data_centre : str
        Data centre of the node.
    get_load_report : callable
        Maps a group to the last load report of its head, or to None.
    random_state : int
        Seed of the random number generator.

    Returns
    -------
    Router
    """
    return Router(
        data_centre,
        _loads.LoadEstimator(get_load_report),
        _health.OutlierDetector(),
        _prefixes.PrefixIndex(),
        random.Random(random_state),
    )


class Router:
    """Selects the group with the shortest expected time to first token.

    Only a few candidates are compared for a request: the groups that have
    its prefix cached, the owners of the prefix on a hash ring, two random
    groups of the local data centre and one of another. The cost of a choice
    therefore hardly grows with the number of groups, and nodes with the same
    stale reports do not all select the same group.

    Parameters
    ----------
    data_centre : str
        Name of the local data centre.
    load_estimator : LoadEstimator
        Estimates the load and the wait of each group.
    outlier_detector : OutlierDetector
        Tracks the health of the groups and ejects outliers.
    prefix_index : PrefixIndex
        Prompt prefixes that the groups have cached.
    rng : random.Random
        Source of randomness.

    Attributes
    ----------
    on_ejection : callable or None
        Called with the list of the names of newly ejected groups.

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
        'load_estimator',
        'on_ejection',
        'outlier_detector',
        'prefix_index',
    )

    def __init__(
        self, data_centre, load_estimator, outlier_detector, prefix_index, rng
    ):
        self._data_centre = data_centre
        self._rng = rng
        self._pools = {}
        self.on_ejection = None
        self.load_estimator = load_estimator
        self.outlier_detector = outlier_detector
        self.prefix_index = prefix_index

    @property
    def in_flight(self):
        """Own requests without a complete answer, over all groups (count)."""
        return self.load_estimator.in_flight

    def hash_prompt(self, request):
        """Hash the leading blocks of a request's prompt.

        Parameters
        ----------
        request : balsamwind.requests.CompletionRequest
            The request.

        Returns
        -------
        tuple of int
            Hashes of the blocks.
        """
        return _prefixes.hash_blocks(request.model, request.prompt)

    def choose(self, groups, blocks, now, excluded=()):
        """Select a group for a request.

        Parameters
        ----------
        groups : sequence of balsamwind.objects.Group
            Groups that serve the model, with all members. A new sequence
            object marks an update: the router then evaluates outliers and
            the mean load again.
        blocks : tuple of int
            Hashes of the prompt's leading blocks.
        now : float
            Monotonic time (seconds).
        excluded : container of str
            Names of the groups that were tried before. They are selected
            only if there is no other group.

        Returns
        -------
        Choice or None
            None if there are no groups.
        """
        if not groups:
            return None
        pool = self._get_pool(groups, now)
        names = self._select_candidates(pool, blocks, now, excluded)
        if not names:
            names = self._select_fallback(pool, now, excluded)
        return self._choose_cheapest(pool, names, blocks)

    def estimate_wait(self, group, blocks, now):
        """Estimate the wait of a request at a given group.

        Parameters
        ----------
        group : balsamwind.objects.Group
            The group.
        blocks : tuple of int
            Hashes of the prompt's leading blocks.
        now : float
            Monotonic time (seconds); not used.

        Returns
        -------
        float
            Expected delay of the first token without the prefill of the
            request itself (seconds).
        """
        del now
        return self._estimate_cost(group, blocks)[0]

    def assign(self, group, blocks):
        """Assign a request to a given group.

        The blocks are added to the index of the group's cache.

        Parameters
        ----------
        group : balsamwind.objects.Group
            The group.
        blocks : tuple of int
            Hashes of the prompt's leading blocks.

        Returns
        -------
        Choice
            The group with the cost expected before the assignment.
        """
        choice = self._make_choice(group, blocks)
        self.prefix_index.record_prefill(group.name, group.generation, blocks)
        return choice

    def remove_group(self, name):
        """Discard the state of a deleted group.

        Parameters
        ----------
        name : str
            Name of the group.
        """
        self.load_estimator.remove_group(name)
        self.outlier_detector.remove_group(name)
        self.prefix_index.remove_group(name)

    def record_failure(self, group, now):
        """Record a failed attempt.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Group at which the attempt failed.
        now : float
            Monotonic time (seconds); not used.
        """
        del now
        self.outlier_detector.record_failure(group.name)

    @contextlib.contextmanager
    def track(self, choice, now):
        """Count a request in the load of its group while the block runs.

        Parameters
        ----------
        choice : Choice
            Group of the request, with the expected cost.
        now : float
            Monotonic time of the start (seconds).

        Yields
        ------
        object
            Tracker; its method `record_tokens` records received tokens.
        """
        tracker = _RequestTracker(
            self.outlier_detector, self.load_estimator, choice, now
        )
        try:
            yield tracker
        finally:
            tracker.close()
            self.load_estimator.finish_request(
                choice.group, tracker.response_time
            )

    def _get_pool(self, groups, now):
        """Get the pool of the groups; refresh it if they were updated.

        The hash ring is rebuilt only if the content of the sequence differs.
        """
        key = groups[0].name
        pool = self._pools.get(key)
        if pool is not None and pool.groups is groups:
            return pool
        if pool is None or pool.groups != groups:
            if len(self._pools) >= MAX_POOLS:
                self._pools.clear()
            pool = _pool.GroupPool(groups, self._data_centre)
            self._pools[key] = pool
        pool.groups = groups
        ejected = self.outlier_detector.eject_outliers(key, pool.by_name, now)
        if ejected and self.on_ejection is not None:
            self.on_ejection(ejected)
        pool.update_mean_load(self.load_estimator.estimate_load, self._rng)
        return pool

    def _select_candidates(self, pool, blocks, now, excluded):
        """Names of sampled groups and of groups for the prompt's prefix.

        Two remote groups are sampled if there is no local one.
        """
        names = self._sample_names(pool.local, LOCAL_SAMPLES)
        names += self._sample_names(
            pool.remote, REMOTE_SAMPLES if pool.local else 2
        )
        if blocks:
            max_load = pool.mean_load * (1.0 + LOAD_BOUND) + 1.0
            names += self._select_for_prefix(pool, blocks, max_load)
        return [
            name
            for name in dict.fromkeys(names)
            if name not in excluded
            and self.outlier_detector.admits(name, now, self._rng)
        ]

    def _select_fallback(self, pool, now, excluded):
        """Names of groups to compare if no regular candidate is eligible.

        Excluded groups are used only if there are no others. If none is
        admitted by the outlier detector, a random one is used.
        """
        names = list(pool.by_name)
        untried = [name for name in names if name not in excluded] or names
        admitted = [
            name
            for name in untried
            if self.outlier_detector.admits(name, now, self._rng)
        ]
        index = int(self._rng.random() * len(untried))
        return admitted[:MAX_FALLBACK_CANDIDATES] or [untried[index]]

    def _sample_names(self, groups, count):
        """Names of random groups, drawn with replacement."""
        size = len(groups)
        if size <= count:
            return [group.name for group in groups]
        draw = self._rng.random
        return [groups[int(draw() * size)].name for _ in range(count)]

    def _select_for_prefix(self, pool, blocks, max_load):
        """Names of the holders and ring owners of a prefix within a load."""
        names = self.prefix_index.find_holders(blocks)
        names += pool.find_owners(blocks[0], OWNERS_PER_PREFIX)
        return [
            name
            for name in names
            if name in pool.by_name
            and self.load_estimator.estimate_load(pool.by_name[name])
            <= max_load
        ]

    def _choose_cheapest(self, pool, names, blocks):
        best = None
        best_cost = 0.0
        owner = pool.find_owners(blocks[0], 1)[0] if blocks else None
        for name in names:
            group = pool.by_name[name]
            wait, prefill_time, _ = self._estimate_cost(group, blocks)
            cost = wait + self._rng.random() * TIE_BREAK_JITTER
            share = 1.0 - OWNER_PREFILL_DISCOUNT if name == owner else 1.0
            cost += prefill_time * PREFILL_WEIGHT * share
            if best is None or cost < best_cost:
                best, best_cost = group, cost
        return self._make_choice(best, blocks)

    def _make_choice(self, group, blocks):
        return Choice(group, *self._estimate_cost(group, blocks))

    def _estimate_cost(self, group, blocks):
        """Wait and prefill time (seconds), and tokens to prefill (count)."""
        name = group.name
        cached_blocks = (
            self.prefix_index.count_cached_blocks(name, blocks)
            if blocks
            else 0
        )
        tokens = (len(blocks) - cached_blocks) * TOKENS_PER_BLOCK
        slowdown = self.outlier_detector.get_slowdown(name)
        wait, rate = self.load_estimator.estimate_wait(group)
        wait *= slowdown
        if group.data_centre != self._data_centre:
            wait += REMOTE_ROUND_TRIP
        return wait, tokens / rate * slowdown, tokens


class _RequestTracker:
    """Measures the latency of one request at a group.

    Parameters
    ----------
    outlier_detector : OutlierDetector
        Receives the measured latencies.
    load_estimator : LoadEstimator
        Counts the request in the load of its group.
    choice : Choice
        Group of the request, with the expected cost.
    now : float
        Monotonic time of the start (seconds).
    """

    __slots__ = (
        '_choice',
        '_first_token_at',
        '_last_token_at',
        '_load_estimator',
        '_outlier_detector',
        '_report',
        '_started_at',
        '_token_count',
    )

    def __init__(self, outlier_detector, load_estimator, choice, now):
        self._outlier_detector = outlier_detector
        self._load_estimator = load_estimator
        self._report = load_estimator.start_request(
            choice.group, choice.prefill_tokens
        )
        self._choice = choice
        self._started_at = now
        self._first_token_at = None
        self._last_token_at = None
        self._token_count = 0

    @property
    def response_time(self):
        """Time until the last token (seconds); None if none was received."""
        if self._last_token_at is None:
            return None
        return self._last_token_at - self._started_at

    def record_tokens(self, count, now):
        """Record received tokens.

        Parameters
        ----------
        count : int
            Number of tokens.
        now : float
            Monotonic time of the receipt (seconds).
        """
        if self._first_token_at is None:
            self._first_token_at = now
            self._record_first_token(now - self._started_at)
        self._last_token_at = now
        self._token_count += count

    def _record_prefill_done(self):
        choice = self._choice
        self._load_estimator.record_prefill_done(
            choice.group, choice.prefill_tokens, self._report
        )

    def _record_first_token(self, seconds):
        self._record_prefill_done()
        name = self._choice.group.name
        slowdown = self._outlier_detector.get_slowdown(name)
        expected = (self._choice.wait + self._choice.prefill_time) / slowdown
        self._outlier_detector.record_first_token(
            name, seconds / max(expected, 0.02)
        )

    def close(self):
        """End the request and record its mean inter-token latency."""
        if self._first_token_at is None:
            self._record_prefill_done()
        if (
            self._token_count > 1
            and self._last_token_at > self._first_token_at
        ):
            latency = (self._last_token_at - self._first_token_at) / (
                self._token_count - 1
            )
            self._outlier_detector.record_inter_token_latency(
                self._choice.group.name, latency
            )
