"""Error responses, size limits and TLS of the server for callers."""

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
ENDED_CONTRACT = objects.Contract(
    'e',
    (objects.make_key_hash('ended'),),
    '2020-01-01T00:00:00Z',
    '2021-01-01T00:00:00Z',
)


def make_entry():
    """Return an entry with two contracts and no backends."""
    entry = entry_package.Entry(
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
    for revision, contract in enumerate((CONTRACT, ENDED_CONTRACT), 1):
        entry.catalogue.apply(
            objects.ObjectVersion(
                'contract', contract.customer, revision, contract
            ),
            0.0,
        )
    return entry


async def send_request(method, path, body=b'', key=KEY, contexts=(None, None)):
    """Send a request to a new server.

    `contexts` are the TLS contexts of the server and of the client.
    """
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


VALID_BODY = {'model': 'm', 'prompt': 'p'}


@pytest.mark.parametrize(
    'path, body, key, status, code',
    [
        ('/v1/completions', b'{', KEY, 400, 'bad_request'),
        ('/v1/completions', b'[]', KEY, 400, 'bad_request'),
        ('/v1/completions', b'\xff\xfe', KEY, 400, 'bad_request'),
        ('/v1/completions', b'{}', KEY, 404, 'unknown_model'),
        ('/v1/completions', {'model': 'm'}, KEY, 400, 'bad_request'),
        (
            '/v1/completions',
            {**VALID_BODY, 'prompt': 3},
            KEY,
            400,
            'bad_request',
        ),
        (
            '/v1/completions',
            {**VALID_BODY, 'max_tokens': -1},
            KEY,
            400,
            'bad_request',
        ),
        (
            '/v1/completions',
            {**VALID_BODY, 'model': 'x'},
            KEY,
            404,
            'unknown_model',
        ),
        ('/v1/completions', VALID_BODY, 'wrong', 401, 'bad_key'),
        ('/v1/completions', VALID_BODY, '', 401, 'bad_key'),
        ('/v1/completions', VALID_BODY, 'ended', 403, 'contract_not_in_force'),
        ('/v1/completions', VALID_BODY, KEY, 503, 'no_capacity'),
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
def test_rejected_request_has_a_code_and_did_not_run(
    path, body, key, status, code
):
    if isinstance(body, dict):
        body = json.dumps(body).encode('utf-8')
    response = asyncio.run(send_request('POST', path, body, key))
    error = json.loads(response.body)['error']
    assert (response.status, error['code']) == (status, code)
    assert error['run'] == 'not_run'
    assert error['request_id'] == response.headers['X-Request-Id']
    if status == 503:
        assert float(response.headers['Retry-After']) > 0


def test_oversized_body_is_rejected():
    try:
        response = asyncio.run(
            send_request('POST', '/v1/completions', b'x' * 5000)
        )
    except exceptions.TransportError:
        return
    assert response.status in (400, 413)


@pytest.mark.parametrize('trusted', [True, False])
def test_client_accepts_only_a_trusted_certificate(tmp_path, trusted):
    authority = trustme.CA()
    chain = tmp_path / 'chain.pem'
    issued = authority.issue_cert('127.0.0.1')
    issued.private_key_and_cert_chain_pem.write_to_path(str(chain))
    files = settings.CertificateSettings(str(chain), '', '')
    tls_contexts = adapters.make_tls_contexts(
        settings.TlsSettings(callers=files)
    )
    client = ssl.create_default_context()
    if trusted:
        authority.configure_trust(client)
    request = send_request(
        'GET', '/v1/models', contexts=(tls_contexts.callers, client)
    )
    if trusted:
        assert asyncio.run(request).status == 200
        return
    with pytest.raises(exceptions.TransportError) as caught:
        asyncio.run(request)
    assert not caught.value.sent


@pytest.mark.parametrize('status', [0, 99, 100, 199, 600, 999])
def test_recorded_status_that_is_none_was_repeated(monkeypatch, status):
    # An earlier build has recorded such answers; the call has run.
    async def repeat(entry, contract, service, call, deadline):
        return objects.Answer(status, 'text/plain', '')

    monkeypatch.setattr(entry_package.Entry, 'call_service', repeat)
    monkeypatch.setattr(
        entry_package.Entry, 'find_service', lambda entry, *names: None
    )
    response = asyncio.run(send_request('POST', '/services/ledger/x', b'{}'))
    error = json.loads(response.body)['error']
    assert response.status == 502
    assert error['run'] == exceptions.OUTCOME_UNKNOWN
