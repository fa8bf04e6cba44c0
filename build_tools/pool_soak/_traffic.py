"""Kinds of request and configuration of the soak test."""

import dataclasses

HOST = 'soak.example'

LARGE_MODEL = 'large'
SMALL_MODEL = 'small'

ROUTE_TIMEOUT = 10.0
"""Timeout of each route (seconds)."""

IDLE_TIMEOUT = 10.0
"""Timeout of idle connections of callers (seconds)."""

MAX_REVOCATION_DELAY = 5.0
"""Longest time for which a revoked API key may still be accepted (seconds)."""

MODELS = (
    {'Name': LARGE_MODEL, 'size': 4, 'Share': 0.5, 'LoadS': 2.0, 'WarmS': 0.4},
    {'Name': SMALL_MODEL, 'size': 2, 'Share': 0.5, 'LoadS': 1.5, 'WarmS': 0.3},
)

ENGINE_SETTINGS = {
    'SlotCount': 9,
    'Models': list(MODELS),
    'LoadsPerS': 5.0,
    'loads_at_once': 6,
    'FormMs': 100.0,
    'Stride': 5,
}


@dataclasses.dataclass(slots=True, frozen=True)
class RequestKind:
    """Kind of request, with the properties of its route.

    Parameters
    ----------
    name : str
        Name of the route and first segment of its path.
    wire_kind : str
        Kind of the route in the configuration.
    service : str
        Service that the route leads to.
    at_most_once : bool
        Whether a backend server may execute the request only once.
    stream : bool
        Whether the answer is an event stream.
    resumable : bool
        Whether another backend server may resume the stream.
    weight : float
        Share of the requests that are of this kind.
    """

    name: str
    wire_kind: str
    service: str
    at_most_once: bool
    stream: bool
    resumable: bool
    weight: float

    @property
    def path(self):
        """Path of the requests of this kind."""
        return f'/{self.name}/x'


REQUEST_KINDS = (
    RequestKind('ask', 'streaming', 'llm', False, True, True, 0.4),
    RequestKind('once', 'streaming', 'llm', True, True, False, 0.15),
    RequestKind('pay', 'non_idempotent', 'ledger', True, False, False, 0.25),
    RequestKind('read', 'idempotent', 'ledger', False, False, False, 0.2),
)


def make_configuration(
    version,
    keys,
    is_moved=False,
    idle_timeout=IDLE_TIMEOUT,
    route_timeout=ROUTE_TIMEOUT,
):
    """Make the operator's configuration.

    Parameters
    ----------
    version : int
        Version of the configuration.
    keys : dict of str to list of str
        API keys of each client account.
    is_moved : bool, default=False
        Whether the routes of the ``ledger`` service lead to ``books``.
    idle_timeout : float, default=10.0
        Timeout of idle connections of callers (seconds).
    route_timeout : float, default=5.0
        Timeout of each route (seconds).

    Returns
    -------
    dict
        The configuration as the store holds it.
    """
    return {
        'Version': version,
        'Routes': [
            _make_route(kind, is_moved, route_timeout)
            for kind in REQUEST_KINDS
        ],
        'Services': [
            {'Name': 'llm', 'Engine': ENGINE_SETTINGS},
            {'Name': 'ledger'},
            {'Name': 'books'},
        ],
        'Limits': {
            'IdleTimeoutMs': int(idle_timeout * 1000),
            'HeaderTimeoutMs': 2000,
        },
        'Tenants': [
            {'Name': name, 'ApiKeys': list(account_keys)}
            for name, account_keys in keys.items()
        ],
    }


def _make_route(kind, is_moved, timeout):
    service = kind.service
    if is_moved and service == 'ledger':
        service = 'books'
    return {
        'Name': kind.name,
        'Host': HOST,
        'PathPrefix': f'/{kind.name}/',
        'Kind': kind.wire_kind,
        'TimeoutMs': int(timeout * 1000),
        'SloMs': 400,
        'GapSloMs': 300,
        'Service': service,
        'MaxAttempts': 1 if kind.wire_kind == 'non_idempotent' else 2,
        'Resumable': kind.resumable,
    }
