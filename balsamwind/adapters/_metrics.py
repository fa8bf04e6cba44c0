"""Prometheus metrics of an entry, with bounded sets of label values."""

import dataclasses

import prometheus_client

HISTOGRAM_BUCKETS = (
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
"""Upper bounds of the buckets of all histograms (seconds)."""

MAX_CUSTOMER_LABELS = 200
"""Largest number of customers that get a label value of their own (count)."""


@dataclasses.dataclass(slots=True, frozen=True)
class CompletionMetrics:
    """Metrics of completions, bound to the labels of one customer and model.

    Parameters
    ----------
    first_token : prometheus_client.Histogram
        Time from the arrival of a request to its first token (seconds).
    token_gap : prometheus_client.Histogram
        Time between two batches of tokens (seconds).
    answer : prometheus_client.Histogram
        Time from the arrival of a request to its last token (seconds).
    tokens : prometheus_client.Counter
        Tokens sent to callers (count).
    """

    first_token: prometheus_client.Histogram
    token_gap: prometheus_client.Histogram
    answer: prometheus_client.Histogram
    tokens: prometheus_client.Counter


class Metrics:
    """Histograms and counters of one entry.

    Attributes
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry that all metrics of the entry belong to.
    """

    __slots__ = (
        '_labelled_customers',
        'answer_seconds',
        'ejections',
        'first_token_seconds',
        'late_events',
        'outcomes',
        'queue_seconds',
        'registry',
        'resumptions',
        'retries',
        'service_seconds',
        'token_gap_seconds',
        'tokens',
    )

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._labelled_customers = set()
        labels = ('customer', 'priority', 'model')
        self.queue_seconds = self._make_histogram(
            'balsamwind_queue_seconds',
            'Wait for a place at this entry.',
            ('customer', 'priority'),
        )
        self.first_token_seconds = self._make_histogram(
            'balsamwind_first_token_seconds', 'Time to first token.', labels
        )
        self.token_gap_seconds = self._make_histogram(
            'balsamwind_token_gap_seconds',
            'Time between batches of tokens.',
            labels,
        )
        self.answer_seconds = self._make_histogram(
            'balsamwind_answer_seconds', 'Time to the whole answer.', labels
        )
        self.service_seconds = self._make_histogram(
            'balsamwind_service_seconds',
            'Time of calls of plain services that were answered.',
            ('customer', 'priority', 'service'),
        )
        self.tokens = prometheus_client.Counter(
            'balsamwind_tokens',
            'Tokens relayed.',
            labels,
            registry=self.registry,
        )
        self.retries = prometheus_client.Counter(
            'balsamwind_service_retries',
            'Attempts of service calls after the first.',
            ('service',),
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
        self.ejections = prometheus_client.Counter(
            'balsamwind_ejections',
            'Groups ejected as outliers.',
            registry=self.registry,
        )
        self.resumptions = prometheus_client.Counter(
            'balsamwind_resumptions',
            'Attempts after the first, by how they began.',
            ('way',),
            registry=self.registry,
        )

    def _make_histogram(self, name, help, labels):
        return prometheus_client.Histogram(
            name,
            help,
            labels,
            buckets=HISTOGRAM_BUCKETS,
            registry=self.registry,
        )

    def get_customer_labels(self, contract):
        """Return the label values of a customer and its priority.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the customer.

        Returns
        -------
        tuple of (str, str)
        """
        return self.get_customer_label(contract.customer), str(
            contract.priority
        )

    def get_completion_metrics(self, contract, model):
        """Return the completion metrics of one customer and model.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the customer.
        model : str
            Name of the model or adapter.

        Returns
        -------
        CompletionMetrics
        """
        labels = (*self.get_customer_labels(contract), model)
        return CompletionMetrics(
            self.first_token_seconds.labels(*labels),
            self.token_gap_seconds.labels(*labels),
            self.answer_seconds.labels(*labels),
            self.tokens.labels(*labels),
        )

    def get_customer_label(self, name):
        """Return the label value of a customer.

        The first `MAX_CUSTOMER_LABELS` customers get their names, all others
        share the value ``other``, which bounds the number of time series.

        Parameters
        ----------
        name : str
            Name of the customer.

        Returns
        -------
        str
        """
        if name in self._labelled_customers:
            return name
        if len(self._labelled_customers) >= MAX_CUSTOMER_LABELS:
            return 'other'
        self._labelled_customers.add(name)
        return name

    def expose(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        return prometheus_client.generate_latest(self.registry)
