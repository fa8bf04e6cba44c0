"""Prometheus metrics of the control traffic."""

from prometheus_client import core

_HELP = {
    'peer_bytes_sent': 'Bytes of messages sent to peers.',
    'peer_bytes_received': 'Bytes of messages received from peers.',
    'peer_messages_sent': 'Frames sent to peers.',
    'peer_messages_received': 'Frames received from peers.',
    'platform_bytes_received': 'Bytes of bodies read from the platform.',
    'platform_calls': 'Calls of the platform.',
    'engine_reports': 'Reports asked of engines.',
}


class ControlCollector:
    """Prometheus collector that reads its values when it is scraped.

    Parameters
    ----------
    make_counters : callable
        Returns a dict that maps the name of each counter, without the
        prefix ``balsamwind_``, to its total since the process started.
    make_gauges : callable
        Returns a dict that maps the name of each gauge, without the prefix
        ``balsamwind_``, to its current value.
    """

    __slots__ = ('_make_counters', '_make_gauges')

    def __init__(self, make_counters, make_gauges):
        self._make_counters = make_counters
        self._make_gauges = make_gauges

    def collect(self):
        """Yield a metric family for each counter and gauge."""
        for name, value in self._make_counters().items():
            yield core.CounterMetricFamily(
                f'balsamwind_{name}', _HELP.get(name, name), value=value
            )
        for name, value in self._make_gauges().items():
            yield core.GaugeMetricFamily(
                f'balsamwind_{name}', name.replace('_', ' '), value=value
            )
