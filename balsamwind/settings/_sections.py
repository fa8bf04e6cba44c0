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
    """Who this process is."""

    name: str = _required('Unique name of the entry.', minLength=1)
    data_centre: str = _required('Data centre of the VM.', minLength=1)


@dataclasses.dataclass(slots=True, frozen=True)
class ListenSettings:
    """Addresses this process listens on, each ``host:port``."""

    callers: str = _required('Address for callers.', pattern=r':\d+$')
    operators: str = _required('Address for operators.', pattern=r':\d+$')
    peers: str = _required('Address for peers.', pattern=r':\d+$')
    advertised_peers: str = _setting(
        '', 'Address at which peers reach it, if it is another.'
    )


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformSettings:
    """The platform's object API, VM list and weight store."""

    url: str = _required('Base URL.', pattern='^https?://')
    timeout: float = _setting(
        2.0, 'Time-out of one call.', 's', exclusiveMinimum=0, maximum=60
    )
    watch_timeout: float = _setting(
        20.0, 'Longest wait of one watch.', 's', minimum=0.1, maximum=300
    )
    vm_list_interval: float = _setting(
        2.0, 'Time between VM lists.', 's', minimum=0.05, maximum=60
    )


@dataclasses.dataclass(slots=True, frozen=True)
class PeerSettings:
    """One other entry."""

    name: str = _required('Name of the entry.', minLength=1)
    data_centre: str = _required('Its data centre.', minLength=1)
    address: str = _required('Its address for peers.', pattern=r':\d+$')


@dataclasses.dataclass(slots=True, frozen=True)
class CertificateSettings:
    """Certificate, key and trusted authorities of one kind of link."""

    certificate: str = _setting('', 'PEM file of the certificate chain.')
    key: str = _setting('', 'PEM file of the private key.')
    authorities: str = _setting('', 'PEM file of the trusted authorities.')


@dataclasses.dataclass(slots=True, frozen=True)
class TlsSettings:
    """TLS; a link whose section is absent is not encrypted."""

    callers: CertificateSettings | None = None
    peers: CertificateSettings | None = None
    backends: CertificateSettings | None = None
    platform: CertificateSettings | None = None
    engines_use_tls: bool = _setting(
        False, 'Whether engines are reached by TLS.'
    )
    reload_interval: float = _setting(
        60.0, 'Time between looks at changed files.', 's', minimum=0.1
    )


@dataclasses.dataclass(slots=True, frozen=True)
class BackendSettings:
    """One backend server of a plain service."""

    name: str = _required('Name of the backend server.', minLength=1)
    data_centre: str = _required('Its data centre.', minLength=1)
    address: str = _required('Its address.', pattern=r':\d+$')
    tls: bool = _setting(False, 'Whether it is reached by TLS.')


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceSettings:
    """One plain service."""

    name: str = _required('Name, as in the path of a call.', minLength=1)
    backends: tuple[BackendSettings, ...] = ()
    deduplicates_by_key: bool = _setting(
        False, 'Whether its backend servers together run one key once.'
    )
    timeout: float = _setting(
        5.0, 'Time-out of one attempt.', 's', exclusiveMinimum=0, maximum=600
    )
    late_answer_wait: float = _setting(
        25.0,
        'How long after its time-out a recorded call may still be answered.',
        's',
        minimum=0,
        maximum=600,
    )
    record_time_to_live: float = _setting(
        86400.0,
        'How long a call record is kept.',
        's',
        minimum=3600,
        maximum=2592000,
    )
    max_kept_answer: int = _setting(
        65536,
        'Largest answer kept for repeats.',
        'bytes',
        minimum=0,
        maximum=524288,
    )
    max_answer: int = _setting(
        8388608, 'Largest answer.', 'bytes', minimum=1024, maximum=1073741824
    )


@dataclasses.dataclass(slots=True, frozen=True)
class ObservationSettings:
    """How engines are observed."""

    interval: float = _setting(
        1.0, 'Time between reports of one VM.', 's', minimum=0.05, maximum=60
    )
    timeout: float = _setting(
        1.0, 'Time-out of one report.', 's', exclusiveMinimum=0, maximum=60
    )
    stale_after: float = _setting(
        3.0, 'Age at which a report no longer counts.', 's', minimum=0.1
    )
    failures_to_down: int = _setting(
        2, 'Failed reports in a row until a VM is down.', 'count', minimum=1
    )


@dataclasses.dataclass(slots=True, frozen=True)
class ControlSettings:
    """Leases and orders."""

    lease_duration: float = _setting(
        6.0, 'How long one renewal lasts.', 's', minimum=0.2, maximum=600
    )
    lease_margin: float = _setting(
        0.5, 'Safety margin for clock drift.', 's', minimum=0
    )
    interval: float = _setting(
        0.5, 'Time between control rounds.', 's', minimum=0.02, maximum=60
    )
    order_timeout: float = _setting(
        3.0, 'Time-out of one engine order.', 's', exclusiveMinimum=0
    )
    order_interval: float = _setting(
        2.0, 'Time until an order is repeated.', 's', minimum=0.05
    )
    repair_after: float = _setting(
        1.0, 'How long a member is down before repair.', 's', minimum=0
    )
    load_timeout: float = _setting(
        600.0, 'Longest wait for a member to load.', 's', exclusiveMinimum=0
    )
    drain_timeout: float = _setting(
        300.0, 'Longest wait for streams of a group.', 's', minimum=0
    )
    engines_check_fencing: bool = _setting(
        True, 'Whether engines refuse orders with an old fencing number.'
    )


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementSettings:
    """Placement: weights and expected times of its cost function."""

    downtime_weight: float = _setting(
        1.0, 'Cost of group downtime.', '1/s', minimum=0
    )
    stranded_weight: float = _setting(
        0.1, 'Cost of a stranded accelerator.', '1/s', minimum=0
    )
    load_time: float = _setting(
        60.0, 'Expected time of a load.', 's', minimum=0, maximum=86400
    )
    cached_load_time: float = _setting(
        5.0, 'Expected time of a load of weights held.', 's', minimum=0
    )
    ticket_interval: float = _setting(
        1.0, 'Expected time between two loads granted.', 's', minimum=0
    )
    return_share: float = _setting(
        0.8, 'Share of lost VMs that come back.', '', minimum=0, maximum=1
    )
    return_time: float = _setting(
        30.0, 'Mean time until they do.', 's', minimum=0.1, maximum=86400
    )
    replace_time: float = _setting(
        900.0, 'Mean time until the others are replaced.', 's', minimum=1
    )
    confirm_time: float = _setting(
        60.0, 'How long a VM is down before groups move away.', 's', minimum=0
    )
    preloads: int = _setting(
        0, 'Sets of weights a free VM loads ahead.', 'count', minimum=0
    )


@dataclasses.dataclass(slots=True, frozen=True)
class RequestSettings:
    """The request path."""

    timeout: float = _setting(
        120.0, 'Deadline when the caller gives none.', 's', minimum=0.1
    )
    first_token_timeout: float = _setting(
        10.0, 'Wait for the first token of one attempt.', 's', minimum=0.05
    )
    token_timeout: float = _setting(
        5.0, 'Wait between two tokens.', 's', minimum=0.05
    )
    max_body: int = _setting(
        1048576, 'Largest body of a request.', 'bytes', minimum=1024
    )
    max_running: int = _setting(
        1000, 'Requests that run at one time.', 'count', minimum=1
    )
    max_waiting: int = _setting(
        500, 'Requests that wait for a place.', 'count', minimum=0
    )
    max_queue_wait: float = _setting(
        2.0, 'Longest expected wait for a place.', 's', minimum=0, maximum=600
    )
    record_sweep_interval: float = _setting(
        30.0,
        'Time between sweeps of expired call records, one kind each.',
        's',
        minimum=0.05,
        maximum=3600,
    )
    retry_share: float = _setting(
        0.2, 'Retries as a share of first tries.', '', minimum=0, maximum=1
    )
    drain_timeout: float = _setting(
        120.0, 'Longest wait for requests at SIGTERM.', 's', minimum=0
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
