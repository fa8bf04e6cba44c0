"""Stand-in for the users' platform as a process of its own.

The plan is a JSON file with ``store_port``, ``admin_port``, ``times``,
``configuration``, the lists ``engines`` and ``services`` with one row for
each server, and ``events`` and ``pause``, the number of events of a stream
and the time between them (seconds).
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
    """Sets faults, and returns what was recorded.

    ``POST`` takes one of ``store`` (faults of the store), ``forget_history``,
    ``configuration``, ``server`` or ``servers`` with ``set`` (attributes of
    one server or of several at once), ``restart`` and ``add_engine``. ``GET``
    returns runs and arrivals from the given indices on, all violations, and
    the group of each engine.
    """

    def initialize(self, platform):
        self._platform = platform

    def get(self):
        runs = int(self.get_query_argument('runs', '0'))
        arrivals = int(self.get_query_argument('arrivals', '0'))
        trace = self._platform.trace
        self.finish(
            {
                'runs': [dataclasses.asdict(run) for run in trace.runs[runs:]],
                'arrivals': trace.arrivals[arrivals:],
                'violations': trace.violations,
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
                trace = platform.trace
                trace.ignore_loads = any(
                    dataclasses.astuple(platform.store.faults)
                )
            case {'forget_history': _}:
                platform.store.drop_history()
            case {'restore_store': values}:
                platform.start_restore(**values)
            case {'configuration': value}:
                platform.store.put('config', 'main', value)
            case {'server': name, 'set': values}:
                self._set_attributes(name, values)
            case {'servers': names, 'set': values}:
                for name in names:
                    self._set_attributes(name, values)
            case {'restart': name}:
                engine = platform.engines[name]
                engine.dark = engine.gone = False
                engine.restart()
            case {'add_engine': row}:
                platform.add_engine(**row)
        self.finish({})

    def _set_attributes(self, name, values):
        platform = self._platform
        server = platform.engines.get(name) or platform.services[name]
        for attribute, value in values.items():
            setattr(server, attribute, value)
        if server.gone:
            server.kill()
        if 'state' in values:
            server.write_entry()


async def _serve(plan):
    platform = _platform.FakePlatform(
        lambda: plan['store_port'], _times.Times(**plan['times'])
    )
    platform.start()
    platform.store.put('config', 'main', plan['configuration'])
    for row in plan['engines']:
        platform.add_engine(**row)
    for row in plan['services']:
        platform.add_service(**row)
    for engine in platform.engines.values():
        engine.event_count = plan['events']
        engine.event_interval = plan['pause']
    application = web.Application(
        [('/', AdminHandler, {'platform': platform})],
        log_function=lambda handler: None,
    )
    httpserver.HTTPServer(application).listen(plan['admin_port'], '127.0.0.1')
    await asyncio.Event().wait()


def main():
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('plan', type=pathlib.Path)
    parser.add_argument('--seed', type=int, default=None)
    arguments = parser.parse_args()
    random.seed(arguments.seed)
    plan = json.loads(arguments.plan.read_text(encoding='utf-8'))
    asyncio.run(_serve(plan))


if __name__ == '__main__':
    main()
