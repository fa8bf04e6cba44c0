"""HTTP server for operators: health, readiness, status and metrics."""

import json

from tornado import httpserver
from tornado import web


class _OperatorHandler(web.RequestHandler):
    """Base class of the handlers for operators."""

    def initialize(self, entry):
        """Store the entry whose state is reported."""
        self.entry = entry


class HealthHandler(_OperatorHandler):
    """Handler of ``/healthz``, the liveness probe."""

    def get(self):
        """Respond with 200, which shows that the event loop runs."""
        self.write({'status': 'ok'})


class ReadyHandler(_OperatorHandler):
    """Handler of ``/readyz``, the readiness probe of load balancers."""

    def get(self):
        """Respond with 200 if the entry is ready, else 503 and the reason."""
        reason = self.entry.find_unready_reason()
        if reason:
            self.set_status(503)
        self.write({'ready': not reason, 'reason': reason})


class StatusHandler(_OperatorHandler):
    """Handler of ``/status``: groups, nodes and the store revision."""

    def get(self):
        """Respond with the state of the entry as JSON."""
        self.set_header('Content-Type', 'application/json')
        self.write(json.dumps(self.entry.make_status()))


class MetricsHandler(_OperatorHandler):
    """Handler of ``/metrics``."""

    def get(self):
        """Respond with all metrics in the Prometheus text format."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.write(self.entry.metrics.expose())


def make_operator_server(entry):
    """Build the HTTP server for operators; it does not listen yet.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Entry whose state is reported.

    Returns
    -------
    tornado.httpserver.HTTPServer
    """
    handler_arguments = {'entry': entry}
    application = web.Application(
        [
            ('/healthz', HealthHandler, handler_arguments),
            ('/readyz', ReadyHandler, handler_arguments),
            ('/status', StatusHandler, handler_arguments),
            ('/metrics', MetricsHandler, handler_arguments),
        ],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(application)
