"""Sections of the settings file, with units, ranges and defaults.

The docstrings of the classes and the descriptions of the fields are the text
of docs/SETTINGS.md, which is generated from them.
"""

import dataclasses


def _setting(default, description, unit='', **schema):
    """Define an optional setting; `schema` has its JSON schema keywords."""
    metadata = {'help': description, 'unit': unit, 'schema': schema}
    return dataclasses.field(default=default, metadata=metadata)


def _required(description, unit='', **schema):
    """Define a required setting; `schema` has its JSON schema keywords."""
    metadata = {'help': description, 'unit': unit, 'schema': schema}
    return dataclasses.field(metadata=metadata)


def _section(cls):
    """Define a section that has its defaults if it is absent."""
    return dataclasses.field(default_factory=cls)


@dataclasses.dataclass(slots=True, frozen=True)
class NodeSettings:
    """Identity of the entry."""

    name: str = _required('Unique name of the entry.', minLength=1)
    data_centre: str = _required('Data centre of the VM.', minLength=1)


@dataclasses.dataclass(slots=True, frozen=True)
class ListenSettings:
    """Addresses that the entry listens on, each ``host:port``."""

    callers: str = _required('Address for callers.', pattern=r':\d+$')
    operators: str = _required('Address for operators.', pattern=r':\d+$')
    peers: str = _required('Address for peers.', pattern=r':\d+$')
    advertised_peers: str = _setting(
        '', 'Address announced to peers, if it differs from `peers`.'
    )


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Access to the platform's object API, VM list and weight store."""

    url: str = _required('Base URL of the platform.', pattern='^https?://')
    timeout: float = _setting(
        2.0,
        'Timeout of one call to the platform.',
        's',
        exclusiveMinimum=0,
        maximum=60,
    )
    watch_timeout: float = _setting(
        20.0,
        'Longest wait of one watch request.',
        's',
        minimum=0.1,
        maximum=300,
    )
    vm_list_interval: float = _setting(
        2.0,
        'Interval between reads of the VM list.',
        's',
        minimum=0.05,
        maximum=60,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class PeerSettings:
    """Another entry."""

    name: str = _required('Name of the entry.', minLength=1)
    data_centre: str = _required('Data centre of the entry.', minLength=1)
    address: str = _required(
        'Address of the entry for peers.', pattern=r':\d+$'
    )


@dataclasses.dataclass(slots=True, frozen=True)
class CertificateSettings:
    """Certificate, key and trusted authorities of one kind of link."""

    certificate: str = _setting('', 'PEM file with the certificate chain.')
    key: str = _setting('', 'PEM file with the private key.')
    authorities: str = _setting('', 'PEM file with the trusted authorities.')


@dataclasses.dataclass(slots=True, frozen=True)
class TlsSettings:
    """TLS of each kind of link; a link without a section is not encrypted."""

    callers: CertificateSettings | None = None
    peers: CertificateSettings | None = None
    backends: CertificateSettings | None = None
    platform: CertificateSettings | None = None
    engines_use_tls: bool = _setting(
        False, 'Whether connections to engines use TLS.'
    )
    reload_interval: float = _setting(
        60.0, 'Interval between checks for changed files.', 's', minimum=0.1
    )


@dataclasses.dataclass(slots=True, frozen=True)
class BackendSettings:
    """A backend server of a plain service."""

    name: str = _required('Name of the backend server.', minLength=1)
    data_centre: str = _required(
        'Data centre of the backend server.', minLength=1
    )
    address: str = _required(
        'Address of the backend server.', pattern=r':\d+$'
    )
    tls: bool = _setting(
        False, 'Whether connections to the backend server use TLS.'
    )


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSettings:
    """A plain service."""

    name: str = _required(
        'Name of the service, as in the path of a call.', minLength=1
    )
    backends: tuple[BackendSettings, ...] = ()
    deduplicates_by_key: bool = _setting(
        False,
        'Whether the backend servers together run calls with the same'
        ' idempotency key only once.',
    )
    timeout: float = _setting(
        5.0, 'Timeout of one attempt.', 's', exclusiveMinimum=0, maximum=600
    )
    late_answer_wait: float = _setting(
        25.0,
        'Time beyond the timeout for which the answer to a recorded call is'
        ' still awaited.',
        's',
        minimum=0,
        maximum=600,
    )
    record_time_to_live: float = _setting(
        86400.0,
        'Time for which a call record is kept.',
        's',
        minimum=3600,
        maximum=2592000,
    )
    max_kept_answer: int = _setting(
        65536,
        'Largest answer stored for repeated calls.',
        'bytes',
        minimum=0,
        maximum=524288,
    )
    max_answer: int = _setting(
        8388608,
        'Largest answer accepted from a backend server.',
        'bytes',
        minimum=1024,
        maximum=1073741824,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class ObservationSettings:
    """Observation of engines and peers."""

    interval: float = _setting(
        1.0,
        'Interval between polls of a VM, and between heartbeats to peers.',
        's',
        minimum=0.05,
        maximum=60,
    )
    timeout: float = _setting(
        1.0,
        'Timeout of one poll of a VM.',
        's',
        exclusiveMinimum=0,
        maximum=60,
    )
    stale_after: float = _setting(
        3.0,
        'Age above which a report or the last message of a peer is stale.',
        's',
        minimum=0.1,
    )
    failures_to_down: int = _setting(
        2,
        'Consecutive failed polls after which a VM is considered down.',
        'count',
        minimum=1,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class ControlSettings:
    """Leases, control rounds and orders to engines."""

    lease_duration: float = _setting(
        6.0,
        'Time for which a lease is valid after a renewal.',
        's',
        minimum=0.2,
        maximum=600,
    )
    lease_margin: float = _setting(
        0.5, 'Safety margin for clock drift.', 's', minimum=0
    )
    interval: float = _setting(
        0.5, 'Interval between control rounds.', 's', minimum=0.02, maximum=60
    )
    order_timeout: float = _setting(
        3.0, 'Timeout of one order to an engine.', 's', exclusiveMinimum=0
    )
    order_interval: float = _setting(
        2.0, 'Interval after which an order is repeated.', 's', minimum=0.05
    )
    repair_after: float = _setting(
        1.0,
        'Time for which a member must be down before its group is repaired.',
        's',
        minimum=0,
    )
    load_timeout: float = _setting(
        600.0,
        'Longest wait for a member to load or unload.',
        's',
        exclusiveMinimum=0,
    )
    drain_timeout: float = _setting(
        300.0,
        'Longest wait for the open streams of a draining group.',
        's',
        minimum=0,
    )
    engines_check_fencing: bool = _setting(
        True, 'Whether engines reject orders with an outdated fencing number.'
    )


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementSettings:
    """Weights and expected times in the cost function of the placement."""

    downtime_weight: float = _setting(
        1.0, 'Weight of group downtime in the cost.', '1/s', minimum=0
    )
    stranded_weight: float = _setting(
        0.1,
        'Weight of the idle time of a stranded accelerator in the cost.',
        '1/s',
        minimum=0,
    )
    load_time: float = _setting(
        60.0,
        'Expected time to load weights that are not cached.',
        's',
        minimum=0,
        maximum=86400,
    )
    cached_load_time: float = _setting(
        5.0, 'Expected time to load cached weights.', 's', minimum=0
    )
    ticket_interval: float = _setting(
        1.0,
        'Expected interval between two load tickets of the weight store.',
        's',
        minimum=0,
    )
    return_share: float = _setting(
        0.8,
        'Expected share of lost VMs that recover.',
        '',
        minimum=0,
        maximum=1,
    )
    return_time: float = _setting(
        30.0,
        'Mean time until such a VM recovers.',
        's',
        minimum=0.1,
        maximum=86400,
    )
    replace_time: float = _setting(
        900.0,
        'Mean time until the other lost VMs are replaced.',
        's',
        minimum=1,
    )
    confirm_time: float = _setting(
        60.0,
        'Time for which a VM must be down before its groups are moved.',
        's',
        minimum=0,
    )
    preloads: int = _setting(
        0,
        'Number of cached weight sets up to which a free VM preloads.',
        'count',
        minimum=0,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSettings:
    """Handling of requests."""

    timeout: float = _setting(
        120.0,
        'Default deadline of a request, if the caller sets none.',
        's',
        minimum=0.1,
    )
    first_token_timeout: float = _setting(
        10.0,
        'Longest wait for the first token of one attempt, in addition to the'
        ' expected wait at the group.',
        's',
        minimum=0.05,
    )
    token_timeout: float = _setting(
        5.0, 'Longest wait between two tokens.', 's', minimum=0.05
    )
    max_body: int = _setting(
        1048576, 'Largest request body.', 'bytes', minimum=1024
    )
    max_running: int = _setting(
        1000, 'Largest number of concurrent requests.', 'count', minimum=1
    )
    max_waiting: int = _setting(
        500, 'Largest number of queued requests.', 'count', minimum=0
    )
    max_queue_wait: float = _setting(
        2.0,
        'Largest expected queueing time of an admitted request, and limit on'
        ' its actual one.',
        's',
        minimum=0,
        maximum=600,
    )
    record_sweep_interval: float = _setting(
        30.0,
        'Interval between sweeps of expired call records, each of one kind'
        ' of record.',
        's',
        minimum=0.05,
        maximum=3600,
    )
    retry_share: float = _setting(
        0.2,
        'Retry budget as a share of first attempts.',
        '',
        minimum=0,
        maximum=1,
    )
    drain_timeout: float = _setting(
        120.0, 'Longest wait for open requests after SIGTERM.', 's', minimum=0
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one entry."""

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: tuple[PeerSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
    observation: ObservationSettings = _section(ObservationSettings)
    control: ControlSettings = _section(ControlSettings)
    placement: PlacementSettings = _section(PlacementSettings)
    requests: RequestSettings = _section(RequestSettings)
    tls: TlsSettings = _section(TlsSettings)
