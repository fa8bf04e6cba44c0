"""HTTP servers of a node's readiness page and of its metrics page."""

import prometheus_client
from tornado import httpserver
from tornado import web

MAX_BODY_SIZE = 1 << 12
"""Largest body of a request, which needs none (bytes)."""

MAX_HEADER_SIZE = 1 << 14
"""Largest header block (bytes)."""

IDLE_TIMEOUT = 60.0
"""Longest time for which a connection may be idle, or a body take
(seconds)."""


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


def make_readiness_server(path, is_ready):
    """Build the HTTP server of the readiness page; it does not listen yet.

    The page responds with 200 or 503, without a body.

    Parameters
    ----------
    path : str
        Path of the page.
    is_ready : callable
        Takes no arguments and returns whether the node is ready.

    Returns
    -------
    tornado.httpserver.HTTPServer
    """
    handlers = [(path, _ReadyHandler, {'is_ready': is_ready})]
    return _make_server(handlers)


def make_metrics_server(registry):
    """Build the HTTP server of ``/metrics``; it does not listen yet.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry of the metrics.

    Returns
    -------
    tornado.httpserver.HTTPServer
    """
    return _make_server(
        [('/metrics', _MetricsHandler, {'registry': registry})]
    )


def _make_server(handlers):
    application = web.Application(handlers, log_function=lambda handler: None)
    return httpserver.HTTPServer(
        application,
        max_body_size=MAX_BODY_SIZE,
        max_header_size=MAX_HEADER_SIZE,
        idle_connection_timeout=IDLE_TIMEOUT,
        body_timeout=IDLE_TIMEOUT,
    )
