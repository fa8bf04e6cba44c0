"""Promises, checked from what callers and backend servers saw."""

import collections
import json
import time

from build_tools import logs
from build_tools.pool_soak import _fleet
from build_tools.pool_soak import _traffic

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""

DENIALS = (400, 401, 403, 404, 413, 431)
"""Statuses that no proper request may get."""

GONE = 0.5
"""Time after which a server must have stopped work for a caller that left
(seconds)."""

LATE = 0.6
"""Time after its limit at which a request must have its answer (seconds)."""

APPLY = 2.0
"""Time in which a version must be in force (seconds)."""

LOST = 3
"""Closed connections with a request in them that are passed over (count)."""

FIRST_KEYS = ('key-a', 'key-b', 'key-c')
"""Keys that every version knows, until they are taken away."""

SETTLED = 1.0
"""Time before a request in which its node must have been left alone for its
answer to be judged (seconds)."""


class Checks:
    """Compares what callers were told with what ran.

    Parameters
    ----------
    fleet : Fleet
        Nodes.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.calls = {}
        self._runs = []
        self._arrivals = []
        self._seen = 0
        self.outcomes = collections.Counter()
        self.violations = []
        # When keys were taken away, and keys of which that has begun.
        self.revoked = {}
        self.retiring = set()
        self._moves = [(float('-inf'), False)]

    def violate(self, rule, text):
        """Note a promise that was broken."""
        self.violations.append(f'{rule}: {text}')

    def note(self, call):
        """Take a request that has ended."""
        self.calls[call.request_id] = call
        self.outcomes[f'{call.kind.name} {call.outcome}'] += 1
        if call.error.startswith('malformed'):
            self.violate('MIXED', f'{call.request_id}: {call.error}')
        if call.status in DENIALS and not self._may_deny(call):
            self.violate('DENIED', self._describe(call))
        if call.status == 200:
            self._check_answer(call)
        self._check_time(call)

    def note_move(self, moved):
        """Note that plain requests go to the other service from now on."""
        self._moves.append((time.monotonic(), moved))

    def _is_undisturbed(self, call):
        return call.node.touched_at < call.sent_at - SETTLED

    def _may_deny(self, call):
        if call.status != 401:
            return False
        # A node that was cut off may not know a key that has just come.
        return call.key in self.retiring or not (
            self._is_undisturbed(call) or call.key in FIRST_KEYS
        )

    def _describe(self, call):
        return (
            f'{call.request_id} {call.kind.name} at {call.node.name}:'
            f' {call.outcome} {call.body[-200:]!r}'
        )

    def _check_answer(self, call):
        if 'x-balsamwind-response-stamp' not in call.headers:
            self.violate('MIXED', f'not signed: {self._describe(call)}')
        if call.headers.get('x-balsamwind-request-id') != call.request_id:
            self.violate('MIXED', f'other id: {self._describe(call)}')
        if call.kind.stream:
            self._check_events(call)
        elif call.whole and not call.body.endswith(
            f' ran {call.request_id}'.encode()
        ):
            self.violate('MIXED', self._describe(call))

    def _check_events(self, call):
        wanted = b''.join(
            f'id: {n}\ndata: token {n} {call.request_id}\n\n'.encode()
            for n in range(1, _fleet.EVENTS + 1)
        )
        if call.whole and call.body != wanted:
            self.violate('ORDER', self._describe(call))
        if not call.whole and not wanted.startswith(call.body):
            rest = call.body.rpartition(b'\n\n')[0]
            if not wanted.startswith(rest):
                self.violate('ORDER', self._describe(call))

    def _check_time(self, call):
        took = call.ended_at - call.sent_at
        limit = min(call.limit, _traffic.TIMEOUT)
        if not self._is_undisturbed(call) or call.left_at is not None:
            return
        if took > limit + LATE:
            self.violate('LATE', f'{took:.2f} s: {self._describe(call)}')

    async def look(self):
        """Take what the stand-in saw since the last look."""
        seen = await self._fleet.look(len(self._runs), len(self._arrivals))
        # A run that has not ended is looked at again when all is over.
        self._runs += seen['runs']
        self._arrivals += seen['arrivals']
        for text in seen['violations'][self._seen :]:
            self.violations.append(text)
        self._seen = len(seen['violations'])
        self._check_processes()

    def _check_processes(self):
        if self._fleet.platform_ended:
            self.violate('TOOL', 'the stand-in of the platform has ended')
        for node in self._fleet.nodes:
            if not node.restarting.locked() and node.process.poll():
                self.violate(
                    'CRASH', f'{node.name}: {node.process.returncode}'
                )

    async def finish(self):
        """Check all that is known at the end."""
        seen = await self._fleet.look()
        self._runs = seen['runs']
        self._arrivals = seen['arrivals']
        by_id = collections.defaultdict(list)
        for run in self._runs:
            by_id[run['request_id']].append(run)
        for request_id, runs in by_id.items():
            call = self.calls.get(request_id)
            if call is None:
                self.violate('UNASKED', f'{request_id}: {runs}')
                continue
            self._check_runs(call, runs)
        self._check_lost(by_id)
        self._check_gone(by_id)
        self._check_budget()
        self._check_logs()

    def _check_runs(self, call, runs):
        if call.kind.once and len(runs) > 1:
            self.violate('TWICE', f'{self._describe(call)}: {runs}')
        if call.status in NOT_RUN and (call.kind.once or call.kind.stream):
            self.violate('REFUSED', f'{self._describe(call)}: {runs}')
        for run in runs:
            if (
                run['body'] != f'body {call.request_id}'
                or run['path'] != call.kind.path
                or run['account'] != call.account
                or run['leaked_key']
            ):
                self.violate('UNASKED', f'{self._describe(call)}: {run}')
            if run['service'] not in self._find_services(call):
                self.violate('CONFIG', f'{self._describe(call)}: {run}')
        since = self.revoked.get(call.key)
        if since is not None and call.sent_at > since + _traffic.REVOCATION:
            self.violate(
                'CONFIG',
                f'key taken away {call.sent_at - since:.2f} s before:'
                f' {self._describe(call)}',
            )

    def _find_services(self, call):
        """Services that may run a request, by when it was sent."""
        if call.kind.service != 'ledger':
            return {call.kind.service}
        if not self._is_undisturbed(call):
            return {'ledger', 'books'}
        settled = [
            moved for at, moved in self._moves if at < call.sent_at - APPLY
        ]
        later = [
            moved
            for at, moved in self._moves
            if call.sent_at - APPLY <= at <= call.ended_at + APPLY
        ]
        allowed = {settled[-1], *later}
        return {'books' if moved else 'ledger' for moved in allowed}

    def _check_lost(self, by_id):
        """Check that no request that ran ends with a closed connection."""
        lost = [
            self._describe(call)
            for call in self.calls.values()
            if call.error == 'closed'
            and not call.status
            and by_id.get(call.request_id)
            and self._is_undisturbed(call)
        ]
        if len(lost) > LOST:
            self.violate('LOST', f'{len(lost)}: {lost[:3]}')

    def _check_gone(self, by_id):
        left = 0
        kept = []
        for call in self.calls.values():
            if call.left_at is None or call.kind.once:
                continue
            if not self._is_undisturbed(call):
                continue
            for run in by_id.get(call.request_id, ()):
                ended = run['ended_at']
                left += 1
                if ended is not None and ended > call.left_at + GONE:
                    kept.append(call.request_id)
        if len(kept) > 3 and len(kept) > left / 4:
            self.violate('GONE', f'{len(kept)} of {left}: {kept[:5]}')

    def _check_budget(self):
        """Check the arrivals beyond the first of each request."""
        window = _fleet.BOUNDS['BudgetWindowS']
        by_service = collections.defaultdict(list)
        for at, service, request_id, _ in self._arrivals:
            by_service[service].append((at, request_id))
        for service, rows in by_service.items():
            seen = set()
            again = []
            first = []
            for at, request_id in rows:
                (again if request_id in seen else first).append(at)
                seen.add(request_id)
            for at in again:
                count = sum(at <= other < at + window for other in again)
                requests = max(
                    sum(low <= other < low + window for other in first)
                    for low in (at, at - window, at - window / 2)
                )
                allowed = (
                    _fleet.BOUNDS['BudgetRatio'] * requests
                    + _fleet.BOUNDS['BudgetExtra']
                )
                if count > allowed:
                    self.violate(
                        'BUDGET', f'{service}: {count} of {allowed:.0f}'
                    )
                    break

    def _check_logs(self):
        for node in self._fleet.nodes:
            text = node.log_path.read_text(encoding='utf-8', errors='replace')
            for crash in logs.find_crashes(text):
                self.violate('LOG', f'{node.name}: {crash}')

    def print(self):
        """Print outcomes, and what was broken."""
        for outcome, count in sorted(self.outcomes.items()):
            print(f'{count:6d}  {outcome}')
        for violation in self.violations:
            print(f'violated: {violation}')

    def dump(self, path):
        """Write what callers saw and what ran, for tracing."""
        rows = [
            {
                'id': call.request_id,
                'kind': call.kind.name,
                'node': call.node.name,
                'sent_at': call.sent_at,
                'ended_at': call.ended_at,
                'left_at': call.left_at,
                'outcome': call.outcome,
                'body': call.body.decode('latin-1')[-300:],
            }
            for call in self.calls.values()
        ]
        value = {'calls': rows, 'runs': self._runs, 'arrivals': self._arrivals}
        path.write_text(json.dumps(value), encoding='utf-8')
