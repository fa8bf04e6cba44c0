"""Headers that are passed on, and those of one connection only."""

_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
"""Headers that concern one connection, in lower case."""


def keep_request(headers, host, replaced):
    """Headers of a caller that go to a backend server.

    Parameters
    ----------
    headers : tornado.httputil.HTTPHeaders
        As the caller sent them.
    host : str
        Host that the caller asked for.
    replaced : frozenset of str
        Names in lower case that the system sets itself.

    Returns
    -------
    list of (str, str)
    """
    dropped = _HOP_HEADERS | replaced
    named = headers.get('Connection', '').lower()
    dropped |= {part.strip() for part in named.split(',')}
    rows = [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    ]
    return [*rows, ('Host', host)]


def keep_answer(headers, with_length):
    """Headers of a backend server that go to the caller.

    Parameters
    ----------
    headers : tornado.httputil.HTTPHeaders
        As the backend server sent them.
    with_length : bool
        Whether the body is relayed as one whole.

    Returns
    -------
    list of (str, str)
    """
    return [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in _HOP_HEADERS
        or (with_length and name.lower() == 'content-length')
    ]
