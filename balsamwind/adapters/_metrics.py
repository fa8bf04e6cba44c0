"""Metrics by prometheus_client, with bounded label sets."""

import prometheus_client

BUCKETS = (
    0.002,
    0.005,
    0.01,
    0.025,
    0.05,
    0.078,
    0.1,
    0.25,
    0.5,
    1.0,
    1.4,
    2.5,
    5.0,
    10.0,
    30.0,
    120.0,
)
"""Upper bounds of the histograms (seconds)."""

MAX_CUSTOMERS = 200
"""Customers with a label of their own (count)."""


class Metrics:
    """Histograms and counters of one entry."""

    __slots__ = (
        '_customers',
        'answer_seconds',
        'first_token_seconds',
        'late_events',
        'outcomes',
        'registry',
        'resumptions',
        'token_gap_seconds',
        'tokens',
    )

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._customers = set()
        labels = ('customer', 'model')
        self.first_token_seconds = prometheus_client.Histogram(
            'balsamwind_first_token_seconds',
            'Time to the first token.',
            labels,
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.token_gap_seconds = prometheus_client.Histogram(
            'balsamwind_token_gap_seconds',
            'Time between batches of tokens.',
            labels,
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.answer_seconds = prometheus_client.Histogram(
            'balsamwind_answer_seconds',
            'Time to the whole answer.',
            labels,
            buckets=BUCKETS,
            registry=self.registry,
        )
        self.tokens = prometheus_client.Counter(
            'balsamwind_tokens',
            'Tokens relayed.',
            labels,
            registry=self.registry,
        )
        self.outcomes = prometheus_client.Counter(
            'balsamwind_requests',
            'Requests by outcome.',
            ('customer', 'code'),
            registry=self.registry,
        )
        self.late_events = prometheus_client.Counter(
            'balsamwind_late_events',
            'Events of abandoned attempts, dropped.',
            registry=self.registry,
        )
        self.resumptions = prometheus_client.Counter(
            'balsamwind_resumptions',
            'Attempts after the first, by how they began.',
            ('way',),
            registry=self.registry,
        )

    def customer(self, name):
        """Label of a customer; ``other`` once there are too many."""
        if name in self._customers:
            return name
        if len(self._customers) >= MAX_CUSTOMERS:
            return 'other'
        self._customers.add(name)
        return name

    def expose(self):
        """Text for the operators' ``/metrics``."""
        return prometheus_client.generate_latest(self.registry)
