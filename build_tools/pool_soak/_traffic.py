"""The operator's configuration that the soak uses, and changes to it."""

import dataclasses

HOST = 'soak.example'

LARGE = 'large'
SMALL = 'small'

TIMEOUT = 5.0
"""Timeout of each route (seconds)."""

REVOCATION = 5.0
"""How long a key may work after it was taken away (seconds)."""

MODELS = (
    {'Name': LARGE, 'size': 4, 'Share': 0.5, 'LoadS': 2.0, 'WarmS': 0.4},
    {'Name': SMALL, 'size': 2, 'Share': 0.5, 'LoadS': 1.5, 'WarmS': 0.3},
)

ENGINE_TERMS = {
    'SlotCount': 9,
    'Models': list(MODELS),
    'LoadsPerS': 5.0,
    'loads_at_once': 6,
    'FormMs': 100.0,
    'Stride': 5,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request.

    Parameters
    ----------
    name : str
        Name of its route.
    wire_kind, service : str
        What the route says.
    once : bool
        Whether it may run once at most.
    stream : bool
        Whether the answer is a stream.
    resumable : bool
        Whether the stream may go on elsewhere.
    weight : float
        How often callers choose it.
    """

    name: str
    wire_kind: str
    service: str
    once: bool
    stream: bool
    resumable: bool
    weight: float

    @property
    def path(self):
        """Path of its requests."""
        return f'/{self.name}/x'


KINDS = (
    Kind('ask', 'streaming', 'llm', False, True, True, 0.4),
    Kind('once', 'streaming', 'llm', True, True, False, 0.15),
    Kind('pay', 'non_idempotent', 'ledger', True, False, False, 0.25),
    Kind('read', 'idempotent', 'ledger', False, False, False, 0.2),
)


def make_configuration(version, keys, moved=False):
    """Configuration of a version.

    Parameters
    ----------
    version : int
        Version.
    keys : dict of str to list of str
        Keys of each client account.
    moved : bool
        Whether the plain requests go to the other service.
    """
    return {
        'Version': version,
        'Routes': [_make_route(kind, moved) for kind in KINDS],
        'Services': [
            {'Name': 'llm', 'Engine': ENGINE_TERMS},
            {'Name': 'ledger'},
            {'Name': 'books'},
        ],
        'Limits': {'IdleTimeoutMs': 10000, 'HeaderTimeoutMs': 2000},
        'Tenants': [
            {'Name': name, 'ApiKeys': list(held)}
            for name, held in keys.items()
        ],
    }


def _make_route(kind, moved):
    service = kind.service
    if moved and service == 'ledger':
        service = 'books'
    return {
        'Name': kind.name,
        'Host': HOST,
        'PathPrefix': f'/{kind.name}/',
        'Kind': kind.wire_kind,
        'TimeoutMs': int(TIMEOUT * 1000),
        'SloMs': 400,
        'GapSloMs': 300,
        'Service': service,
        'MaxAttempts': 1 if kind.wire_kind == 'non_idempotent' else 2,
        'Resumable': kind.resumable,
    }
