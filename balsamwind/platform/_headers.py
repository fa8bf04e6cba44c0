"""Codec of the platform's request and response headers."""

from balsamwind import relay

_REQUEST_ID = 'X-Balsamwind-Request-Id'
_TIME_BUDGET = 'X-Balsamwind-Time-Budget-Ms'
EXPECTED_SERVER = 'X-Balsamwind-Expect-Instance'
_ACCOUNT = 'X-Balsamwind-Tenant'
_MODEL = 'X-Balsamwind-Model'
_TOKEN_USAGE = 'X-Balsamwind-Token-Usage'
_PROMPT_PARTS = 'X-Balsamwind-Prompt-Prefix'
_LENGTH_HINT = 'X-Balsamwind-Length-Hint'
_PRIORITY = 'X-Balsamwind-Request-Priority'
_RESPONSE_STAMP = 'X-Balsamwind-Response-Stamp'
_NOT_EXECUTED = 'X-Balsamwind-Not-Executed'
_SERVER_LOAD = 'X-Balsamwind-Server-Load'
_FAULTY_SERVER = 'At-Server'
_RETRY_AFTER = 'Retry-After'
_SERVER_LEAVING = 'Server-Leaving'
_SERVER_LIMIT = 'Server-Limit'
_LAST_EVENT_ID = 'Last-Event-Id'
_AUTHORIZATION = 'Authorization'
_AUTHORIZATION_SCHEME = 'token '
_MAX_SHARED_PARTS = 32
_MAX_COUNT = 2**53

_STRIPPED_NAMES = frozenset(
    name.lower()
    for name in (
        _TIME_BUDGET,
        EXPECTED_SERVER,
        _ACCOUNT,
        _PRIORITY,
        _AUTHORIZATION,
        _LAST_EVENT_ID,
    )
)


class HeaderCodec:
    """Decodes and encodes the platform's HTTP headers for the relay.

    Headers that are missing or malformed decode to the default of the field.
    """

    __slots__ = ()

    stripped_names = _STRIPPED_NAMES
    """Lower-case names of caller headers that are removed or overwritten."""

    def decode_request(self, headers):
        """Decode the headers of a caller's request.

        Parameters
        ----------
        headers : tornado.httputil.HTTPHeaders
            Headers as the caller sent them.

        Returns
        -------
        balsamwind.relay.RequestMetadata
        """
        authorization = headers.get(_AUTHORIZATION, '')
        prompt, output = _decode_token_usage(headers.get(_TOKEN_USAGE))
        return relay.RequestMetadata(
            request_id=headers.get(_REQUEST_ID, ''),
            time_budget=_decode_seconds(headers.get(_TIME_BUDGET)),
            api_key=authorization[len(_AUTHORIZATION_SCHEME) :].strip()
            if authorization.lower().startswith(_AUTHORIZATION_SCHEME)
            else '',
            model=headers.get(_MODEL, ''),
            prompt_tokens=prompt,
            max_output_tokens=output,
            expected_output_tokens=_decode_count(headers.get(_LENGTH_HINT)),
            last_event_id=headers.get(_LAST_EVENT_ID, ''),
            shared_parts=_decode_shared_parts(headers.get(_PROMPT_PARTS, '')),
        )

    def encode_request(self, metadata):
        """Encode headers for a backend server; pairs of name and value.

        Parameters
        ----------
        metadata : balsamwind.relay.ForwardedMetadata
            Values to encode; optional ones are left out if not set.
        """
        headers = [
            (_TIME_BUDGET, str(max(1, int(metadata.time_budget * 1000)))),
            (EXPECTED_SERVER, metadata.server_id),
        ]
        if metadata.account is not None:
            headers.append((_ACCOUNT, metadata.account))
        if metadata.priority is not None:
            headers.append((_PRIORITY, str(metadata.priority)))
        if metadata.last_event_id:
            headers.append((_LAST_EVENT_ID, metadata.last_event_id))
        return headers

    def decode_response(self, headers):
        """Decode the headers of a backend server's response.

        Parameters
        ----------
        headers : tornado.httputil.HTTPHeaders
            Headers as the backend server sent them.

        Returns
        -------
        balsamwind.relay.ResponseMetadata
        """
        unreadable = []
        retry_after = _decode_number(headers, _RETRY_AFTER, unreadable)
        rate_limit = _decode_number(headers, _SERVER_LIMIT, unreadable)
        return relay.ResponseMetadata(
            request_id=headers.get(_REQUEST_ID, ''),
            signed=_RESPONSE_STAMP in headers,
            not_run=_NOT_EXECUTED in headers,
            load=_decode_server_load(headers.get(_SERVER_LOAD)),
            faulty_server=headers.get(_FAULTY_SERVER, ''),
            retry_after=retry_after,
            leaving=says_leaving(headers),
            rate_limit=rate_limit,
            unreadable=tuple(unreadable),
        )


def _decode_seconds(text):
    milliseconds = _decode_count(text)
    return None if milliseconds is None else milliseconds / 1000


def says_leaving(headers):
    """Tell whether a backend server says in its headers that it leaves."""
    values = headers.get(_SERVER_LEAVING, '').split(',')
    return any(value.strip() == '1' for value in values)


def _decode_number(headers, name, unreadable):
    """Decode a number; None if there is none or it can't be read."""
    try:
        number = float(headers.get(name, 'nan'))
    except ValueError:
        number = -1.0
    if 0.0 <= number < float('inf'):
        return number
    if name in headers:
        unreadable.append(name)
    return None


def _decode_count(text):
    try:
        return min(max(0, int(text)), _MAX_COUNT)
    except (TypeError, ValueError):
        return None


def _decode_token_usage(text):
    """Decode the tokens of the prompt and the most tokens of the output."""
    try:
        prompt, output = map(_decode_count, text.split(','))
    except (AttributeError, ValueError):
        return 0, 0
    return (0, 0) if None in (prompt, output) else (prompt, output)


def _decode_shared_parts(text):
    """Decode the ids of all parts of a prompt but the last, its own one."""
    ids = [part.partition(':')[0].strip()[:64] for part in text.split(',')]
    return tuple(ids[:-1][:_MAX_SHARED_PARTS])


def _decode_server_load(text):
    """Decode the counts of running and waiting requests and of slots."""
    try:
        counts = tuple(map(_decode_count, text.split(',')))
    except AttributeError:
        return None
    is_readable = len(counts) == 3 and None not in counts
    return relay.ReportedLoad(*counts) if is_readable else None
