"""Wire formats and settings of the platform: decoding and encoding."""

import copy
import json

import pytest

from balsamwind import exceptions
from balsamwind import node
from balsamwind.node.tests import helpers
from balsamwind.platform import _configuration
from balsamwind.platform import _headers
from balsamwind.platform import _servers
from balsamwind.platform import _settings
from balsamwind import pool
from balsamwind import relay
from balsamwind import traffic

SERVER_ENTRY = {
    'Service': 'llm',
    'Address': '10.0.0.9:8080',
    'Zone': 'z1',
    'SlotCount': 9,
    'State': 'ready',
    'Seq': 41,
    'Domain': 'd1',
    'born': 1700000000000,
    'Models': [{'Name': 'm0', 'Version': 1}],
    'Staged': ['m1'],
    'group': {'Name': 'm0.z1.7', 'epoch': 7, 'rank': 1, 'State': 'ready'},
}


def test_server_entry_is_decoded():
    record = _servers.decode_server('e1', 12, SERVER_ENTRY)
    assert record == pool.ServerRecord(
        server_id='e1',
        service='llm',
        address='10.0.0.9:8080',
        data_centre='z1',
        slots=9,
        born=1700000000000,
        domain='d1',
        model='m0',
        staged=('m1',),
        membership=pool.Membership('m0.z1.7', 7, 1, pool.MemberState.READY),
        revision=12,
    )


@pytest.mark.parametrize(
    'change',
    [
        {'Service': None},
        {'Service': 7},
        {'Address': 'nowhere'},
        {'Address': None},
        {'State': 'asleep'},
        {'SlotCount': 'many'},
        {'born': '1'},
        {'born': 1.5},
        {'group': {'Name': 'x'}},
        {'group': {**SERVER_ENTRY['group'], 'State': 'lost'}},
        {'Models': [{}]},
    ],
)
def test_malformed_server_entry_is_rejected(change):
    with pytest.raises((AttributeError, KeyError, TypeError, ValueError)):
        _servers.decode_server('e1', 12, {**SERVER_ENTRY, **change})


@pytest.mark.parametrize(
    ('value', 'cold_left'),
    [
        (0, 0.0),
        (2500, 2.5),
        (1.5, 0.0015),
        (-1, pool.MAX_COLD_LEFT),
        (10**400, pool.MAX_COLD_LEFT),
        (float('nan'), pool.MAX_COLD_LEFT),
        ('2500', pool.MAX_COLD_LEFT),
        (None, pool.MAX_COLD_LEFT),
        (True, pool.MAX_COLD_LEFT),
        ([], pool.MAX_COLD_LEFT),
    ],
)
def test_server_with_a_malformed_time_is_usable_and_cold(value, cold_left):
    spec = {**SERVER_ENTRY, 'ColdLeftMs': value}
    record = _servers.decode_server('e1', 12, spec)
    assert record.usable
    assert record.cold_left == cold_left


def test_service_and_bounds_for_cold_servers_are_decoded():
    service = _configuration._decode_service(
        {'Name': 'llm', 'ColdS': 3.0, 'ColdPerS': 15}
    )
    assert (service.cold_time, service.cold_rate) == (3.0, 15.0)
    service = _configuration._decode_service({'Name': 'llm'})
    assert (service.cold_time, service.cold_rate) == (0.0, 0.0)


def test_report_sequence_counts_orders():
    # In a report `Seq` counts orders; in a server entry it counts heartbeats.
    body = {
        **SERVER_ENTRY,
        'Seq': 3,
        'NumRunning': 4,
        'NumQueued': 2,
        'pace': 1.5,
    }
    report = _servers.decode_report(json.dumps(body))
    assert (report.sequence, report.requests, report.pace) == (3, 6, 1.5)


@pytest.mark.parametrize('body', [b'', b'[]', b'{"Seq": "x"}', b'\xff'])
def test_malformed_report_is_rejected(body):
    with pytest.raises(exceptions.BadAnswer):
        _servers.decode_report(body)


@pytest.mark.parametrize(
    ('order', 'expected'),
    [
        (
            pool.Join('g', 5, 'm0', ('a', 'b')),
            {
                'Operation': 'join',
                'group': 'g',
                'epoch': 5,
                'Model': 'm0',
                'Members': ['a', 'b'],
            },
        ),
        (pool.Open('g', 5), {'Operation': 'open', 'group': 'g', 'epoch': 5}),
        (
            pool.Close('g', 5, True),
            {
                'Operation': 'close',
                'group': 'g',
                'epoch': 5,
                'CloseMode': 'cut',
            },
        ),
        (
            pool.Leave('g', 5),
            {'Operation': 'leave', 'group': 'g', 'epoch': 5},
        ),
        (pool.Stage('m1'), {'Operation': 'stage', 'Model': 'm1'}),
    ],
)
def test_order_is_encoded(order, expected):
    data = json.loads(_servers.encode_order(order, 4, 9))
    assert data == {**expected, 'Fence': 4, 'Precondition': 9}


def test_unexpected_order_status_is_rejected():
    with pytest.raises(exceptions.BadAnswer):
        _servers.decode_order_result(400)


def test_configuration_is_decoded():
    configuration = _configuration.decode_configuration(
        {
            'Version': 7,
            'Routes': [
                {
                    'Name': 'r',
                    'Host': 'A.example',
                    'PathPrefix': '/x/',
                    'Kind': 'streaming',
                    'TimeoutMs': 8000,
                    'SloMs': 400,
                    'TrafficSplit': [
                        {'Service': 's', 'Weight': 90},
                        {'Service': 't', 'Weight': 10},
                    ],
                    'MaxAttempts': 2,
                    'Resumable': True,
                    'GapSloMs': 300,
                }
            ],
            'Services': [{'Name': 's', 'MaxConns': 96, 'New': 1}],
            'Limits': {'IdleTimeoutMs': 15000},
            'Tenants': [{'Name': 'acme', 'ApiKeys': ['k'], 'Priority': 1}],
        }
    )
    (route,) = configuration.routes
    assert route.host == 'a.example'
    assert route.targets == (
        traffic.Target('s', 90.0),
        traffic.Target('t', 10.0),
    )
    assert route.repeatable and route.timeout == 8.0
    assert configuration.limits.idle_timeout == 15.0
    assert configuration.accounts == (
        traffic.ClientAccount('acme', ('k',), 1, 1),
    )


def test_request_headers_are_decoded():
    metadata = _headers.HeaderCodec().decode_request(
        {
            'X-Balsamwind-Request-Id': 'r1',
            'X-Balsamwind-Time-Budget-Ms': '1500',
            'X-Balsamwind-Model': 'm0',
            'X-Balsamwind-Token-Usage': '1460,80',
            'X-Balsamwind-Length-Hint': '60',
            'Authorization': 'Token abc',
            'Last-Event-Id': '12',
            'X-Balsamwind-Prompt-Prefix': '5c1e:800,91bd:410, e440:250',
        }
    )
    assert metadata == relay.RequestMetadata(
        'r1', 1.5, 'abc', 'm0', 1460, 80, 60, '12', ('5c1e', '91bd')
    )


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {
            'X-Balsamwind-Time-Budget-Ms': 'soon',
            'X-Balsamwind-Token-Usage': '7',
            'Authorization': 'Basic abc',
            'X-Balsamwind-Prompt-Prefix': 'x',
        },
    ],
)
def test_missing_or_malformed_headers_give_defaults(headers):
    metadata = _headers.HeaderCodec().decode_request(headers)
    assert metadata == relay.RequestMetadata('')


@pytest.mark.parametrize('digits', [15, 16, 400, 5000])
def test_numbers_of_many_digits_in_headers_are_bounded(digits):
    # A time budget of 400 digits ended the connection without an answer, and
    # a load of 20 the connection to the publisher that it was sent to.
    text = '9' * digits
    codec = _headers.HeaderCodec()
    request = codec.decode_request(
        {
            'X-Balsamwind-Time-Budget-Ms': text,
            'X-Balsamwind-Token-Usage': f'{text},{text}',
            'X-Balsamwind-Length-Hint': text,
        }
    )
    response = codec.decode_response(
        {'X-Balsamwind-Server-Load': f'{text},0,{text}'}
    )
    for value in (
        request.time_budget,
        request.prompt_tokens,
        request.expected_output_tokens,
        response.load and response.load.running,
    ):
        assert value is None or 0 <= value <= 2**53


def test_response_headers_are_decoded():
    metadata = _headers.HeaderCodec().decode_response(
        {
            'X-Balsamwind-Request-Id': 'r1',
            'X-Balsamwind-Response-Stamp': 's',
            'X-Balsamwind-Server-Load': '3,1,8',
            'At-Server': 'e2',
        }
    )
    load = relay.ReportedLoad(3, 1, 8)
    assert metadata == relay.ResponseMetadata('r1', True, False, load, 'e2')


@pytest.mark.parametrize(
    ('text', 'retry_after'),
    [
        ('2', 2.0),
        ('0.25', 0.25),
        ('0', 0.0),
        ('1e9', 1e9),
        ('-1', None),
        ('soon', None),
        ('1, 2', None),
        ('nan', None),
        ('1e999', None),
        ('', None),
    ],
)
def test_pause_that_a_server_asks_for_is_decoded(text, retry_after):
    metadata = _headers.HeaderCodec().decode_response({'Retry-After': text})
    assert metadata.retry_after == retry_after
    assert bool(metadata.unreadable) == (retry_after is None)


@pytest.mark.parametrize(
    ('headers', 'rate_limit', 'unreadable'),
    [
        pytest.param({}, None, (), id='none'),
        pytest.param({'Server-Limit': '2.5'}, 2.5, (), id='fraction'),
        pytest.param({'Server-Limit': '0'}, 0.0, (), id='zero'),
        pytest.param({'Server-Limit': '1e3'}, 1000.0, (), id='exponent'),
        *(
            pytest.param(
                {'Server-Limit': text}, None, ('Server-Limit',), id=repr(text)
            )
            for text in ('', 'few', '-1', 'nan', 'inf', '1,2')
        ),
        pytest.param(
            {'Server-Limit': 'x', 'Retry-After': 'y'},
            None,
            ('Retry-After', 'Server-Limit'),
            id='two',
        ),
    ],
)
def test_limit_that_a_server_states_is_decoded(
    headers, rate_limit, unreadable
):
    metadata = _headers.HeaderCodec().decode_response(headers)
    assert metadata.rate_limit == rate_limit
    assert metadata.unreadable == unreadable


SETTINGS_TOML = """
NodeName = "n1"
Zone = "z1"
Ip = "10.0.0.1"
PortRange = [7340, 7355]
Unknown = 1
[Zones]
z2 = "r"
z1 = "r"
[Listen]
Front = "10.0.0.1:80"
Ready = "10.0.0.1:81"
[Platform]
Address = "10.0.0.2:90"
[Bounds]
DrainMs = 2500
StrictRevoke = true
RevokeMs = 5000
EvacuateMs = 4500
"""


def test_settings_are_loaded(tmp_path):
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS_TOML)
    settings = _settings.load_node_settings(str(path))
    assert settings == node.NodeSettings(
        name='n1',
        data_centre='z1',
        data_centres=('z1', 'z2'),
        callers='10.0.0.1:80',
        readiness='10.0.0.1:81',
        metrics='10.0.0.1:9464',
        news='10.0.0.1:7340',
        store='10.0.0.2:90',
        regions={'z1': 'r', 'z2': 'r'},
        bounds=node.Bounds(drain_time=2.5, key_revocation=5.0, evacuation=4.5),
    )


@pytest.mark.parametrize(
    ('text', 'places'),
    [
        ('', ['NodeName', 'Zone', 'Ip', 'Front', 'Ready', 'Address']),
        ('NodeName = 7', ['NodeName', 'Zone']),
        (SETTINGS_TOML.replace('"10.0.0.1:80"', '"x"'), ['/Listen/Front']),
        (SETTINGS_TOML.replace('2500', '"x"'), ['/Bounds/DrainMs']),
        (SETTINGS_TOML.replace('2500', 'nan'), ['/Bounds/DrainMs']),
        (SETTINGS_TOML.replace('4500', '-1'), ['/Bounds/EvacuateMs']),
        (SETTINGS_TOML.replace('2500', 'inf'), ['/Bounds/DrainMs']),
        ('= no toml', ['TOML']),
    ],
)
def test_all_findings_are_reported(tmp_path, text, places):
    path = tmp_path / 'local.toml'
    path.write_text(text)
    with pytest.raises(exceptions.InvalidInput) as caught:
        _settings.load_node_settings(str(path))
    for place in places:
        assert place in str(caught.value)


def test_evacuations_are_not_enabled_without_a_bound(tmp_path):
    # Deployments without the setting must make no further store calls.
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS_TOML.replace('EvacuateMs = 4500', ''))
    settings = _settings.load_node_settings(str(path))
    assert settings.bounds.evacuation is None


@pytest.mark.parametrize(
    ('value', 'regions'),
    [
        pytest.param(None, (), id='null'),
        pytest.param([], (), id='empty'),
        pytest.param(['south', 'north'], ('north', 'south'), id='two'),
        pytest.param(['north', 'north'], ('north',), id='twice'),
        # What can't be read must not allow any region.
        pytest.param('north', traffic.NO_REGIONS, id='no list'),
        pytest.param({'north': 1}, traffic.NO_REGIONS, id='object'),
        pytest.param(0, traffic.NO_REGIONS, id='number'),
        pytest.param([7, None, ''], traffic.NO_REGIONS, id='no strings'),
        pytest.param(['north', 7], ('north',), id='one string'),
    ],
)
def test_allowed_regions_are_decoded(value, regions):
    spec = copy.deepcopy(helpers.CONFIGURATION)
    spec['Routes'][0]['AllowedRegions'] = value
    spec['Tenants'][0]['AllowedRegions'] = value
    configuration = _configuration.decode_configuration(spec)
    assert configuration.routes[0].allowed_regions == regions
    assert configuration.routes[1].allowed_regions == ()
    assert configuration.accounts[0].allowed_regions == regions


@pytest.mark.parametrize(
    ('zones', 'regions'),
    [
        ('[Zones]\nz2 = "r"\nz1 = "r"', {'z1': 'r', 'z2': 'r'}),
        ('[Zones]\nz2 = 7\nz1 = ""', {}),
        ('', {}),
        ('Region = "r"', {'z1': 'r'}),
    ],
)
def test_regions_of_data_centres_are_loaded(tmp_path, zones, regions):
    # A data centre without a readable region is a home of no request.
    path = tmp_path / 'local.toml'
    text = SETTINGS_TOML.replace('[Zones]\nz2 = "r"\nz1 = "r"', zones)
    path.write_text(text)
    assert _settings.load_node_settings(str(path)).regions == regions


@pytest.mark.parametrize(
    ('fields', 'rank'),
    [({}, None), ({'Priority': 0}, 0), ({'Priority': 2}, 2)],
)
def test_account_without_a_priority_is_told_from_the_most_urgent(fields, rank):
    spec = {
        'Version': 1,
        'Routes': [],
        'Services': [],
        'Tenants': [{'Name': 'acme', **fields}],
    }
    (account,) = _configuration.decode_configuration(spec).accounts
    assert account.rank == rank
    assert account.priority == (rank or 0)
