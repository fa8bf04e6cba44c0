"""Encoding of frames: round trip, compatibility and malformed input."""

import math

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import peers
from balsamwind import ports

REPORT = ports.EngineReport('v', ports.EngineState.READY, 'g', 2, 'm', 'v1')
LEASE = objects.ObjectVersion('lease', 's', 4, objects.Lease('s', 'a', 1, 1.0))
DELETED = objects.ObjectVersion('lease', 't', 5, None)
MESSAGES = [
    peers.Hello('a', 'dc', 'i'),
    peers.ObjectChanges(3, 5, (LEASE, DELETED), False),
    peers.ObservationChanges(
        (peers.Observation('v', True, REPORT),),
        ('w',),
        (peers.GroupStatus(bytes(8), (3.0, 0.0)),),
    ),
    peers.Heartbeat(7, 0.5, True, {'c': 2}, True, 1, 3.5, True, {'g': 1}),
    peers.GroupDown('g', 2, 'why'),
    peers.VmListUpdate(
        (ports.ListedVm('v', 'h:1', 'dc', 'd'),), ('w',), False, 1.0
    ),
]


def test_round_trip_keeps_messages_and_order():
    assert peers.decode_frame(peers.encode_frame(MESSAGES)) == MESSAGES


def test_additions_of_a_later_version_are_ignored():
    data = cbor2.dumps(
        [
            [99, ['a message of a later version']],
            [5, ['g', 2, 'why', 'a field of a later version']],
        ]
    )
    assert peers.decode_frame(data) == [peers.GroupDown('g', 2, 'why')]


def test_object_of_unknown_kind_is_skipped():
    rows = [['later-kind', 'x', 5, {}], ['lease', 's', 4, LEASE.value]]
    rows[1][3] = objects.encode(LEASE.value)
    (message,) = peers.decode_frame(cbor2.dumps([[2, [0, 5, rows]]]))
    assert message == peers.ObjectChanges(0, 5, (LEASE,), False)


@pytest.mark.parametrize(
    'tag, body',
    [
        (4, [-1, 0.0, False, {}]),
        (4, [2**60, 0.0, False, {}]),
        (4, [2**80, 0.0, False, {}]),
        (4, [True, 0.0, False, {}]),
        (4, [1, math.nan, False, {}]),
        (4, [1, math.inf, False, {}]),
        (4, [1, -0.5, False, {}]),
        (4, [1, 0.0, False, {'c': -1}]),
        (4, [1, 0.0, False, {'c': 2**70}]),
        (4, [1, 0.0, False, 5]),
        (4, [1, 0.0, False, {}, True, -1]),
        (4, [1, 0.0, False, {}, True, 0, math.nan]),
        (4, []),
        (2, [0, -1, []]),
        (2, [0, 5, [['lease', 's', 1.5, None]]]),
        (2, [0, 5, [['lease', 's', 2**60, None]]]),
        (2, [0, 5, [['lease', 7, 1, None]]]),
        (2, [0, 5, [['lease', 's', 1, {'shard': 5}]]]),
        (2, [0, 5]),
        (3, [[], [], [[bytes(8), [math.nan]]]]),
        (3, [[], [], [[bytes(8), [-1]]]]),
        (3, [[], [], [['g', []]]]),
        (3, [[], [], [[b'short', []]]]),
        (3, [[['v', True, ['v', 'no such state']]]]),
        (3, [[['v', True, ['v', 'ready', 'g', 1, 'm', 'v', -5]]]]),
        (6, [[], [], True, math.inf]),
        ([], []),
        (5, 'text'),
    ],
)
def test_malformed_message_is_refused(tag, body):
    with pytest.raises(exceptions.TransportError):
        peers.decode_frame(cbor2.dumps([[tag, body]]))


@hypothesis.given(strategies.binary(max_size=80))
def test_arbitrary_bytes_raise_only_transport_errors(data):
    for prefix in (b'', b'\x81\x82\x04\x84', b'\x81\x82\x03\x83'):
        try:
            peers.decode_frame(prefix + data)
        except exceptions.TransportError:
            continue


@pytest.mark.parametrize(
    'data', [b'\x81' * 5000 + b'\x00', b'\x9b' + b'\xff' * 8, 'text', b'']
)
def test_malformed_cbor_is_refused(data):
    with pytest.raises(exceptions.TransportError):
        peers.decode_frame(data)
