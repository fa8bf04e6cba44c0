"""Decoder of the operator's configuration object."""

from balsamwind import objects
from balsamwind import traffic

KIND = 'config'
"""Kind of the configuration object in the store."""

NAME = 'main'
"""Name of the configuration object; other objects are ignored."""

_REQUEST_KINDS = {
    'idempotent': traffic.RequestKind.IDEMPOTENT,
    'non_idempotent': traffic.RequestKind.NON_IDEMPOTENT,
    'streaming': traffic.RequestKind.STREAM,
}


def decode_configuration(spec):
    """Decode the content of the configuration object.

    Parameters
    ----------
    spec : dict
        Content as the operator wrote it; unknown fields are ignored.

    Returns
    -------
    balsamwind.traffic.Configuration

    Raises
    ------
    balsamwind.exceptions.MalformedValue
        A required field is missing, or a value has the wrong type.
    """
    with objects.decoding('configuration'):
        accounts = spec.get('Tenants')
        return traffic.Configuration(
            version=_read_integer(spec, 'Version'),
            routes=_decode_items(_decode_route, spec['Routes']),
            services=_decode_items(_decode_service, spec['Services']),
            limits=_decode_limits(spec.get('Limits') or {}),
            accounts=None
            if accounts is None
            else _decode_items(_decode_account, accounts),
        )


def _decode_items(decode_item, data):
    return tuple(map(decode_item, objects.check_list(data, 'list')))


def _read_name(data, field):
    return objects.check_name(data[field], field)


def _read_integer(data, field, default=None):
    return int(_read_number(data, field, default))


def _read_number(data, field, default=None):
    value = data[field] if default is None else data.get(field, default)
    return objects.check_number(value, field, least=0.0)


def _decode_route(data):
    weighted_targets = data.get('TrafficSplit')
    if weighted_targets:
        targets = tuple(
            traffic.Target(
                _read_name(item, 'Service'), _read_number(item, 'Weight', 1)
            )
            for item in weighted_targets
        )
    else:
        targets = (traffic.Target(_read_name(data, 'Service')),)
    timeout = _read_number(data, 'TimeoutMs')
    return traffic.Route(
        name=_read_name(data, 'Name'),
        host=_read_name(data, 'Host').lower(),
        prefix=_read_name(data, 'PathPrefix'),
        # An unknown kind is taken as the one that must not run twice.
        kind=_REQUEST_KINDS.get(
            data['Kind'], traffic.RequestKind.NON_IDEMPOTENT
        ),
        timeout=timeout / 1000,
        latency_objective=_read_number(data, 'SloMs', timeout) / 1000,
        priority=_read_integer(data, 'Priority', 0),
        targets=targets,
        max_attempts=max(1, _read_integer(data, 'MaxAttempts', 1)),
        public=data.get('Public') is True,
        resumable=data.get('Resumable') is True,
        max_event_gap=_read_number(data, 'GapSloMs', 0) / 1000,
        allowed_regions=_decode_regions(data.get('AllowedRegions')),
    )


def _decode_service(data):
    engine = data.get('Engine')
    return traffic.Service(
        name=_read_name(data, 'Name'),
        health_path=objects.check_name(
            data.get('HealthPath', '/health'), 'HealthPath'
        ),
        max_connections=_read_integer(data, 'MaxConns', 64),
        engine=_decode_engine(engine) if engine else None,
        cold_time=_read_number(data, 'ColdS', 0),
        cold_rate=_read_number(data, 'ColdPerS', 0),
    )


def _decode_engine(data):
    return traffic.EngineProfile(
        models=_decode_items(_decode_model, data.get('Models', [])),
        slots=_read_integer(data, 'SlotCount', 1),
        kv_cache_tokens=_read_integer(data, 'KvTokens', 1 << 30),
        step_time=_read_number(data, 'step_ms', 10) / 1000,
        step_time_per_request=_read_number(data, 'per_seq_ms', 0) / 1000,
        # Configured in milliseconds for 1,000 tokens of context.
        step_time_per_context_token=_read_number(data, 'context_per_k', 0)
        / 1e6,
        prefill_rate=_read_number(data, 'read_per_s', 50000),
        # Configured in milliseconds for a million pairs of tokens.
        prefill_time_per_token_pair=_read_number(data, 'pairs_per_m', 0) / 1e9,
        steps_per_pass=_read_integer(data, 'Stride', 1),
        loads_per_second=_read_number(data, 'LoadsPerS', 1),
        max_full_speed_loads=_read_integer(data, 'loads_at_once', 1),
        form_time=_read_number(data, 'FormMs', 0) / 1000,
        report_lag=_read_number(data, 'report_lag_ms', 0) / 1000,
    )


def _decode_model(data):
    return traffic.ModelProfile(
        name=_read_name(data, 'Name'),
        group_size=_read_integer(data, 'size', 1),
        expected_work_share=_read_number(data, 'Share', 1),
        time_factor=_read_number(data, 'pace', 1),
        load_time=_read_number(data, 'LoadS', 10),
        staged_load_time=_read_number(data, 'WarmS', 1),
    )


def _decode_limits(data):
    default = traffic.RequestLimits()
    return traffic.RequestLimits(
        max_header_bytes=_read_integer(
            data, 'MaxHeaderBytes', default.max_header_bytes
        ),
        max_body_bytes=_read_integer(
            data, 'MaxBodyBytes', default.max_body_bytes
        ),
        header_timeout=_read_number(
            data, 'HeaderTimeoutMs', default.header_timeout * 1000
        )
        / 1000,
        idle_timeout=_read_number(
            data, 'IdleTimeoutMs', default.idle_timeout * 1000
        )
        / 1000,
    )


def _decode_account(data):
    return traffic.ClientAccount(
        name=_read_name(data, 'Name'),
        keys=tuple(
            objects.check_name(key, 'key')
            for key in objects.check_list(data.get('ApiKeys', []), 'keys')
        ),
        priority=_read_integer(data, 'Priority', 0),
        allowed_regions=_decode_regions(data.get('AllowedRegions')),
        rank=_read_integer(data, 'Priority') if 'Priority' in data else None,
    )


def _decode_regions(value):
    """Decode a list of regions; one that can't be read allows none."""
    if value is None or value == []:
        return ()
    items = value if isinstance(value, list) else ()
    names = {item for item in items if isinstance(item, str) and item}
    regions = {name for name in names if name.isprintable()}
    return tuple(sorted(regions)) or traffic.NO_REGIONS
