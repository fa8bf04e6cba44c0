"""Entries of backend servers, reports and orders of engines."""

import json

from balsamwind import exceptions
from balsamwind import pool

KIND = 'servers'
"""Kind of the entries."""

_STATES = {
    'ready': pool.ServerState.READY,
    'draining': pool.ServerState.DRAINING,
}

_MEMBER_STATES = {
    'joining': pool.MemberState.JOINING,
    'ready': pool.MemberState.READY,
    'open': pool.MemberState.OPEN,
    'closing': pool.MemberState.CLOSING,
    'broken': pool.MemberState.BROKEN,
}


def decode_server(name, revision, spec):
    """Decode the entry of a backend server.

    Raises
    ------
    KeyError, TypeError, ValueError
        The entry was written by somebody else, or is malformed.
    """
    address = spec['Address']
    if not address.rpartition(':')[2].isdigit():
        raise ValueError(f'address {address!r}')
    return pool.ServerRecord(
        server_id=name,
        service=_check_text(spec['Service']),
        address=address,
        data_centre=_check_text(spec['Zone']),
        state=_STATES[spec['State']],
        slots=max(1, int(spec.get('SlotCount', 1))),
        born=_check_number(spec.get('born', 0)),
        # `Seq` counts heartbeats here, and orders in a report.
        domain=str(spec.get('Domain', '')),
        revision=revision,
        **_decode_weights(spec),
    )


def decode_report(body):
    """Decode what an engine says of itself.

    Raises
    ------
    balsamwind.exceptions.BadAnswer
        The report is malformed.
    """
    try:
        data = json.loads(body)
        return pool.ServerReport(
            born=_check_number(data.get('born', 0)),
            sequence=_check_number(data.get('Seq', 0)),
            pace=float(data.get('pace', 1.0)),
            requests=_check_number(data.get('NumRunning', 0))
            + _check_number(data.get('NumQueued', 0)),
            **_decode_weights(data),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise exceptions.BadAnswer(f'report: {error!r}') from None


def _decode_weights(data):
    models = data.get('Models') or ()
    return {
        'model': models[0]['Name'] if models else '',
        'staged': tuple(str(item) for item in data.get('Staged') or ()),
        'membership': _decode_membership(data.get('group')),
    }


def _decode_membership(data):
    if not data:
        return None
    return pool.Membership(
        group=data['Name'],
        epoch=_check_number(data['epoch']),
        rank=_check_number(data['rank']),
        state=_MEMBER_STATES[data['State']],
    )


def _check_text(value):
    if not isinstance(value, str) or not value:
        raise ValueError(f'got {value!r}, allowed: a non-empty string')
    return value


def _check_number(value):
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f'got {value!r}, allowed: a whole number')
    return value


def encode_order(order, fencing, sequence):
    """Body of an order.

    Parameters
    ----------
    order : balsamwind.pool.Join or other
        The order.
    fencing : int
        Fencing number of the lease.
    sequence : int or None
        Orders that the engine must have accepted so far (count).

    Returns
    -------
    bytes
    """
    data = _encode_order(order)
    data['Fence'] = fencing
    if sequence is not None:
        data['Precondition'] = sequence
    return json.dumps(data).encode('ascii')


def _encode_order(order):
    match order:
        case pool.Join(group=group, epoch=epoch, model=model):
            return {
                'Operation': 'join',
                'group': group,
                'epoch': epoch,
                'Model': model,
                'Members': list(order.members),
            }
        case pool.Open(group=group, epoch=epoch):
            return {'Operation': 'open', 'group': group, 'epoch': epoch}
        case pool.Close(group=group, epoch=epoch, cut=cut):
            return {
                'Operation': 'close',
                'group': group,
                'epoch': epoch,
                'CloseMode': 'cut' if cut else 'wait',
            }
        case pool.Leave(group=group, epoch=epoch):
            return {'Operation': 'leave', 'group': group, 'epoch': epoch}
        case pool.Stage(model=model):
            return {'Operation': 'stage', 'Model': model}
    raise TypeError(f'no such order: {order!r}')


_RESULTS = {
    200: pool.OrderResult.DONE,
    202: pool.OrderResult.BEGUN,
    409: pool.OrderResult.UNFIT,
    412: pool.OrderResult.FENCED,
    421: pool.OrderResult.OTHER_SERVER,
}


def decode_order_result(status):
    """What the status of an order's answer says.

    Raises
    ------
    balsamwind.exceptions.BadAnswer
        It says that there is no such order, or nothing known.
    """
    result = _RESULTS.get(status)
    if result is None:
        raise exceptions.BadAnswer(f'order answered with {status}')
    return result
