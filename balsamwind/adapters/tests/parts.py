"""The request path over real adapters, for tests."""

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

PLACE = 'tbilisi-a'

CONTRACT = objects.Contract(
    customer='rotagzeli',
    api_key_hashes=(objects.make_key_hash('key'),),
    starts_at='2020-01-01T00:00:00Z',
    ends_at='2099-01-01T00:00:00Z',
)

SETTINGS = settings.RequestSettings(
    timeout=20.0, first_token_timeout=0.2, token_timeout=0.2, retry_share=0.0
)


def make_group(name, address, data_centre=PLACE):
    """A complete group of one VM."""
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


class Groups:
    """Groups that serve until they are taken down."""

    def __init__(self, groups):
        self.groups = list(groups)
        self.down = []

    def serving(self, contract, model, now):
        """Groups that serve."""
        del contract, model, now
        return self.groups

    def note_group_down(self, group, reason):
        """Take a group down."""
        del reason
        self.down.append(group.name)
        self.groups = [g for g in self.groups if g.name != group.name]


class Path:
    """Completions over groups of one engine each; earlier ones go first."""

    def __init__(self, addresses, request_settings=SETTINGS, client=None):
        self.client = client or adapters.HttpClient()
        names = [f'g{number}' for number in range(len(addresses))]
        self.reports = {
            name: ports.EngineReport(
                f'vm-{name}', ports.EngineState.READY, running=10 * number
            )
            for number, name in enumerate(names)
        }
        self.groups = Groups(map(make_group, names, addresses))
        self.late = 0
        self.ways = []
        self.clock = adapters.SystemClock()
        self.router = routing.make_router(
            PLACE, lambda group: self.reports[group.name], 7
        )
        self.completions = requests.Completions(
            adapters.HttpEngine(self.client),
            self.groups,
            self.router,
            admission.RetryBudget(0.2),
            request_settings,
            self.clock,
            self,
        )

    def note_group_down(self, group, reason):
        """Take a group down."""
        self.groups.note_group_down(group, reason)

    def note_late_events(self, count):
        """Count late events."""
        self.late += count

    def note_resumption(self, way):
        """Note an attempt after the first."""
        self.ways.append(way)

    def make_request(self, max_tokens=4, timeout=5.0):
        """A request for the whole answer."""
        return requests.CompletionRequest(
            'r',
            CONTRACT,
            'm',
            'a b c d',
            max_tokens,
            self.clock.monotonic() + timeout,
        )

    async def collect(self, **arguments):
        """Tokens of one request; raises if the answer is not whole."""
        tokens = []
        run = self.completions.run(self.make_request(**arguments))
        async with contextlib.aclosing(run) as batches:
            async for batch in batches:
                tokens.extend(batch)
        return tokens


class Caller(Path):
    """What the caller server asks of an entry."""

    def __init__(self, addresses):
        super().__init__(addresses)
        self.settings = dataclasses.make_dataclass(
            'Parts', [('requests', settings.RequestSettings)]
        )(SETTINGS)
        self.outcomes = []
        self.log = None

    def make_id(self):
        """Id of a request."""
        return 'r'

    def find_contract(self, key):
        """The contract."""
        del key
        models = (objects.ModelTerms('m', '1', 1, 1),)
        return dataclasses.replace(CONTRACT, models=models)

    @contextlib.contextmanager
    def open_request(self):
        """Count nothing."""
        yield

    def complete(self, request):
        """Run a completion."""
        return self.completions.run(request)

    def note_outcome(self, customer, code, request_id):
        """Note the end of a request."""
        del customer, request_id
        self.outcomes.append(code)


def make_body(**fields):
    """Body of a streamed completion."""
    value = {'model': 'm', 'prompt': 'a b c d', 'stream': True, **fields}
    return json.dumps(value).encode()
