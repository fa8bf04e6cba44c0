"""Expected wait at a group, from lagged reports and own requests."""

DEFAULT_SLOTS = 32
"""Requests that fit in a batch, where an engine does not say (count)."""

DEFAULT_PREFILL_RATE = 4000.0
"""Prompt tokens prefilled a second, where an engine does not say (1/s)."""

DEFAULT_ANSWER_TIME = 5.0
"""Time a request keeps its slot, until answers were seen (seconds)."""

LOAD_COST = 0.001
"""Time that each request in the batch adds to the first token (seconds)."""

SAMPLE_WEIGHT = 0.05
"""Weight of the newest request in the mean answer time and length."""


class _GroupLoad:
    """Own requests at one group, and the report they correct."""

    __slots__ = (
        'finished_since',
        'gone',
        'in_flight',
        'report',
        'started_since',
        'started_tokens',
    )

    def __init__(self):
        self.report = None
        self.gone = False
        self.in_flight = 0
        self.started_since = 0
        self.started_tokens = 0.0
        self.finished_since = 0


class LoadTable:
    """Load of each group, as reported and corrected.

    A report says nothing of what was sent since it was made. Own requests
    since then are added; as the balancer spreads callers evenly, the other
    nodes are taken to have sent as many each, scaled by `peer_share`.

    Parameters
    ----------
    load_report : callable
        Group -> last report of its head, or None.
    peer_share : float
        Part of the other nodes' requests since the report that own ones
        stand for, 0 to 1.
    """

    __slots__ = (
        '_answer_time',
        '_factor',
        '_groups',
        '_load_report',
        '_mean_tokens',
        '_nodes',
        '_peer_share',
    )

    def __init__(self, load_report, peer_share=0.5):
        self._load_report = load_report
        self._peer_share = peer_share
        self._groups = {}
        self._answer_time = DEFAULT_ANSWER_TIME
        self._mean_tokens = 0.0
        self._factor = 1.0
        self._nodes = 1

    @property
    def nodes(self):
        """Nodes that send to the same groups, this one included (count)."""
        return self._nodes

    @nodes.setter
    def nodes(self, count):
        self._nodes = count
        self._factor = 1.0 + (count - 1) * self._peer_share

    @property
    def in_flight(self):
        """Own requests sent and not yet answered (count)."""
        return sum(load.in_flight for load in self._groups.values())

    def in_flight_of(self, group):
        """Own requests of one group, not yet answered (count)."""
        load = self._groups.get(group)
        return 0 if load is None else load.in_flight

    def start(self, group, tokens):
        """Note an own request that has `tokens` to prefill.

        Returns
        -------
        object
            What `note_prefilled` needs.
        """
        load = self._refresh(group)
        load.in_flight += 1
        load.started_since += 1
        load.started_tokens += tokens
        self._mean_tokens += SAMPLE_WEIGHT * (tokens - self._mean_tokens)
        return load.report

    def note_prefilled(self, group, tokens, report):
        """Note that an own request no longer waits for its first token.

        Reports that do not change are not sent again, so this can't be
        left to the next one.
        """
        load = self._refresh(group)
        if load.report is report:
            load.started_tokens = max(0.0, load.started_tokens - tokens)

    def finish(self, group, answer_time):
        """Note the end of an own request after `answer_time` seconds."""
        load = self._refresh(group)
        load.in_flight -= 1
        load.finished_since += 1
        if load.gone and not load.in_flight:
            del self._groups[group.name]
        if answer_time is not None:
            step = answer_time - self._answer_time
            self._answer_time += SAMPLE_WEIGHT * step

    def forget(self, name):
        """Drop a group that is gone, when its last request has ended."""
        load = self._groups.get(name)
        if load is None:
            return
        load.gone = True
        if not load.in_flight:
            del self._groups[name]

    def load(self, group):
        """Requests at a group (count), as far as can be told."""
        return self._count(self._refresh(group))

    def estimate(self, group):
        """Expected time until a new request is prefilled, and the rate.

        Returns
        -------
        wait : float
            Time (seconds).
        rate : float
            Prompt tokens that the group prefills a second (1/s).
        """
        load = self._refresh(group)
        report = load.report
        slots, rate, waiting = DEFAULT_SLOTS, DEFAULT_PREFILL_RATE, 0
        if report is not None:
            slots = report.slots or slots
            rate = report.prefill_rate or rate
            waiting = report.waiting
        count = self._count(load)
        wait = count * LOAD_COST
        tokens = load.started_tokens * self._factor
        tokens += waiting * self._mean_tokens
        if tokens:
            wait += tokens / rate
        if count >= slots:
            wait += (count - slots + 1) * self._answer_time / slots
        return wait, rate

    def _count(self, load):
        count = 0.0
        if load.report is not None:
            count = load.report.running + load.report.waiting
        since = load.started_since - load.finished_since
        if since:
            count += since * self._factor
        return count if count > load.in_flight else load.in_flight

    def _refresh(self, group):
        load = self._groups.get(group.name)
        if load is None:
            load = self._groups[group.name] = _GroupLoad()
        report = self._load_report(group)
        if report is not load.report:
            load.report = report
            load.started_since = 0
            load.started_tokens = 0.0
            load.finished_since = 0
        return load
