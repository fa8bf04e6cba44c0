"""Identity of a request over its repeats, which all have ids of their own."""

import xxhash

PREFIX = 'request:'
"""Begins each fingerprint, so that it is no id of a prompt part."""


def is_fingerprint(name):
    """Tell whether a name is a fingerprint, not the id of a prompt part."""
    return name.startswith(PREFIX)


def make_fingerprint(request, account):
    """Make the fingerprint of a request.

    The time that this takes grows with the body (about 0.1 ms for a megabyte),
    so it is made only where it is needed.

    Parameters
    ----------
    request : IncomingRequest or OutgoingAttempt
        Request of the caller.
    account : str or None
        Name of the caller's client account; None if no API key is required.

    Returns
    -------
    str
        The same at all nodes for the same method, host, path with query,
        client account and body.
    """
    digest = xxhash.xxh3_128()
    fields = (
        request.method,
        request.host.lower(),
        request.target,
        account or '',
    )
    for field in fields:
        data = field.encode('utf-8', 'surrogateescape')
        digest.update(b'%d:' % len(data))
        digest.update(data)
    digest.update(request.body)
    return PREFIX + digest.hexdigest()
