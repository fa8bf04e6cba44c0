"""Answers that stop in their heads or right after them."""


def make_cuts(fields, body, chunk):
    """Make the ways in which an answer with status 200 is cut short.

    Parameters
    ----------
    fields : bytes
        Header fields, each with its line end, without those of the framing.
    body : bytes
        Body of the whole answer.
    chunk : bytes
        The same as one chunk.

    Returns
    -------
    dict of str to bytes
    """
    length = b'%d' % (len(body) + 1000)
    start = b'HTTP/1.1 200 OK\r\n' + fields
    head = start + b'Content-Length: ' + length + b'\r\n'
    chunked = start + b'Transfer-Encoding: chunked\r\n\r\n'
    early = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
    return {
        'nothing': b'',
        'version cut': b'HTTP/1.',
        'status cut': b'HTTP/1.1 20',
        'status line alone': b'HTTP/1.1 200 OK\r\n',
        'name cut': start + b'Content-Le',
        'value cut': start + b'Content-Length:',
        'fields without framing': start,
        'digits of the length cut': start + b'Content-Length: 1',
        'digits cut after a line end': start + b'Content-Length: 1\r\n',
        'digits cut before a bare line end': start + b'Content-Length: 1\n',
        'no blank line': head,
        'half of the blank line': head + b'\r',
        'bare line feeds': head.replace(b'\r\n', b'\n'),
        'body for a blank line': head + body.rstrip(),
        'length without a body': head + b'\r\n',
        'body shorter than its length': head + b'\r\n' + body,
        'chunked without a chunk': chunked,
        'size of a chunk cut': chunked + b'1',
        'size of a chunk alone': chunked + chunk[: chunk.index(b'\n') + 1],
        'chunk cut': chunked + chunk[:-5],
        'no last chunk': chunked + chunk,
        'continue alone': b'HTTP/1.1 100 Continue\r\n\r\n',
        'continue, status cut': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 2',
        'early hints, no blank line': early + head,
        'early hints, no body': early + head + b'\r\n',
        'early hints cut': early[:-2],
    }
