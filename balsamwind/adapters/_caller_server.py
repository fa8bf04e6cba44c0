"""HTTP server for callers: completions, model list and plain services."""

import asyncio
import json

from tornado import httpserver
from tornado import iostream
from tornado import web

from balsamwind.adapters import _outgoing_status
from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind import requests

_encode_text = json.JSONEncoder(ensure_ascii=False).encode

MAX_IDEMPOTENCY_KEY_LENGTH = 256
"""Longest accepted value of ``Idempotency-Key`` (characters)."""


class _CallerHandler(web.RequestHandler):
    """Base class of the handlers for callers.

    It authenticates the caller, parses the request and turns every error
    into an error response.
    """

    def initialize(self, entry):
        """Store the entry that runs the requests, and assign a request id."""
        self.entry = entry
        self.request_id = entry.make_id()
        self._task = None

    def prepare(self):
        """Store the current task, so that a disconnect can cancel it."""
        self.set_header('X-Request-Id', self.request_id)
        self._task = asyncio.current_task()

    def on_connection_close(self):
        """Cancel the request when the caller disconnects.

        Cancellation releases the admission slot and the engine's slot.
        """
        if self._task is not None:
            self._task.cancel()

    def authenticate(self):
        """Return the contract that holds the API key of the request.

        Raises
        ------
        balsamwind.exceptions.InvalidApiKey
            The header is missing or malformed, or no contract holds the key.
        """
        header = self.request.headers.get('Authorization', '')
        scheme, _, key = header.partition(' ')
        if scheme.lower() != 'bearer' or not key:
            raise exceptions.InvalidApiKey(
                'Authorization header must be "Bearer <key>"'
            )
        return self.entry.find_contract(key.strip())

    def load_body(self):
        """Parse the request body, which must be a JSON object."""
        try:
            data = json.loads(self.request.body)
        except ValueError as error:
            raise exceptions.BadRequest(
                f'request body is not valid JSON: {error}'
            ) from None
        if not isinstance(data, dict):
            raise exceptions.BadRequest('request body must be a JSON object')
        return data

    def compute_deadline(self):
        """Return the monotonic time of the request's deadline (seconds).

        The caller may shorten the timeout of the settings with the header
        ``X-Request-Timeout``, but not extend it.
        """
        text = self.request.headers.get('X-Request-Timeout')
        timeout = self.entry.settings.requests.timeout
        if text is not None:
            try:
                timeout = min(timeout, float(text))
            except ValueError:
                raise exceptions.BadRequest(
                    f'X-Request-Timeout: got {text!r},'
                    ' expected a number of seconds'
                ) from None
        return self.entry.clock.monotonic() + timeout

    def set_status(self, status_code, reason=None):
        """Set the status, which must be that of a final response.

        Raises
        ------
        balsamwind.exceptions.BadAnswer
            It is not, as in the record of a call that an earlier build wrote.
        """
        _outgoing_status.check_outgoing_status(status_code)
        super().set_status(status_code, reason)

    def write_error_response(self, error):
        """Send an error response; the headers must not have been sent."""
        self.set_status(error.status)
        if error.retry_after is not None:
            self.set_header('Retry-After', f'{max(error.retry_after, 0):.3f}')
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(make_error_body(error, self.request_id)))

    async def handle_request(self, serve):
        """Authenticate the caller, then await ``serve(contract)``.

        Every exception becomes an error response, and the outcome of the
        request is reported to the entry.

        Parameters
        ----------
        serve : callable
            Coroutine function that writes the response; it takes the
            contract of the caller.
        """
        customer = ''
        code = 'ok'
        try:
            with self.entry.track_request():
                contract = self.authenticate()
                customer = contract.customer
                await serve(contract)
        except exceptions.BalsamwindError as error:
            code = await self._respond_with_error(error)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            code = 'caller_gone'
        except Exception as error:
            self.entry.log.exception('request_crashed')
            code = await self._respond_with_error(
                exceptions.BalsamwindError(type(error).__name__)
            )
        self.entry.record_outcome(customer, code, self.request_id)

    async def _respond_with_error(self, error):
        if self._headers_written:
            await self.abort_body(error)
        else:
            self.write_error_response(error)
        return error.code

    async def abort_body(self, error):
        """Write an error event to a started body, then cut the connection.

        The body has no proper end, so the caller can not take the response
        for a complete one.
        """
        data = json.dumps(make_error_body(error, self.request_id))
        try:
            self.write(f'data: {data}\n\n')
            await self.flush()
        except iostream.StreamClosedError:
            return
        self.request.connection.close()


def _encode_event(value):
    data = json.dumps(value, ensure_ascii=False, separators=(',', ':'))
    return f'data: {data}\n\n'


def make_error_body(error, request_id):
    """Return the body of an error response, before JSON encoding.

    Parameters
    ----------
    error : balsamwind.exceptions.BalsamwindError
        Error to report.
    request_id : str
        Id of the request that failed.

    Returns
    -------
    dict
    """
    return {
        'error': {
            'code': error.code,
            'message': error.message,
            'request_id': request_id,
            'run': error.run,
            'retry_after': error.retry_after,
        }
    }


def _get_prompt(data):
    prompt = data.get('prompt')
    if not isinstance(prompt, str) or not prompt:
        raise exceptions.BadRequest('prompt must be a non-empty string')
    return prompt


def _join_messages(data):
    messages = data.get('messages')
    if not isinstance(messages, list) or not messages:
        raise exceptions.BadRequest('messages must be a non-empty list')
    lines = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(
            message.get('content'), str
        ):
            raise exceptions.BadRequest(
                'each message must be an object with a string content'
            )
        lines.append(f'{message.get("role", "user")}: {message["content"]}')
    return '\n'.join(lines)


class CompletionHandler(_CallerHandler):
    """Handler of ``/v1/completions`` and ``/v1/chat/completions``."""

    def initialize(self, entry, chat):
        """Store the entry, and whether requests have the chat format."""
        super().initialize(entry)
        self._chat = chat

    async def post(self):
        """Generate a completion."""
        await self.handle_request(self._run)

    async def _run(self, contract):
        data = self.load_body()
        request = requests.CompletionRequest(
            request_id=self.request_id,
            contract=contract,
            model=self._get_model(data, contract),
            prompt=_join_messages(data) if self._chat else _get_prompt(data),
            max_tokens=self._get_max_tokens(data),
            deadline=self.compute_deadline(),
        )
        token_batches = self.entry.complete(request)
        if data.get('stream') is True:
            await self._respond_streamed(request, token_batches)
        else:
            await self._respond_whole(request, token_batches)

    def _get_model(self, data, contract):
        model = data.get('model')
        names = [
            name
            for terms in contract.models
            for name in (terms.model, *terms.adapters)
        ]
        if model not in names:
            raise exceptions.UnknownModel(
                f'model: got {model!r}, allowed: {", ".join(names)}'
            )
        return model

    def _get_max_tokens(self, data):
        count = data.get('max_tokens', 256)
        if not isinstance(count, int) or not 1 <= count <= 65536:
            raise exceptions.BadRequest(
                f'max_tokens: got {count!r}, allowed: 1 to 65536'
            )
        return count

    async def _respond_whole(self, request, token_batches):
        tokens = []
        async for batch in token_batches:
            tokens.extend(batch)
        self.set_header('Content-Type', 'application/json')
        await self.finish(
            json.dumps(
                self._make_completion(
                    request, ''.join(tokens), 'stop', whole=True
                ),
                ensure_ascii=False,
            )
        )

    async def _respond_streamed(self, request, token_batches):
        self.set_header('Content-Type', 'text/event-stream; charset=utf-8')
        self.set_header('Cache-Control', 'no-store')
        prefix, suffix = self._make_event_affixes(request)
        connection = self.request.connection
        connection.stream.set_nodelay(True)
        async for batch in token_batches:
            data = ''.join(
                [f'{prefix}{_encode_text(token)}{suffix}' for token in batch]
            ).encode('utf-8')
            if not self._headers_written:
                self.write(data)
                await self.flush()
                continue
            # Awaits only data that the socket did not take at once; then a
            # slow caller holds the engine back.
            written = connection.write(data)
            if connection.stream.writing():
                await written
        self._write_event(self._make_completion(request, '', 'stop'))
        self.write('data: [DONE]\n\n')
        await self.finish()

    def _make_event_affixes(self, request):
        """Return the parts of an event before and after its text.

        All events of a response differ only in their text, so the rest is
        encoded once.
        """
        placeholder = '\0'
        value = self._make_completion(request, placeholder, None)
        event = _encode_event(value)
        prefix, suffix = event.split(_encode_text(placeholder))
        return prefix, suffix

    def _write_event(self, value):
        self.write(_encode_event(value))

    def _make_completion(self, request, text, finish, whole=False):
        if self._chat:
            message = {'role': 'assistant', 'content': text}
            choice = {'message' if whole else 'delta': message}
            kind = 'chat.completion' if whole else 'chat.completion.chunk'
        else:
            choice = {'text': text}
            kind = 'text_completion'
        choice.update(index=0, finish_reason=finish)
        return {
            'id': request.request_id,
            'object': kind,
            'model': request.model,
            'choices': [choice],
        }


class ModelsHandler(_CallerHandler):
    """Handler of ``/v1/models``."""

    async def get(self):
        """List the models and adapters of the caller's contract."""
        await self.handle_request(self._run)

    async def _run(self, contract):
        data = [
            {'id': name, 'object': 'model', 'owned_by': contract.customer}
            for terms in contract.models
            for name in (terms.model, *terms.adapters)
        ]
        self.write({'object': 'list', 'data': data})


class ServiceHandler(_CallerHandler):
    """Handler of ``/services/<name>/...``, the calls of plain services."""

    async def _handle_method(self, name, path):
        async def run(contract):
            await self._run(contract, name, path)

        await self.handle_request(run)

    get = post = put = delete = patch = _handle_method

    async def _run(self, contract, name, path):
        service = self.entry.find_service(contract, name)
        key = self.request.headers.get('Idempotency-Key', '')
        if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
            raise exceptions.BadRequest(
                f'Idempotency-Key: longer than'
                f' {MAX_IDEMPOTENCY_KEY_LENGTH} characters'
            )
        if self.request.query:
            path = f'{path}?{self.request.query}'
        call = ports.ServiceCall(
            method=self.request.method,
            path=f'/{path}',
            body=self.request.body,
            content_type=self.request.headers.get(
                'Content-Type', 'application/json'
            ),
            idempotency_key=key,
            request_id=self.request_id,
        )
        answer = await self.entry.call_service(
            contract, service, call, self.compute_deadline()
        )
        self._write_response(answer)

    def _write_response(self, answer: objects.Answer):
        self.set_status(answer.status)
        self.set_header('Content-Type', answer.content_type)
        self.finish(requests.load_body(answer))


class _NotFoundHandler(_CallerHandler):
    """Handler of every other path."""

    def prepare(self):
        """Respond with a 404 error."""
        super().prepare()
        error = exceptions.NoSuchPath(f'no such path: {self.request.path}')
        self.write_error_response(error)


def make_caller_server(entry, ssl_context=None):
    """Build the HTTP server for callers; it does not listen yet.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Entry that authenticates callers and runs their requests.
    ssl_context : ssl.SSLContext or None
        Server-side TLS context; None serves plain HTTP.

    Returns
    -------
    tornado.httpserver.HTTPServer
    """
    application = web.Application(
        [
            (
                '/v1/completions',
                CompletionHandler,
                {'entry': entry, 'chat': False},
            ),
            (
                '/v1/chat/completions',
                CompletionHandler,
                {'entry': entry, 'chat': True},
            ),
            ('/v1/models', ModelsHandler, {'entry': entry}),
            ('/services/([^/]+)/(.*)', ServiceHandler, {'entry': entry}),
        ],
        default_handler_class=_NotFoundHandler,
        default_handler_args={'entry': entry},
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(
        application,
        ssl_options=ssl_context,
        max_body_size=entry.settings.requests.max_body,
        idle_connection_timeout=300,
    )
