"""Guarantees, checked against the records of callers and backend servers."""

import collections
import json
import time

from build_tools import logs
from build_tools.pool_soak import _fleet
from build_tools.pool_soak import _planned
from build_tools.pool_soak import _traffic

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that a request has not been and will not be
executed."""

DENIAL_STATUSES = (400, 401, 403, 404, 413, 431)
"""Statuses that a valid request must not get."""

CANCELLATION_TIMEOUT = 0.5
"""Time within which a backend server must stop work for a caller that has
disconnected (seconds)."""

ANSWER_MARGIN = 0.6
"""Time after the deadline of a request by which it must be answered
(seconds)."""

APPLY_TIMEOUT = 2.0
"""Time within which a version of the configuration must be in force
(seconds)."""

MAX_LOST_ANSWERS = 3
"""Number of executed requests whose connection may close without an answer."""

INITIAL_KEYS = ('key-a', 'key-b', 'key-c')
"""API keys that every version of the configuration holds until they are
revoked."""

SETTLING_TIME = 1.0
"""Time before a request in which its node must have been free of faults for
its answer to be checked (seconds)."""


class Checker:
    """Checker of answers to callers against executions at backend servers.

    Parameters
    ----------
    fleet : Fleet
        Processes under test.
    is_planned : bool, default=False
        Whether there is only planned work, which must not cut a request.

    Attributes
    ----------
    calls : dict of str to Call
        Requests that have ended, by request id.
    outcomes : collections.Counter
        Number of requests by kind and outcome.
    violations : list of str
        Broken guarantees, each with the name of its rule.
    revoked_at : dict of str to float
        Monotonic time of the revocation of each API key (seconds).
    keys_in_revocation : set of str
        API keys whose revocation has begun.
    """

    def __init__(self, fleet, is_planned=False):
        self._fleet = fleet
        self._is_planned = is_planned
        self.calls = {}
        self._runs = []
        self._arrivals = []
        self._violation_count = 0
        self.outcomes = collections.Counter()
        self.violations = []
        self.revoked_at = {}
        self.keys_in_revocation = set()
        self._route_moves = [(float('-inf'), False)]

    def violate(self, rule, text):
        """Record a broken guarantee.

        Parameters
        ----------
        rule : str
            Name of the rule.
        text : str
            Description of the violation.
        """
        self.violations.append(f'{rule}: {text}')

    def record_call(self, call):
        """Record a request that has ended and check its answer.

        Parameters
        ----------
        call : Call
            The request with its answer.
        """
        self.calls[call.request_id] = call
        self.outcomes[f'{call.kind.name} {call.outcome}'] += 1
        if call.error.startswith('malformed'):
            self.violate('MIXED', f'{call.request_id}: {call.error}')
        if call.headers and not 200 <= call.status <= 599:
            self.violate('MIXED', f'no status: {self._describe(call)}')
        if call.status in DENIAL_STATUSES and not self._may_be_denied(call):
            self.violate('DENIED', self._describe(call))
        if call.status == 200:
            self._check_answer(call)
        self._check_deadline(call)

    def record_route_move(self, is_moved):
        """Record a change of the routes of the ``ledger`` service.

        Parameters
        ----------
        is_moved : bool
            Whether the routes lead to ``books`` from now on.
        """
        self._route_moves.append((time.monotonic(), is_moved))

    def _is_undisturbed(self, call):
        return call.node.disturbed_until < call.sent_at - SETTLING_TIME

    def _may_be_denied(self, call):
        if call.status != 401:
            return False
        # A partitioned node may not know a key that was added recently.
        return call.key in self.keys_in_revocation or not (
            self._is_undisturbed(call) or call.key in INITIAL_KEYS
        )

    def _describe(self, call):
        return (
            f'{call.request_id} {call.kind.name} at {call.node.name}:'
            f' {call.outcome} {call.body[-200:]!r}'
        )

    def _check_answer(self, call):
        if 'x-balsamwind-response-stamp' not in call.headers:
            self.violate('MIXED', f'no response stamp: {self._describe(call)}')
        if call.headers.get('x-balsamwind-request-id') != call.request_id:
            self.violate(
                'MIXED', f'id of another request: {self._describe(call)}'
            )
        if call.kind.stream:
            self._check_events(call)
        elif call.whole and not call.body.endswith(
            f' ran {call.request_id}'.encode()
        ):
            self.violate('MIXED', self._describe(call))

    def _check_events(self, call):
        expected = b''.join(
            f'id: {n}\ndata: token {n} {call.request_id}\n\n'.encode()
            for n in range(1, _fleet.EVENTS_PER_STREAM + 1)
        )
        if call.whole and call.body != expected:
            self.violate('ORDER', self._describe(call))
        if not call.whole and not expected.startswith(call.body):
            complete_events = call.body.rpartition(b'\n\n')[0]
            if not expected.startswith(complete_events):
                self.violate('ORDER', self._describe(call))

    def _check_deadline(self, call):
        duration = call.ended_at - call.sent_at
        limit = min(call.limit, _traffic.ROUTE_TIMEOUT)
        if not self._is_undisturbed(call) or call.left_at is not None:
            return
        if duration > limit + ANSWER_MARGIN:
            self.violate('LATE', f'{duration:.2f} s: {self._describe(call)}')

    async def fetch_records(self):
        """Fetch the stand-in's new records and check the processes."""
        records = await self._fleet.fetch_records(
            len(self._runs), len(self._arrivals)
        )
        # Runs that have not ended are fetched again by `check_all`.
        self._runs += records['runs']
        self._arrivals += records['arrivals']
        for text in records['violations'][self._violation_count :]:
            self.violations.append(text)
        self._violation_count = len(records['violations'])
        self._check_processes()

    def _check_processes(self):
        if self._fleet.has_platform_exited:
            self.violate('TOOL', 'the platform stand-in has exited')
        for node in self._fleet.nodes:
            if not node.restart_lock.locked() and node.process.poll():
                self.violate(
                    'CRASH',
                    f'{node.name}: exited with code {node.process.returncode}',
                )

    async def check_all(self):
        """Check all records at the end of the soak test."""
        records = await self._fleet.fetch_records()
        self._runs = records['runs']
        self._arrivals = records['arrivals']
        by_id = collections.defaultdict(list)
        for run in self._runs:
            by_id[run['request_id']].append(run)
        for request_id, runs in by_id.items():
            call = self.calls.get(request_id)
            if call is None:
                self.violate('UNASKED', f'{request_id}: {runs}')
                continue
            self._check_runs(call, runs)
        if self._is_planned:
            self._check_planned_work()
        else:
            self._check_lost_answers(by_id)
        self._check_cancellation(by_id)
        self._check_retry_budget()
        self._check_logs()

    def _check_runs(self, call, runs):
        if call.kind.at_most_once and len(runs) > 1:
            self.violate('TWICE', f'{self._describe(call)}: {runs}')
        if call.status in NOT_EXECUTED_STATUSES and (
            call.kind.at_most_once or call.kind.stream
        ):
            self.violate('REFUSED', f'{self._describe(call)}: {runs}')
        for run in runs:
            if (
                run['body'] != f'body {call.request_id}'
                or run['path'] != call.kind.path
                or run['account'] != call.account
                or run['leaked_key']
            ):
                self.violate('UNASKED', f'{self._describe(call)}: {run}')
            if run['service'] not in self._find_allowed_services(call):
                self.violate('CONFIG', f'{self._describe(call)}: {run}')
        since = self.revoked_at.get(call.key)
        if (
            since is not None
            and call.sent_at > since + _traffic.MAX_REVOCATION_DELAY
        ):
            self.violate(
                'CONFIG',
                f'executed with a key revoked {call.sent_at - since:.2f} s'
                ' before it was sent:'
                f' {self._describe(call)}',
            )

    def _find_allowed_services(self, call):
        """Find the services that may execute a request, from its send time."""
        if call.kind.service != 'ledger':
            return {call.kind.service}
        if not self._is_undisturbed(call):
            return {'ledger', 'books'}
        settled = [
            is_moved
            for at, is_moved in self._route_moves
            if at < call.sent_at - APPLY_TIMEOUT
        ]
        recent = [
            is_moved
            for at, is_moved in self._route_moves
            if call.sent_at - APPLY_TIMEOUT
            <= at
            <= call.ended_at + APPLY_TIMEOUT
        ]
        allowed = {settled[-1], *recent}
        return {'books' if is_moved else 'ledger' for is_moved in allowed}

    def _check_lost_answers(self, by_id):
        """Check that executed requests do not end with a closed connection."""
        lost = [
            self._describe(call)
            for call in self.calls.values()
            if call.error == 'closed'
            and not call.status
            and by_id.get(call.request_id)
            and self._is_undisturbed(call)
        ]
        if len(lost) > MAX_LOST_ANSWERS:
            self.violate(
                'LOST',
                f'{len(lost)} executed requests without answer: {lost[:3]}',
            )

    def _check_planned_work(self):
        """Check that planned work and silent servers cut no request."""
        cut = _planned.find_cut_requests(
            self.calls.values(), self._arrivals, self._runs
        )
        for kind, calls in sorted(cut.items()):
            print(f'{len(calls):6d}  cut at {kind}')
            for call in calls:
                self.violate('LOST', f'{kind}: {self._describe(call)}')

    def _check_cancellation(self, by_id):
        total = 0
        continued = []
        for call in self.calls.values():
            if call.left_at is None or call.kind.at_most_once:
                continue
            if not self._is_undisturbed(call):
                continue
            for run in by_id.get(call.request_id, ()):
                ended = run['ended_at']
                total += 1
                if (
                    ended is not None
                    and ended > call.left_at + CANCELLATION_TIMEOUT
                ):
                    continued.append(call.request_id)
        if len(continued) > 3 and len(continued) > total / 4:
            self.violate(
                'GONE',
                f'{len(continued)} of {total} executions continued:'
                f' {continued[:5]}',
            )

    def _check_retry_budget(self):
        """Check the number of retries, the repeated arrivals of an id."""
        window = _fleet.NODE_BOUNDS['BudgetWindowS']
        by_service = collections.defaultdict(list)
        for at, service, request_id, _ in self._arrivals:
            by_service[service].append((at, request_id))
        for service, arrivals in by_service.items():
            seen_ids = set()
            retries = []
            first_attempts = []
            for at, request_id in arrivals:
                (retries if request_id in seen_ids else first_attempts).append(
                    at
                )
                seen_ids.add(request_id)
            for at in retries:
                count = sum(
                    at <= arrived_at < at + window for arrived_at in retries
                )
                requests = max(
                    sum(
                        start <= arrived_at < start + window
                        for arrived_at in first_attempts
                    )
                    for start in (at, at - window, at - window / 2)
                )
                allowed = (
                    _fleet.NODE_BOUNDS['BudgetRatio'] * requests
                    + _fleet.NODE_BOUNDS['BudgetExtra']
                )
                if count > allowed:
                    self.violate(
                        'BUDGET',
                        f'{service}: {count} retries, allowed {allowed:.0f}',
                    )
                    break

    def _check_logs(self):
        for node in self._fleet.nodes:
            text = node.log_path.read_text(encoding='utf-8', errors='replace')
            for crash in logs.find_crashes(text):
                self.violate('LOG', f'{node.name}: {crash}')

    def print_results(self):
        """Print the outcomes and the violations."""
        for outcome, count in sorted(self.outcomes.items()):
            print(f'{count:6d}  {outcome}')
        for violation in self.violations:
            print(f'violated: {violation}')

    def dump(self, path):
        """Write all requests and executions to a file for diagnosis.

        Parameters
        ----------
        path : pathlib.Path
            File to write, as JSON.
        """
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
        value = {
            'calls': rows,
            'runs': self._runs,
            'arrivals': self._arrivals,
            'stops': {node.name: node.stops for node in self._fleet.nodes},
            'clock_offset': time.time() - time.monotonic(),
        }
        path.write_text(json.dumps(value), encoding='utf-8')
