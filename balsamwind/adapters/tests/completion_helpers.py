"""Completions over the real engine client and a fake entry, for tests."""

import contextlib
import dataclasses
import json

from balsamwind import adapters
from balsamwind import admission
from balsamwind import objects
from balsamwind import ports
from balsamwind import requests
from balsamwind import routing
from balsamwind import settings

DATA_CENTRE = 'tbilisi-a'

CONTRACT = objects.Contract(
    customer='rotagzeli',
    api_key_hashes=(objects.make_key_hash('key'),),
    starts_at='2020-01-01T00:00:00Z',
    ends_at='2099-01-01T00:00:00Z',
)

SETTINGS = settings.RequestSettings(
    timeout=20.0, first_token_timeout=0.2, token_timeout=0.2, retry_share=0.0
)


def make_group(name, address, data_centre=DATA_CENTRE):
    """Return a ready group of one VM."""
    return objects.Group(
        name=name,
        contract='rotagzeli',
        model='m',
        version='1',
        data_centre=data_centre,
        fabric_domain='d0',
        members=(objects.Member(f'vm-{name}', address),),
        generation=1,
        state=objects.GroupState.READY,
    )


class FakeGroups:
    """Table of groups that serve until they are reported down."""

    def __init__(self, groups):
        self.groups = list(groups)
        self.down = []

    def find_serving_groups(self, contract, model, now):
        """Return the groups that have not been reported down."""
        del contract, model, now
        return self.groups

    def handle_group_down(self, group, reason):
        """Stop serving from a group."""
        del reason
        self.down.append(group.name)
        self.groups = [g for g in self.groups if g.name != group.name]


class CompletionPath:
    """Completions over groups of one engine each.

    The load reports make the router prefer the groups in the order of
    `addresses`.

    Parameters
    ----------
    addresses : list of str
        ``host:port`` of each group's engine.
    request_settings : balsamwind.settings.RequestSettings
        Timeouts and retry budget of the completions.
    client : HttpClient or None
        HTTP client of the engines; None makes one.
    """

    def __init__(self, addresses, request_settings=SETTINGS, client=None):
        self.client = client or adapters.HttpClient()
        names = [f'g{number}' for number in range(len(addresses))]
        self.reports = {
            name: ports.EngineReport(
                f'vm-{name}', ports.EngineState.READY, running=10 * number
            )
            for number, name in enumerate(names)
        }
        self.groups = FakeGroups(map(make_group, names, addresses))
        self.late_events = 0
        self.resumption_steps = []
        self.clock = adapters.SystemClock()
        self.router = routing.make_router(
            DATA_CENTRE, lambda group: self.reports[group.name], 7
        )
        self.completions = requests.CompletionRunner(
            adapters.HttpEngine(self.client),
            self.groups,
            self.router,
            admission.RetryBudget(0.2),
            request_settings,
            self.clock,
            self,
        )

    def handle_group_down(self, group, reason):
        """Stop serving from a group."""
        self.groups.handle_group_down(group, reason)

    def count_late_events(self, count):
        """Count events of abandoned attempts."""
        self.late_events += count

    def count_resumption(self, step_name):
        """Record how an attempt after the first one began."""
        self.resumption_steps.append(step_name)

    def make_request(self, max_tokens=4, timeout=5.0):
        """Return a completion request."""
        return requests.CompletionRequest(
            'r',
            CONTRACT,
            'm',
            'a b c d',
            max_tokens,
            self.clock.monotonic() + timeout,
        )

    async def collect(self, **arguments):
        """Return the tokens of one request; raises if it fails."""
        tokens = []
        run = self.completions.run(self.make_request(**arguments))
        async with contextlib.aclosing(run) as batches:
            async for batch in batches:
                tokens.extend(batch)
        return tokens


class FakeEntry(CompletionPath):
    """Entry with the methods and attributes that the caller server uses."""

    def __init__(self, addresses):
        super().__init__(addresses)
        self.settings = dataclasses.make_dataclass(
            'Parts', [('requests', settings.RequestSettings)]
        )(SETTINGS)
        self.outcomes = []
        self.log = None

    def make_id(self):
        """Return the only request id."""
        return 'r'

    def find_contract(self, key):
        """Return the only contract, whatever the key is."""
        del key
        models = (objects.ModelTerms('m', '1', 1, 1),)
        return dataclasses.replace(CONTRACT, models=models)

    @contextlib.contextmanager
    def track_request(self):
        """Do nothing; an entry counts its open requests."""
        yield

    def complete(self, request):
        """Yield the batches of tokens of a request."""
        return self.completions.run(request)

    def record_outcome(self, customer, code, request_id):
        """Record the outcome of a request."""
        del customer, request_id
        self.outcomes.append(code)


def make_body(**fields):
    """Return the body of a streamed completion request."""
    value = {'model': 'm', 'prompt': 'a b c d', 'stream': True, **fields}
    return json.dumps(value).encode()
