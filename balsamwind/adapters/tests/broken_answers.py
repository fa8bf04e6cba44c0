"""Answers that are none, by what is wrong with them."""

NO_FINAL_STATUS = ('000', '001', '020', '042', '099', '600', '777', '999')
"""Statuses of three digits that no final response has."""

NO_STATUS = (
    '',
    '2',
    '20',
    '0200',
    '2000',
    '+20',
    '-20',
    '2 0',
    '2x0',
    'abc',
    '0x2',
    '2.0',
    '٢٠٠',
)
"""What stands for a status, and is no number of three digits."""

OTHER_START_LINES = (
    b'HTTP/2.0 200 OK',
    b'HTTP/0.9 200 OK',
    b'HTTP/11 200 OK',
    b'HTTP/1.10 200 OK',
    b'http/1.1 200 OK',
    b'ICY 200 OK',
    b'200 OK',
    b'HTTP/1.1 200',
    b'HTTP/1.1 000',
    b'HTTP/1.1  200 OK',
    b'HTTP/1.1\t200 OK',
    b' HTTP/1.1 200 OK',
    b'HTTP/1.1 200 O\x00K',
    b'HTTP/1.1 200 O\x1bK',
    b'HTTP/1.1 200 O\x7fK',
)
"""Start lines of another protocol, or with a control byte in the reason."""

_SPOILERS = (b' ', b'\t', b'\x00', b'\x01', b'\x0b', b'\x7f', b'\x80', b'\xff')

_SEPARATORS = (b'(', b'"', b'/', b'[', b'=', b'@', b'{', b',', b';', b'\\')

_EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\n'


def make_statuses(fields, body):
    """Make whole answers whose status is not that of a final response.

    Parameters
    ----------
    fields : bytes
        Header fields, each with its line end, without those of the framing.
    body : bytes
        Body of the answer.

    Returns
    -------
    dict of str to bytes
    """
    rest = fields + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    whole = b'HTTP/1.1 200 OK\r\n' + rest
    answers = {
        f'status {status}': f'HTTP/1.1 {status} X\r\n'.encode() + rest
        for status in NO_FINAL_STATUS
    }
    answers['status of the older version'] = b'HTTP/1.0 000 X\r\n' + rest
    answers['status 000, then whole'] = answers['status 000'] + whole
    answers['status 000 alone, then whole'] = b'HTTP/1.1 000 X\r\n\r\n' + whole
    answers['status 099 after early hints'] = (
        _EARLY_HINTS + b'\r\n' + answers['status 099']
    )
    answers['protocol switched, then whole'] = (
        b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n'
        b'Connection: upgrade\r\n\r\n' + whole
    )
    return answers


def make_other_heads(fields, body):
    """Make answers whose heads are none for another reason.

    The parameters and the result are those of `make_statuses`.
    """
    length = b'Content-Length: %d\r\n' % len(body)
    end = b'\r\n' + body
    start = b'HTTP/1.1 200 OK\r\n'
    answers = {
        f'status {status!r}': f'HTTP/1.1 {status} X\r\n'.encode()
        + fields
        + length
        + end
        for status in NO_STATUS
    }
    for line in OTHER_START_LINES:
        answers[f'start line {line!r}'] = (
            line + b'\r\n' + fields + length + end
        )
    for line in _make_odd_lines():
        answers[f'line {line!r}'] = (
            start + line + b'\r\n' + fields + length + end
        )
        answers[f'last line {line!r}'] = (
            start + fields + length + line + b'\r\n' + end
        )
        answers[f'line of early hints {line!r}'] = (
            _EARLY_HINTS + line + b'\r\n\r\n' + start + fields + length + end
        )
    for framing in _make_odd_framings(body):
        answers[f'framing {framing!r}'] = (
            start + fields + framing + b'\r\n' + end
        )
    # Its body holds no sizes of chunks.
    answers['chunked without chunks'] = (
        start + fields + b'Transfer-Encoding: chunked\r\n' + end
    )
    answers['no content, with a length'] = (
        b'HTTP/1.1 204 X\r\n' + fields + b'Content-Length: 5\r\n' + end
    )
    answers['many interim answers'] = (
        (_EARLY_HINTS + b'\r\n') * 1000 + start + fields + length + end
    )
    return answers


def _make_odd_lines():
    """Make field lines whose names are none, or whose values have controls."""
    lines = [b'no colon', b' folded: 1', b'\tfolded: 1', b': no name']
    for spoiler in _SPOILERS + _SEPARATORS:
        lines.append(b'X-Na' + spoiler + b'me: 1')
        lines.append(b'X-Name' + spoiler + b': 1')
        # A line that begins with white space continues the one before it.
        lines.append(spoiler + b'X-Name: 1')
    lines += [b'X-Name: a%sb' % bad for bad in (b'\x00', b'\x07', b'\x7f')]
    return lines


def _make_odd_framings(body):
    size = len(body)
    lines = [
        b'Content-Length : %d' % size,
        b'Content-Length\t: %d' % size,
        b'Content-Le ngth: %d' % size,
        b'Content-Length\x00: %d' % size,
        b'Content-Length: +%d' % size,
        b'Content-Length: -%d' % size,
        b'Content-Length: ',
        b'Content-Length: %d' % 10**30,
        b'Content-Length: 0x%x' % size,
        b'Content-Length: %d, %d' % (size, size + 1),
        b'Content-Length: %d\r\nContent-Length: %d' % (size, size + 1),
        b'Transfer-Encoding : chunked',
        b'Transfer-Encoding\x01: chunked',
        b'Transfer-Encoding: chunked, chunked',
        b'Transfer-Encoding: gzip',
        b'Transfer-Encoding: chunked\r\nContent-Length: %d' % size,
        b'Content-Length: %s' % (b'9' * 5000),
        b'Content-Length: %d;' % size,
    ]
    return [line + b'\r\n' for line in lines]
