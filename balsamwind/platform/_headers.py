"""Headers of requests and answers."""

from balsamwind import relay

_REQUEST_ID = 'X-Balsamwind-Request-Id'
_TIME_BUDGET = 'X-Balsamwind-Time-Budget-Ms'
EXPECT_SERVER = 'X-Balsamwind-Expect-Instance'
_ACCOUNT = 'X-Balsamwind-Tenant'
_MODEL = 'X-Balsamwind-Model'
_TOKENS = 'X-Balsamwind-Token-Usage'
_LENGTH_HINT = 'X-Balsamwind-Length-Hint'
_PRIORITY = 'X-Balsamwind-Request-Priority'
_STAMP = 'X-Balsamwind-Response-Stamp'
_NOT_RUN = 'X-Balsamwind-Not-Executed'
_LOAD = 'X-Balsamwind-Server-Load'
_FAULTY_SERVER = 'At-Server'
_LAST_EVENT = 'Last-Event-Id'
_AUTHORIZATION = 'Authorization'
_SCHEME = 'token '

_REPLACED = frozenset(
    name.lower()
    for name in (
        _TIME_BUDGET,
        EXPECT_SERVER,
        _ACCOUNT,
        _PRIORITY,
        _AUTHORIZATION,
        _LAST_EVENT,
    )
)


class Headers:
    """Translates headers of the platform."""

    __slots__ = ()

    replaced = _REPLACED
    """Names in lower case that are never passed on as the caller sent them.
    """

    def decode_request(self, headers):
        """What a caller's headers say.

        Returns
        -------
        balsamwind.relay.RequestTerms
        """
        key = headers.get(_AUTHORIZATION, '')
        prompt, output = _decode_tokens(headers.get(_TOKENS))
        return relay.RequestTerms(
            request_id=headers.get(_REQUEST_ID, ''),
            time_budget=_decode_seconds(headers.get(_TIME_BUDGET)),
            key=key[len(_SCHEME) :].strip()
            if key.lower().startswith(_SCHEME)
            else '',
            model=headers.get(_MODEL, ''),
            prompt_tokens=prompt,
            output_tokens=output,
            expected_output=_decode_count(headers.get(_LENGTH_HINT)),
            last_event=headers.get(_LAST_EVENT, ''),
        )

    def encode_request(self, send):
        """Headers that the system sets on a request to a backend server.

        Parameters
        ----------
        send : balsamwind.relay.Send
            What to say.
        """
        rows = [
            (_TIME_BUDGET, str(max(1, int(send.time_budget * 1000)))),
            (EXPECT_SERVER, send.server_id),
        ]
        if send.account is not None:
            rows.append((_ACCOUNT, send.account))
        if send.priority is not None:
            rows.append((_PRIORITY, str(send.priority)))
        if send.last_event:
            rows.append((_LAST_EVENT, send.last_event))
        return rows

    def decode_answer(self, headers):
        """What a backend server's headers say.

        Returns
        -------
        balsamwind.relay.AnswerTerms
        """
        return relay.AnswerTerms(
            request_id=headers.get(_REQUEST_ID, ''),
            stamped=_STAMP in headers,
            not_run=_NOT_RUN in headers,
            load=_decode_load(headers.get(_LOAD)),
            faulty_server=headers.get(_FAULTY_SERVER, ''),
        )


def _decode_seconds(text):
    try:
        return max(0.0, int(text) / 1000)
    except (TypeError, ValueError):
        return None


def _decode_count(text):
    try:
        return max(0, int(text))
    except (TypeError, ValueError):
        return None


def _decode_tokens(text):
    try:
        prompt, output = text.split(',')
        return max(0, int(prompt)), max(0, int(output))
    except (AttributeError, TypeError, ValueError):
        return 0, 0


def _decode_load(text):
    """Running and waiting requests, and slots."""
    try:
        running, waiting, slots = (int(part) for part in text.split(','))
    except (AttributeError, TypeError, ValueError):
        return None
    return relay.ReportedLoad(running, waiting, slots)
