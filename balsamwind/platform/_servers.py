"""Codec of server entries, engine reports and orders to engines."""

import json

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import pool

KIND = 'servers'
"""Kind of the store objects that are entries of backend servers."""

_SERVER_STATES = {
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
    """Decode the store entry of a backend server.

    Parameters
    ----------
    name : str
        Name of the entry, which is the id of the server.
    revision : int
        Store revision of the entry.
    spec : dict
        Content of the entry.

    Raises
    ------
    balsamwind.exceptions.MalformedValue
        The entry is malformed or was written by another program.
    """
    with objects.decoding('entry'):
        return pool.ServerRecord(
            server_id=objects.check_name(name, 'id'),
            service=objects.check_name(spec['Service'], 'service'),
            address=objects.check_address(spec['Address'], 'address'),
            data_centre=objects.check_name(spec['Zone'], 'zone'),
            state=_SERVER_STATES[spec['State']],
            slots=max(1, _check_count(spec.get('SlotCount', 1), 'slots')),
            born=_check_count(spec.get('born', 0), 'born'),
            # `Seq` is left out: it counts heartbeats here, but orders in a
            # report.
            domain=objects.check_text(spec.get('Domain') or '', 'domain'),
            revision=revision,
            cold_left=_decode_cold_left(spec.get('ColdLeftMs', 0)),
            **_decode_model_state(spec),
        )


def _decode_cold_left(value):
    """Decode a time in milliseconds; the longest one if it is malformed."""
    is_number = type(value) in (int, float)
    if is_number and 0 <= value <= pool.MAX_COLD_LEFT * 1000:
        return value / 1000
    return pool.MAX_COLD_LEFT


def decode_report(body):
    """Decode the report of an engine.

    Parameters
    ----------
    body : bytes
        Body of the response to a report request, a JSON object.

    Raises
    ------
    balsamwind.exceptions.BadAnswer
        The report is malformed.
    """
    try:
        with objects.decoding('report'):
            data = objects.check_table(adapters.parse_json(body), 'report')
            return pool.ServerReport(
                born=_check_count(data.get('born', 0), 'born'),
                sequence=_check_count(data.get('Seq', 0), 'sequence'),
                pace=objects.check_number(data.get('pace', 1.0), 'pace', 0.0),
                requests=_check_count(data.get('NumRunning', 0), 'running')
                + _check_count(data.get('NumQueued', 0), 'queued'),
                **_decode_model_state(data),
            )
    except exceptions.MalformedValue as error:
        raise exceptions.BadAnswer(f'malformed {error.message}') from None


def _decode_model_state(data):
    models = objects.check_list(data.get('Models') or [], 'models')
    staged = objects.check_list(data.get('Staged') or [], 'staged')
    return {
        'model': objects.check_name(models[0]['Name'], 'model')
        if models
        else '',
        'staged': tuple(
            objects.check_name(item, 'staged model') for item in staged
        ),
        'membership': _decode_membership(data.get('group')),
    }


def _decode_membership(data):
    if not data:
        return None
    return pool.Membership(
        group=objects.check_name(data['Name'], 'group'),
        epoch=_check_count(data['epoch'], 'epoch'),
        rank=_check_count(data['rank'], 'rank'),
        state=_MEMBER_STATES[data['State']],
    )


def _check_count(value, what):
    return objects.check_integer(value, what, least=0)


def encode_order(order, fencing, sequence):
    """Encode the request body of an order to an engine; JSON as bytes.

    Parameters
    ----------
    order : balsamwind.pool.Join, Open, Close, Leave or Stage
        Order to encode.
    fencing : int
        Fencing number of the lease under which the order is sent.
    sequence : int or None
        Orders that the engine must have accepted so far (count); None if
        the engine shall not check that.
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
    raise TypeError(f'unknown type of order: {order!r}')


_ORDER_RESULTS = {
    200: pool.OrderResult.DONE,
    202: pool.OrderResult.BEGUN,
    409: pool.OrderResult.UNFIT,
    412: pool.OrderResult.FENCED,
    421: pool.OrderResult.OTHER_SERVER,
}


def decode_order_result(status):
    """Decode the HTTP status of the response to an order.

    Parameters
    ----------
    status : int
        HTTP status.

    Raises
    ------
    balsamwind.exceptions.BadAnswer
        The engine does not know the order, or the status is unexpected.
    """
    result = _ORDER_RESULTS.get(status)
    if result is None:
        raise exceptions.BadAnswer(f'unexpected status {status} for an order')
    return result
