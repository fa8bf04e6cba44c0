"""The stand-in of the users' platform as a process of its own.

The plan is a JSON file with ``store_port``, ``admin_port``, ``times``,
``configuration``, and rows of ``engines`` and ``services``.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random

from tornado import httpserver
from tornado import web

from standins.pool import _platform
from standins.pool import _times


class AdminHandler(web.RequestHandler):
    """Gives faults, and tells what was seen."""

    def initialize(self, platform):
        self._platform = platform

    def get(self):
        runs = int(self.get_query_argument('runs', '0'))
        arrivals = int(self.get_query_argument('arrivals', '0'))
        witness = self._platform.witness
        self.finish(
            {
                'runs': [
                    dataclasses.asdict(run) for run in witness.runs[runs:]
                ],
                'arrivals': witness.arrivals[arrivals:],
                'violations': witness.violations,
                'store_calls': len(self._platform.store.calls),
                'groups': {
                    engine.server_id: engine.group
                    for engine in self._platform.engines.values()
                },
            }
        )

    def post(self):
        data = json.loads(self.request.body)
        platform = self._platform
        match data:
            case {'store': values}:
                for name, value in values.items():
                    setattr(platform.store.faults, name, value)
                witness = platform.witness
                witness.excuse_loads = any(
                    dataclasses.astuple(platform.store.faults)
                )
            case {'forget_history': _}:
                platform.store.forget_history()
            case {'configuration': value}:
                platform.store.put('config', 'main', value)
            case {'server': name, 'set': values}:
                self._change(name, values)
            case {'restart': name}:
                engine = platform.engines[name]
                engine.dark = engine.gone = False
                engine.restart()
            case {'add_engine': row}:
                platform.add_engine(**row)
        self.finish({})

    def _change(self, name, values):
        platform = self._platform
        server = platform.engines.get(name) or platform.services[name]
        for field, value in values.items():
            setattr(server, field, value)
        if server.gone:
            server.end()
        if 'state' in values:
            server.write_entry()


async def _serve(plan):
    platform = _platform.PoolPlatform(
        lambda: plan['store_port'], _times.Times(**plan['times'])
    )
    platform.start()
    platform.store.put('config', 'main', plan['configuration'])
    for row in plan['engines']:
        platform.add_engine(**row)
    for row in plan['services']:
        platform.add_service(**row)
    for engine in platform.engines.values():
        engine.events = plan['events']
        engine.pause = plan['pause']
    application = web.Application(
        [('/', AdminHandler, {'platform': platform})],
        log_function=lambda handler: None,
    )
    httpserver.HTTPServer(application).listen(plan['admin_port'], '127.0.0.1')
    await asyncio.Event().wait()


def main():
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('plan', type=pathlib.Path)
    parser.add_argument('--seed', type=int, default=None)
    arguments = parser.parse_args()
    random.seed(arguments.seed)
    plan = json.loads(arguments.plan.read_text(encoding='utf-8'))
    asyncio.run(_serve(plan))


if __name__ == '__main__':
    main()
