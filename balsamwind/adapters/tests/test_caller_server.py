"""What callers may reach, and what they are told otherwise."""

import asyncio
import json
import ssl

import pytest
import structlog
import trustme

from balsamwind import adapters
from balsamwind import entry as entry_package
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import settings
from standins import platform

KEY = 'k'

CONTRACT = objects.Contract(
    'c',
    (objects.make_key_hash(KEY),),
    '2026-01-01T00:00:00Z',
    '2099-01-01T00:00:00Z',
    models=(objects.ModelTerms('m', 'v1', 1, 1),),
    services=('ledger',),
)
ENDED = objects.Contract(
    'e',
    (objects.make_key_hash('ended'),),
    '2020-01-01T00:00:00Z',
    '2021-01-01T00:00:00Z',
)


def make_entry():
    """An entry that knows two contracts and reaches nothing."""
    made = entry_package.Entry(
        settings.check_settings(
            {
                'node': {'name': 'n', 'data_centre': 'd'},
                'listen': {
                    'callers': 'h:1',
                    'operators': 'h:2',
                    'peers': 'h:3',
                },
                'platform': {'url': 'http://127.0.0.1:1'},
                'requests': {'max_body': 4096},
            }
        ),
        adapters.SystemClock(),
        None,
        None,
        None,
        adapters.Metrics(),
        structlog.get_logger(),
        random_state=1,
    )
    for revision, contract in enumerate((CONTRACT, ENDED), 1):
        made.catalogue.apply(
            objects.Stored('contract', contract.customer, revision, contract),
            0.0,
        )
    return made


async def ask(method, path, body=b'', key=KEY, contexts=(None, None)):
    server = adapters.make_caller_server(make_entry(), contexts[0])
    port = platform.listen(server)
    client = adapters.HttpClient(contexts[1])
    scheme = 'https' if contexts[1] else 'http'
    try:
        return await client.fetch(
            method,
            f'{scheme}://127.0.0.1:{port}{path}',
            headers=(('Authorization', f'Bearer {key}'.strip()),),
            body=body,
            timeout=10.0,
        )
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


GOOD = {'model': 'm', 'prompt': 'p'}


@pytest.mark.parametrize(
    'path, body, key, status, code',
    [
        ('/v1/completions', b'{', KEY, 400, 'bad_request'),
        ('/v1/completions', b'[]', KEY, 400, 'bad_request'),
        ('/v1/completions', b'\xff\xfe', KEY, 400, 'bad_request'),
        ('/v1/completions', b'{}', KEY, 404, 'unknown_model'),
        ('/v1/completions', {'model': 'm'}, KEY, 400, 'bad_request'),
        ('/v1/completions', {**GOOD, 'prompt': 3}, KEY, 400, 'bad_request'),
        (
            '/v1/completions',
            {**GOOD, 'max_tokens': -1},
            KEY,
            400,
            'bad_request',
        ),
        ('/v1/completions', {**GOOD, 'model': 'x'}, KEY, 404, 'unknown_model'),
        ('/v1/completions', GOOD, 'wrong', 401, 'bad_key'),
        ('/v1/completions', GOOD, '', 401, 'bad_key'),
        ('/v1/completions', GOOD, 'ended', 403, 'contract_not_in_force'),
        ('/v1/completions', GOOD, KEY, 503, 'no_capacity'),
        (
            '/v1/chat/completions',
            {'model': 'm', 'messages': [1]},
            KEY,
            400,
            'bad_request',
        ),
        ('/services/other/x', b'{}', KEY, 404, 'unknown_service'),
        ('/engine/orders', b'{}', KEY, 404, 'no_such_path'),
        ('/engine/generate', b'{}', KEY, 404, 'no_such_path'),
        ('/v1/objects/contract/c', b'{}', KEY, 404, 'no_such_path'),
        ('/status', b'{}', KEY, 404, 'no_such_path'),
        ('/metrics', b'{}', KEY, 404, 'no_such_path'),
    ],
)
def test_errors(path, body, key, status, code):
    if isinstance(body, dict):
        body = json.dumps(body).encode('utf-8')
    answer = asyncio.run(ask('POST', path, body, key))
    error = json.loads(answer.body)['error']
    assert (answer.status, error['code']) == (status, code)
    assert error['run'] == 'not_run'
    assert error['request_id'] == answer.headers['X-Request-Id']
    if status == 503:
        assert float(answer.headers['Retry-After']) > 0


def test_oversize_body_is_refused():
    try:
        answer = asyncio.run(ask('POST', '/v1/completions', b'x' * 5000))
    except exceptions.TransportError:
        return
    assert answer.status in (400, 413)


@pytest.mark.parametrize('trusted', [True, False])
def test_tls(tmp_path, trusted):
    authority = trustme.CA()
    chain = tmp_path / 'chain.pem'
    issued = authority.issue_cert('127.0.0.1')
    issued.private_key_and_cert_chain_pem.write_to_path(str(chain))
    files = settings.CertificateSettings(str(chain), '', '')
    made = adapters.make_tls_contexts(settings.TlsSettings(callers=files))
    client = ssl.create_default_context()
    if trusted:
        authority.configure_trust(client)
    run = ask('GET', '/v1/models', contexts=(made.callers, client))
    if trusted:
        assert asyncio.run(run).status == 200
        return
    with pytest.raises(exceptions.TransportError) as caught:
        asyncio.run(run)
    assert not caught.value.sent
