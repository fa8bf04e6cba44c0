"""Limits of contracts, split over the entries by demand."""

import contextlib
import dataclasses
import math

from balsamwind.admission import _buckets
from balsamwind.admission import _shares
from balsamwind import exceptions

SHARE_DELAY = 4.0
"""Time in which a share follows the demand (seconds)."""

REFRESHED = 1
"""Unchanged customers told to peers in one beat (count)."""

TOLD_UNITS = 60000
"""Parts of a limit in which demand and share are told (count)."""

HOLD = 300.0
"""How long the share of a silent peer stays reserved (seconds)."""


@dataclasses.dataclass(slots=True)
class _Customer:
    """What an entry keeps of one customer."""

    usage: _shares.Usage
    requests: _buckets.Bucket
    tokens: _buckets.Bucket
    in_flight: int = 0
    offered: int = 0
    admitted: int = 0
    generated: int = 0
    told: _shares.Usage | None = None


class LimitKeeper:
    """Admits requests within this entry's share of each limit.

    Parameters
    ----------
    name : str
        This entry.
    peers : iterable of str
        Names of the other entries.
    now : float
        Monotonic time of the start (seconds).
    """

    __slots__ = (
        '_beat_at',
        '_customers',
        '_heard',
        '_heard_at',
        '_in_flight_at',
        '_peers',
        '_refresh',
        '_started_at',
    )

    def __init__(self, name, peers, now):
        self._peers = {peer for peer in peers if peer != name}
        self._started_at = now
        self._beat_at = now
        self._customers = {}
        self._heard = {}
        self._heard_at = {}
        self._in_flight_at = {}
        self._refresh = 0

    @property
    def in_flight(self):
        """Customer -> requests open here (count)."""
        return {
            name: state.in_flight
            for name, state in self._customers.items()
            if state.in_flight
        }

    def share(self, customer):
        """Share of the limits that this entry may use, 0 to 1."""
        return self._customer(customer).usage.share

    def _customer(self, name):
        state = self._customers.get(name)
        if state is None:
            state = _Customer(
                _shares.Usage(0.0, self._start_share()),
                _buckets.Bucket(),
                _buckets.Bucket(),
            )
            self._customers[name] = state
        return state

    def _start_share(self):
        return (
            _shares.start_share(len(self._peers) + 1) if self._peers else 1.0
        )

    @contextlib.contextmanager
    def admit(self, contract, now):
        """Hold one request's place until the block ends.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the caller.
        now : float
            Monotonic time (seconds).

        Raises
        ------
        balsamwind.exceptions.LimitReached
            The share is used up.
        """
        state = self._customer(contract.customer)
        limits = contract.limits
        state.offered += 1
        self._check_in_flight(contract.customer, state, limits)
        rate = limits.requests_per_second
        self._check(state.requests, state, rate, 'requests/s', now)
        rate = limits.tokens_per_second
        self._check(state.tokens, state, rate, 'tokens/s', now)
        state.requests.charge(
            1.0, limits.requests_per_second * state.usage.share, now
        )
        state.admitted += 1
        state.in_flight += 1
        try:
            yield
        finally:
            state.in_flight -= 1

    def charge_tokens(self, contract, tokens, now):
        """Count generated tokens; new requests wait until they are paid."""
        state = self._customer(contract.customer)
        state.generated += tokens
        rate = contract.limits.tokens_per_second * state.usage.share
        state.tokens.charge(tokens, rate, now)

    def _check(self, bucket, state, limit, unit, now):
        wait = bucket.wait(1.0, limit * state.usage.share, now)
        if not wait:
            return
        # The share follows the demand, so the wait at today's share is an
        # upper bound.
        raise exceptions.LimitReached(
            f"over {limit:g} {unit}, or this entry's share of it",
            retry_after=min(wait, max(1.0 / limit, SHARE_DELAY)),
        )

    def _check_in_flight(self, customer, state, limits):
        if state.in_flight + 1 <= limits.in_flight * state.usage.share:
            return
        # A share of less than one request: one at a time, as long as all
        # entries together are below the limit.
        if not state.in_flight:
            others = sum(
                counts.get(customer, 0)
                for counts in self._in_flight_at.values()
            )
            if others < limits.in_flight:
                return
        raise exceptions.LimitReached(
            f"over {limits.in_flight} requests in flight, or this entry's"
            ' share of it',
            retry_after=1.0,
        )

    def hear(self, peer, usage, in_flight, draining, now):
        """Take in a peer's heartbeat.

        Parameters
        ----------
        peer : str
            Name of the peer.
        usage : dict of str to tuple of int
            Customer -> demand and share, of those that changed
            (1/60,000 of the limit, so that each takes 3 bytes).
        in_flight : dict of str to int
            Customer -> requests open there (count).
        draining : bool
            Whether it is shutting down and gives its shares back.
        now : float
            Monotonic time (seconds).
        """
        self._heard_at[peer] = now
        self._in_flight_at[peer] = in_flight
        known = self._heard.setdefault(peer, {})
        if draining:
            known.clear()
            return
        for customer, values in usage.items():
            if len(values) != 2 or min(values) < 0:
                continue
            demand, share = values
            known[customer] = _shares.Usage(
                demand / TOLD_UNITS, share / TOLD_UNITS
            )

    def beat(self, limits, now):
        """Plan the shares until the next beat.

        Parameters
        ----------
        limits : dict of str to balsamwind.objects.Limits
            Customer -> limits, of the contracts in force.
        now : float
            Monotonic time (seconds).
        """
        elapsed = max(now - self._beat_at, 1e-3)
        self._beat_at = now
        for customer in self._customers.keys() - limits.keys():
            if not self._customers[customer].in_flight:
                del self._customers[customer]
        for customer, values in limits.items():
            state = self._customer(customer)
            demand = _measure_demand(state, values, elapsed)
            demand = _shares.smooth_demand(state.usage.demand, demand)
            own = _shares.Usage(demand, state.usage.share)
            share = 1.0
            if self._peers or self._heard:
                peers = self._peer_usages(customer, now)
                share = _shares.plan_share(own, peers, HOLD)
            state.usage = _shares.Usage(demand, share)

    def _peer_usages(self, customer, now):
        names = self._peers | self._heard_at.keys()
        unheard = _shares.Usage(0.0, 1.0 / (len(names) + 1))
        unknown = _shares.Usage(0.0, 0.0)
        usages = []
        for name in names:
            heard_at = self._heard_at.get(name)
            if heard_at is None:
                silent_for = max(
                    now - self._started_at, _shares.SILENT_AFTER + 1e-3
                )
                usages.append(_shares.PeerUsage(unheard, silent_for))
                continue
            usage = self._heard[name].get(customer, unknown)
            usages.append(_shares.PeerUsage(usage, now - heard_at))
        return usages

    def make_usage(self, full=False):
        """Customer -> demand and share to tell peers; what changed."""
        told = {}
        refresh = self._take_refresh()
        for name, state in self._customers.items():
            if (
                full
                or name in refresh
                or _shares.is_news(state.told, state.usage)
            ):
                told[name] = (
                    round(state.usage.demand * TOLD_UNITS),
                    math.ceil(state.usage.share * TOLD_UNITS),
                )
            if name in told and not full:
                state.told = state.usage
        return told

    def _take_refresh(self):
        names = sorted(self._customers)
        chosen = names[self._refresh : self._refresh + REFRESHED]
        self._refresh += REFRESHED
        if self._refresh >= len(names):
            self._refresh = 0
        return chosen


def _measure_demand(state, limits, elapsed):
    """Demand of the last beat as a part of the limits."""
    rejected = state.offered / max(state.admitted, 1)
    demand = max(
        state.offered / elapsed / limits.requests_per_second,
        state.generated * rejected / elapsed / limits.tokens_per_second,
        state.in_flight * rejected / limits.in_flight,
    )
    state.offered = state.admitted = state.generated = 0
    return demand
