"""Expected wait at a group, from delayed load reports and own requests."""

DEFAULT_SLOTS = 32
"""Requests that fit in a batch if the engine does not report it (count)."""

DEFAULT_PREFILL_RATE = 4000.0
"""Prefill rate if the engine does not report it (prompt tokens/s)."""

DEFAULT_RESPONSE_TIME = 5.0
"""Time for which a request occupies a slot, before any response time is
measured (seconds)."""

DELAY_PER_REQUEST = 0.001
"""Time that each request in the batch adds to the time to first token
(seconds)."""

SMOOTHING_FACTOR = 0.05
"""Weight of the newest request in the mean response time and in the mean
number of tokens to prefill."""


class _GroupLoad:
    """Last load report of a group, and own requests that it does not cover.

    Attributes
    ----------
    report : balsamwind.ports.EngineReport or None
        Last load report of the group's head.
    removed : bool
        Whether the group is deleted; its load is kept while own requests
        are open.
    in_flight : int
        Own requests without a complete answer (count).
    started_since_report : int
        Own requests started since the report (count).
    finished_since_report : int
        Own requests finished since the report (count).
    pending_prefill_tokens : float
        Tokens of own requests started since the report that are not
        prefilled yet (count).
    """

    __slots__ = (
        'finished_since_report',
        'in_flight',
        'pending_prefill_tokens',
        'removed',
        'report',
        'started_since_report',
    )

    def __init__(self):
        self.report = None
        self.removed = False
        self.in_flight = 0
        self.started_since_report = 0
        self.pending_prefill_tokens = 0.0
        self.finished_since_report = 0


class LoadEstimator:
    """Estimates the load of each group from its last report.

    A report does not cover the requests sent after it was made, so own
    requests since then are added. The load balancer spreads callers evenly
    over the nodes, so each of the other nodes is assumed to have sent as
    many requests as this one, scaled by `peer_weight`.

    Parameters
    ----------
    get_load_report : callable
        Maps a group to the last load report of its head, or to None.
    peer_weight : float
        Weight of the requests that the other nodes are assumed to have sent
        since the report, 0 to 1.
    """

    __slots__ = (
        '_extrapolation_factor',
        '_get_load_report',
        '_groups',
        '_mean_prefill_tokens',
        '_mean_response_time',
        '_node_count',
        '_peer_weight',
    )

    def __init__(self, get_load_report, peer_weight=0.5):
        self._get_load_report = get_load_report
        self._peer_weight = peer_weight
        self._groups = {}
        self._mean_response_time = DEFAULT_RESPONSE_TIME
        self._mean_prefill_tokens = 0.0
        self._extrapolation_factor = 1.0
        self._node_count = 1

    @property
    def node_count(self):
        """Nodes that send to the same groups, this one included (count)."""
        return self._node_count

    @node_count.setter
    def node_count(self, count):
        self._node_count = count
        self._extrapolation_factor = 1.0 + (count - 1) * self._peer_weight

    @property
    def in_flight(self):
        """Own requests without a complete answer, over all groups (count)."""
        return sum(load.in_flight for load in self._groups.values())

    def get_in_flight(self, name):
        """Own requests of one group without a complete answer.

        Parameters
        ----------
        name : str
            Name of the group.

        Returns
        -------
        int
            Number of requests.
        """
        load = self._groups.get(name)
        return 0 if load is None else load.in_flight

    def start_request(self, group, prefill_tokens):
        """Record the start of an own request.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Group that the request is sent to.
        prefill_tokens : float
            Prompt tokens that the group has to prefill (count).

        Returns
        -------
        balsamwind.ports.EngineReport or None
            Load report of the group at the start, for
            `record_prefill_done`.
        """
        load = self._refresh_load(group)
        load.in_flight += 1
        load.started_since_report += 1
        load.pending_prefill_tokens += prefill_tokens
        self._mean_prefill_tokens += SMOOTHING_FACTOR * (
            prefill_tokens - self._mean_prefill_tokens
        )
        return load.report

    def record_prefill_done(self, group, prefill_tokens, report):
        """Record that an own request no longer waits for its first token.

        An unchanged report is not sent again, so the next report cannot be
        relied on to reset the pending tokens.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Group that the request was sent to.
        prefill_tokens : float
            Tokens that were given to `start_request` (count).
        report : balsamwind.ports.EngineReport or None
            Return value of `start_request`. A newer report has reset the
            pending tokens, so that nothing is subtracted.
        """
        load = self._refresh_load(group)
        if load.report is report:
            load.pending_prefill_tokens = max(
                0.0, load.pending_prefill_tokens - prefill_tokens
            )

    def finish_request(self, group, response_time):
        """Record the end of an own request.

        Parameters
        ----------
        group : balsamwind.objects.Group
            Group that the request was sent to.
        response_time : float or None
            Time from the start to the last token (seconds); None if no
            token was received.
        """
        load = self._refresh_load(group)
        load.in_flight -= 1
        load.finished_since_report += 1
        if load.removed and not load.in_flight:
            del self._groups[group.name]
        if response_time is not None:
            deviation = response_time - self._mean_response_time
            self._mean_response_time += SMOOTHING_FACTOR * deviation

    def remove_group(self, name):
        """Discard the load of a deleted group after its last request ends.

        Parameters
        ----------
        name : str
            Name of the group.
        """
        load = self._groups.get(name)
        if load is None:
            return
        load.removed = True
        if not load.in_flight:
            del self._groups[name]

    def estimate_load(self, group):
        """Estimate the number of requests at a group.

        Parameters
        ----------
        group : balsamwind.objects.Group
            The group.

        Returns
        -------
        float
            Running and waiting requests of all nodes (count).
        """
        return self._estimate_request_count(self._refresh_load(group))

    def estimate_wait(self, group):
        """Estimate the wait of a new request at a group.

        Parameters
        ----------
        group : balsamwind.objects.Group
            The group.

        Returns
        -------
        wait : float
            Expected delay of the first token without the prefill of the
            request itself (seconds).
        rate : float
            Prefill rate of the group (prompt tokens per second).
        """
        load = self._refresh_load(group)
        report = load.report
        slots, rate, waiting = DEFAULT_SLOTS, DEFAULT_PREFILL_RATE, 0
        if report is not None:
            slots = report.slots or slots
            rate = report.prefill_rate or rate
            waiting = report.waiting
        count = self._estimate_request_count(load)
        wait = count * DELAY_PER_REQUEST
        tokens = load.pending_prefill_tokens * self._extrapolation_factor
        tokens += waiting * self._mean_prefill_tokens
        if tokens:
            wait += tokens / rate
        if count >= slots:
            wait += (count - slots + 1) * self._mean_response_time / slots
        return wait, rate

    def _estimate_request_count(self, load):
        count = 0.0
        if load.report is not None:
            count = load.report.running + load.report.waiting
        change = load.started_since_report - load.finished_since_report
        if change:
            count += change * self._extrapolation_factor
        return count if count > load.in_flight else load.in_flight

    def _refresh_load(self, group):
        """Get the load of a group, with the counts since its last report.

        A new report resets the counts, as it covers the earlier requests.
        """
        load = self._groups.get(group.name)
        if load is None:
            load = self._groups[group.name] = _GroupLoad()
        report = self._get_load_report(group)
        if report is not load.report:
            load.report = report
            load.started_since_report = 0
            load.pending_prefill_tokens = 0.0
            load.finished_since_report = 0
        return load
