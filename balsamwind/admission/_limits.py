"""Enforcement of contract limits that are shared by several entries."""

import contextlib
import dataclasses
import math

from balsamwind.admission import _buckets
from balsamwind.admission import _shares
from balsamwind import exceptions

SHARE_SETTLING_TIME = 4.0
"""Time within which a share adapts to a change of the demand (seconds)."""

REFRESHES_PER_HEARTBEAT = 1
"""Customers whose usage is resent per heartbeat although unchanged (count)."""

USAGE_SCALE = 60000
"""Integer that stands for a whole limit in demands and shares on the wire."""

RESERVATION_TIMEOUT = 300.0
"""How long the share of a silent peer stays reserved (seconds)."""


@dataclasses.dataclass(slots=True)
class _CustomerState:
    """State of one customer at this entry.

    Parameters
    ----------
    usage : balsamwind.admission.Usage
        Current demand and share.
    request_bucket : balsamwind.admission._buckets.TokenBucket
        Enforces the limit of requests per second.
    token_bucket : balsamwind.admission._buckets.TokenBucket
        Enforces the limit of generated tokens per second.
    in_flight : int
        Open requests (count).
    offered : int
        Requests that arrived since the last update of the shares (count).
    admitted : int
        Requests that were admitted since then (count).
    generated_tokens : int
        Tokens that were generated since then (count).
    last_sent : balsamwind.admission.Usage or None
        Usage that was last sent to all peers, None if none was sent.
    """

    usage: _shares.Usage
    request_bucket: _buckets.TokenBucket
    token_bucket: _buckets.TokenBucket
    in_flight: int = 0
    offered: int = 0
    admitted: int = 0
    generated_tokens: int = 0
    last_sent: _shares.Usage | None = None


class ContractLimiter:
    """Admits requests within this entry's share of each contract limit.

    The limits of a contract are upper bounds over all entries together.
    Each entry enforces its own share of them, without a call to its peers
    per request. The entries exchange their demands and shares in
    heartbeats and recompute the shares from these.

    Parameters
    ----------
    name : str
        Name of this entry.
    peers : iterable of str
        Names of the entries in the settings; `name` may be among them.
    now : float
        Monotonic time of the start (seconds).
    """

    __slots__ = (
        '_configured_peers',
        '_in_flight_by_peer',
        '_last_heartbeat_at',
        '_refresh_index',
        '_started_at',
        '_states',
        '_updated_at',
        '_usage_by_peer',
    )

    def __init__(self, name, peers, now):
        self._configured_peers = {peer for peer in peers if peer != name}
        self._started_at = now
        self._updated_at = now
        self._states = {}
        self._usage_by_peer = {}
        self._last_heartbeat_at = {}
        self._in_flight_by_peer = {}
        self._refresh_index = 0

    @property
    def in_flight_by_customer(self):
        """Open requests at this entry, by customer (count)."""
        return {
            customer: state.in_flight
            for customer, state in self._states.items()
            if state.in_flight
        }

    def get_share(self, customer):
        """Return the fraction of the limits that this entry may use.

        Parameters
        ----------
        customer : str
            Name of the customer.

        Returns
        -------
        float
            Fraction of each limit, 0 to 1.
        """
        return self._get_state(customer).usage.share

    def _get_state(self, customer):
        """Return the state of a customer, creating it on first use."""
        state = self._states.get(customer)
        if state is None:
            state = _CustomerState(
                _shares.Usage(0.0, self._initial_share()),
                _buckets.TokenBucket(),
                _buckets.TokenBucket(),
            )
            self._states[customer] = state
        return state

    def _initial_share(self):
        return (
            _shares.initial_share(len(self._configured_peers) + 1)
            if self._configured_peers
            else 1.0
        )

    @contextlib.contextmanager
    def admit(self, contract, now):
        """Admit one request and count it as in flight until the block ends.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the caller.
        now : float
            Monotonic time (seconds).

        Raises
        ------
        balsamwind.exceptions.LimitReached
            This entry's share of a limit is used up.
        """
        state = self._get_state(contract.customer)
        limits = contract.limits
        state.offered += 1
        self._check_in_flight(contract.customer, state, limits)
        limit = limits.requests_per_second
        self._check_rate(state.request_bucket, state, limit, 'requests/s', now)
        limit = limits.tokens_per_second
        self._check_rate(state.token_bucket, state, limit, 'tokens/s', now)
        state.request_bucket.charge(
            1.0, limits.requests_per_second * state.usage.share, now
        )
        state.admitted += 1
        state.in_flight += 1
        try:
            yield
        finally:
            state.in_flight -= 1

    def charge_tokens(self, contract, tokens, now):
        """Charge generated tokens to the limit of tokens per second.

        The number of tokens of a request is not known when it is admitted.
        The level of the bucket may therefore become negative; new requests
        are rejected until it is refilled.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the caller.
        tokens : int
            Tokens that were generated (count).
        now : float
            Monotonic time (seconds).
        """
        state = self._get_state(contract.customer)
        state.generated_tokens += tokens
        rate = contract.limits.tokens_per_second * state.usage.share
        state.token_bucket.charge(tokens, rate, now)

    def _check_rate(self, bucket, state, limit, unit, now):
        wait = bucket.time_until_available(1.0, limit * state.usage.share, now)
        if not wait:
            return
        # The share follows the demand within `SHARE_SETTLING_TIME`, so the
        # wait at the current share is an upper bound.
        raise exceptions.LimitReached(
            f"limit of {limit:g} {unit}, or this entry's share of it, is used"
            ' up',
            retry_after=min(wait, max(1.0 / limit, SHARE_SETTLING_TIME)),
        )

    def _check_in_flight(self, customer, state, limits):
        if state.in_flight + 1 <= limits.in_flight * state.usage.share:
            return
        # If the share amounts to less than one request, one request at a
        # time is admitted as long as all entries together are below the
        # limit.
        if not state.in_flight:
            in_flight_at_peers = sum(
                counts.get(customer, 0)
                for counts in self._in_flight_by_peer.values()
            )
            if in_flight_at_peers < limits.in_flight:
                return
        raise exceptions.LimitReached(
            f"limit of {limits.in_flight} requests in flight, or this entry's"
            ' share of it, is reached',
            retry_after=1.0,
        )

    def handle_heartbeat(self, peer, usage, in_flight, draining, now):
        """Process the heartbeat of a peer.

        Parameters
        ----------
        peer : str
            Name of the peer.
        usage : dict of str to tuple of int
            Demand and share of the peer by customer, for the customers
            whose values changed. The unit is 1/60,000 of the limit, so
            that each value takes 3 bytes on the wire. Tuples of another
            length or with negative values are ignored.
        in_flight : dict of str to int
            Open requests at the peer, by customer (count).
        draining : bool
            Whether the peer is shutting down; it then releases its shares.
        now : float
            Monotonic time (seconds).
        """
        self._last_heartbeat_at[peer] = now
        self._in_flight_by_peer[peer] = in_flight
        usage_by_customer = self._usage_by_peer.setdefault(peer, {})
        if draining:
            usage_by_customer.clear()
            return
        for customer, values in usage.items():
            if len(values) != 2 or min(values) < 0:
                continue
            demand, share = values
            usage_by_customer[customer] = _shares.Usage(
                demand / USAGE_SCALE, share / USAGE_SCALE
            )

    def update_shares(self, limits, now):
        """Measure the demands and recompute the shares of all customers.

        Called once per heartbeat interval. Customers without a contract in
        force are removed when they have no request in flight.

        Parameters
        ----------
        limits : dict of str to balsamwind.objects.Limits
            Limits by customer, of the contracts in force.
        now : float
            Monotonic time (seconds).
        """
        elapsed = max(now - self._updated_at, 1e-3)
        self._updated_at = now
        for customer in self._states.keys() - limits.keys():
            if not self._states[customer].in_flight:
                del self._states[customer]
        for customer, customer_limits in limits.items():
            state = self._get_state(customer)
            demand = _measure_demand(state, customer_limits, elapsed)
            demand = _shares.smooth_demand(state.usage.demand, demand)
            own = _shares.Usage(demand, state.usage.share)
            share = 1.0
            if self._configured_peers or self._usage_by_peer:
                peers = self._list_peer_usages(customer, now)
                share = _shares.plan_share(own, peers, RESERVATION_TIMEOUT)
            state.usage = _shares.Usage(demand, share)

    def _list_peer_usages(self, customer, now):
        """Return the usage of a customer at each known peer.

        A peer in the settings that has not sent a heartbeat yet counts as
        silent, with an equal part of the limit reserved for it since the
        start of this entry.
        """
        peers = self._configured_peers | self._last_heartbeat_at.keys()
        equal_part = _shares.Usage(0.0, 1.0 / (len(peers) + 1))
        no_usage = _shares.Usage(0.0, 0.0)
        peer_usages = []
        for peer in peers:
            heartbeat_at = self._last_heartbeat_at.get(peer)
            if heartbeat_at is None:
                heartbeat_age = max(
                    now - self._started_at, _shares.SILENT_AFTER + 1e-3
                )
                peer_usages.append(
                    _shares.PeerUsage(equal_part, heartbeat_age)
                )
                continue
            usage = self._usage_by_peer[peer].get(customer, no_usage)
            peer_usages.append(_shares.PeerUsage(usage, now - heartbeat_at))
        return peer_usages

    def collect_usage_updates(self, full=False):
        """Return the usage to send to the peers with the next heartbeat.

        Contains the customers whose usage changed noticeably since it was
        last sent, and `REFRESHES_PER_HEARTBEAT` customers in turn whether
        or not theirs changed.

        Parameters
        ----------
        full : bool
            True to return all customers, for a single peer that has just
            connected. The usage then does not count as sent to all peers.

        Returns
        -------
        dict of str to tuple of int
            Demand and share by customer (1/60,000 of the limit). Shares
            are rounded up, so that peers never assume too small a share.
        """
        updates = {}
        refreshed = self._select_refreshed()
        for customer, state in self._states.items():
            if (
                full
                or customer in refreshed
                or _shares.is_significant_change(state.last_sent, state.usage)
            ):
                updates[customer] = (
                    round(state.usage.demand * USAGE_SCALE),
                    math.ceil(state.usage.share * USAGE_SCALE),
                )
            if customer in updates and not full:
                state.last_sent = state.usage
        return updates

    def _select_refreshed(self):
        """Return the next customers in round-robin order."""
        customers = sorted(self._states)
        selected = customers[
            self._refresh_index : self._refresh_index + REFRESHES_PER_HEARTBEAT
        ]
        self._refresh_index += REFRESHES_PER_HEARTBEAT
        if self._refresh_index >= len(customers):
            self._refresh_index = 0
        return selected


def _measure_demand(state, limits, elapsed):
    """Return the demand since the last update and reset the counters.

    The demand is a fraction of the limits, the largest over the limits.
    Tokens and open requests are known for admitted requests only; they are
    extrapolated to all offered requests.
    """
    offered_per_admitted = state.offered / max(state.admitted, 1)
    demand = max(
        state.offered / elapsed / limits.requests_per_second,
        state.generated_tokens
        * offered_per_admitted
        / elapsed
        / limits.tokens_per_second,
        state.in_flight * offered_per_admitted / limits.in_flight,
    )
    state.offered = state.admitted = state.generated_tokens = 0
    return demand
