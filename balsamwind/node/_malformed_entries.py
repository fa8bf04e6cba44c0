"""Objects of the store that are left out because they can't be read."""

import collections

import prometheus_client

MAX_REMEMBERED = 1000
"""Objects that are remembered, so that each is logged once (count)."""

MAX_NAME_LENGTH = 64
"""Characters of a name that are logged (count)."""


class MalformedEntries:
    """Counts the objects that are left out, and logs each version once.

    Parameters
    ----------
    log : structlog logger
        Logger of the node.
    metrics_registry : prometheus_client.CollectorRegistry
        Metrics of the node.
    """

    __slots__ = ('_counter', '_log', '_logged')

    def __init__(self, log, metrics_registry):
        self._log = log
        self._logged = collections.OrderedDict()
        self._counter = prometheus_client.Counter(
            'balsamwind_malformed_entries',
            'Objects in answers of the store that were left out.',
            ('kind',),
            registry=metrics_registry,
        )

    def record(self, kind, name, revision, reason):
        """Record an object that is left out.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object; empty if it can't be read.
        revision : int
            Revision of the object; 0 if it can't be read.
        reason : str
            What is wrong with it.
        """
        name = name[:MAX_NAME_LENGTH]
        self._counter.labels(kind).inc()
        key = (kind, name, revision, reason)
        if key in self._logged:
            self._logged.move_to_end(key)
            return
        self._logged[key] = None
        if len(self._logged) > MAX_REMEMBERED:
            self._logged.popitem(last=False)
        self._log.warning(
            'entry_left_out',
            kind=kind,
            name=name,
            revision=revision,
            reason=reason,
        )
