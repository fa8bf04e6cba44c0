"""Selection of the headers that are forwarded in each direction."""

_NOT_FORWARDED = frozenset(
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
"""Hop-by-hop headers, and those that are set anew for each connection; in
lower case."""


def filter_request_headers(headers, host, stripped_names):
    """Select the headers of a caller that go to a backend server.

    Headers that the caller names in ``Connection`` are hop-by-hop as well.

    Parameters
    ----------
    headers : tornado.httputil.HTTPHeaders
        Headers that the caller sent.
    host : str
        Host that the caller requested; it is forwarded as ``Host``.
    stripped_names : frozenset of str
        Lower-case names of headers that the proxy sets itself.

    Returns
    -------
    list of (str, str)
        Names and values.
    """
    dropped = _NOT_FORWARDED | stripped_names
    connection_options = headers.get('Connection', '').lower()
    dropped |= {option.strip() for option in connection_options.split(',')}
    forwarded = [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    ]
    return [*forwarded, ('Host', host)]


def filter_response_headers(headers, with_content_length):
    """Select the headers of a backend server that go to the caller.

    Parameters
    ----------
    headers : tornado.httputil.HTTPHeaders
        Headers that the backend server sent.
    with_content_length : bool
        Whether to forward ``Content-Length``, which holds for a body that is
        relayed as a whole but not for an event stream that may be resumed.

    Returns
    -------
    list of (str, str)
        Names and values.
    """
    return [
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in _NOT_FORWARDED
        or (with_content_length and name.lower() == 'content-length')
    ]
