"""Stand-in for a plain service that records the effects of its calls.

``POST /admin`` sets faults. ``refuse`` is the number of calls that are
answered with status 503 and ``not_run`` before they take effect.
``lose_answers`` is the number of calls that take effect and whose connection
is closed instead of an answer. ``delay`` postpones every answer, after the
call has taken effect (seconds). ``GET /admin`` answers the effects.
"""

import argparse
import asyncio
import json

from tornado import httpserver
from tornado import web

from standins import platform


class Service:
    """Recorded effects and current faults of the service."""

    def __init__(self):
        self.effects = []
        self.faults = {'refuse': 0, 'lose_answers': 0, 'delay': 0.0}

    def get_balance(self, circle):
        """Sum the recorded payouts of a circle.

        Parameters
        ----------
        circle : str
            Name of the circle.

        Returns
        -------
        float
        """
        return sum(
            effect['amount']
            for effect in self.effects
            if effect['circle'] == circle
        )


class _CallHandler(web.RequestHandler):
    def initialize(self, service):
        self.service = service

    async def _answer(self, path):
        faults = self.service.faults
        if faults['refuse']:
            faults['refuse'] -= 1
            self.set_status(503)
            self.finish({'not_run': True})
            return
        if self.request.method == 'POST':
            effect = json.loads(self.request.body)
            effect['key'] = self.request.headers.get('Idempotency-Key', '')
            self.service.effects.append(effect)
            body = {'recorded': len(self.service.effects)}
        else:
            circle = path.rsplit('/', 1)[-1]
            body = {'balance': self.service.get_balance(circle)}
        if faults['delay']:
            await asyncio.sleep(faults['delay'])
        if faults['lose_answers']:
            faults['lose_answers'] -= 1
            self.request.connection.stream.close()
            return
        self.finish(body)

    get = post = _answer


class _AdminHandler(web.RequestHandler):
    def initialize(self, service):
        self.service = service

    def get(self):
        self.write({'effects': self.service.effects})

    def post(self):
        self.service.faults.update(json.loads(self.request.body))
        self.write({})


def make_server(service, ssl_context=None):
    """Make the HTTP server of a service; it does not listen yet.

    Parameters
    ----------
    service : Service
        State that the server exposes.
    ssl_context : ssl.SSLContext or None
        Context for TLS; None serves plain HTTP.

    Returns
    -------
    tornado.httpserver.HTTPServer
    """
    handler_arguments = {'service': service}
    return httpserver.HTTPServer(
        web.Application(
            [
                ('/admin', _AdminHandler, handler_arguments),
                ('/(.*)', _CallHandler, handler_arguments),
            ],
            log_function=lambda handler: None,
        ),
        ssl_options=ssl_context,
    )


async def main():
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, required=True)
    arguments = parser.parse_args()
    platform.listen(make_server(Service()), arguments.port)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
