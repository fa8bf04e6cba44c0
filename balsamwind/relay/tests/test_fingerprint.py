"""Repeats of a request have one fingerprint, at all nodes."""

import dataclasses

import pytest
from tornado import httputil

from balsamwind import relay
from balsamwind.relay import _fingerprint

ACCOUNT = 'acme'
REQUEST = relay.IncomingRequest(
    'POST', '/a/b?c=d', 'x.example', httputil.HTTPHeaders(), b'body', 1.0
)


def test_repeats_have_one_fingerprint():
    repeat = dataclasses.replace(
        REQUEST,
        headers=httputil.HTTPHeaders({'X-Balsamwind-Request-Id': 'r2'}),
        host='X.Example',
        received_at=9.0,
    )
    first = _fingerprint.make_fingerprint(REQUEST, ACCOUNT)
    assert first == _fingerprint.make_fingerprint(repeat, ACCOUNT)
    assert first.startswith(_fingerprint.PREFIX)


@pytest.mark.parametrize(
    ('changes', 'account'),
    [
        pytest.param({'method': 'GET'}, ACCOUNT, id='method'),
        pytest.param({'target': '/a/b?c=e'}, ACCOUNT, id='query'),
        pytest.param({'target': '/a/bb?c=d'}, ACCOUNT, id='path'),
        pytest.param({'host': 'y.example'}, ACCOUNT, id='host'),
        pytest.param({'body': b'bodz'}, ACCOUNT, id='body'),
        pytest.param({'body': b''}, ACCOUNT, id='no body'),
        pytest.param({}, None, id='no account'),
        pytest.param({}, 'acne', id='account'),
        pytest.param(
            {'host': 'x.example/a', 'target': '/b?c=d'},
            ACCOUNT,
            id='other border between fields',
        ),
    ],
)
def test_other_requests_have_other_fingerprints(changes, account):
    other = dataclasses.replace(REQUEST, **changes)
    assert _fingerprint.make_fingerprint(
        other, account
    ) != _fingerprint.make_fingerprint(REQUEST, ACCOUNT)
