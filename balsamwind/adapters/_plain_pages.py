"""Small HTTP pages of a node: readiness and metrics."""

import prometheus_client
from tornado import httpserver
from tornado import web


class _ReadyHandler(web.RequestHandler):
    def initialize(self, is_ready):
        self._is_ready = is_ready

    def get(self):
        if not self._is_ready():
            self.set_status(503)
        self.finish()


class _MetricsHandler(web.RequestHandler):
    def initialize(self, registry):
        self._registry = registry

    def get(self):
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(prometheus_client.generate_latest(self._registry))


def make_ready_server(path, is_ready):
    """Server of the readiness page at `path`."""
    rows = [(path, _ReadyHandler, {'is_ready': is_ready})]
    return _make_server(rows)


def make_metrics_server(registry):
    """Server of ``/metrics``."""
    return _make_server(
        [('/metrics', _MetricsHandler, {'registry': registry})]
    )


def _make_server(rows):
    application = web.Application(rows, log_function=lambda handler: None)
    return httpserver.HTTPServer(application)
