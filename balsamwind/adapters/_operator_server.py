"""HTTP server towards operators: health, status, metrics."""

import json

from tornado import httpserver
from tornado import web


class _OperatorHandler(web.RequestHandler):
    """What all handlers towards operators share."""

    def initialize(self, entry):
        """Take the entry that is asked about."""
        self.entry = entry


class HealthHandler(_OperatorHandler):
    """``/healthz``: the process runs its loop."""

    def get(self):
        """Say so."""
        self.write({'status': 'ok'})


class ReadyHandler(_OperatorHandler):
    """``/readyz``: the balancer may send requests."""

    def get(self):
        """Say whether, and why not."""
        reason = self.entry.check_ready()
        if reason:
            self.set_status(503)
        self.write({'ready': not reason, 'reason': reason})


class StatusHandler(_OperatorHandler):
    """``/status``: groups, nodes, revision in force."""

    def get(self):
        """Say what this entry knows."""
        self.set_header('Content-Type', 'application/json')
        self.write(json.dumps(self.entry.make_status()))


class MetricsHandler(_OperatorHandler):
    """``/metrics``."""

    def get(self):
        """Say all metrics in the text format."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.write(self.entry.metrics.expose())


def make_operator_server(entry):
    """Build the HTTP server towards operators; it does not listen yet."""
    arguments = {'entry': entry}
    application = web.Application(
        [
            ('/healthz', HealthHandler, arguments),
            ('/readyz', ReadyHandler, arguments),
            ('/status', StatusHandler, arguments),
            ('/metrics', MetricsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)
