"""HTTP server towards callers, in the request shapes they already use."""

import asyncio
import json

from tornado import httpserver
from tornado import iostream
from tornado import web

from balsamwind import exceptions
from balsamwind import objects
from balsamwind import ports
from balsamwind import requests

_encode_text = json.JSONEncoder(ensure_ascii=False).encode

MAX_KEY = 256
"""Longest idempotency key (characters)."""


class _CallerHandler(web.RequestHandler):
    """What all handlers towards callers share."""

    def initialize(self, entry):
        """Take the entry that runs the requests."""
        self.entry = entry
        self.request_id = entry.make_id()
        self._task = None

    def prepare(self):
        """Note the task, so that a caller who goes away cancels it."""
        self.set_header('X-Request-Id', self.request_id)
        self._task = asyncio.current_task()

    def on_connection_close(self):
        """Free what a caller who goes away has held."""
        if self._task is not None:
            self._task.cancel()

    def authenticate(self):
        """Contract of the caller."""
        header = self.request.headers.get('Authorization', '')
        scheme, _, key = header.partition(' ')
        if scheme.lower() != 'bearer' or not key:
            raise exceptions.BadKey('Authorization must be "Bearer <key>"')
        return self.entry.find_contract(key.strip())

    def load_body(self):
        """Body as a JSON object."""
        try:
            data = json.loads(self.request.body)
        except ValueError as error:
            raise exceptions.BadRequest(f'body is not JSON: {error}') from None
        if not isinstance(data, dict):
            raise exceptions.BadRequest('body must be a JSON object')
        return data

    def deadline(self):
        """Monotonic time at which the caller gives up (seconds)."""
        text = self.request.headers.get('X-Request-Timeout')
        timeout = self.entry.settings.requests.timeout
        if text is not None:
            try:
                timeout = min(timeout, float(text))
            except ValueError:
                raise exceptions.BadRequest(
                    f'X-Request-Timeout: got {text!r}, allowed: seconds'
                ) from None
        return self.entry.clock.monotonic() + timeout

    def write_error_body(self, error):
        """Answer with an error, before the body has begun."""
        self.set_status(error.status)
        if error.retry_after is not None:
            self.set_header('Retry-After', f'{max(error.retry_after, 0):.3f}')
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(make_error(error, self.request_id)))

    async def guard(self, run):
        """Run a handler's body; every error becomes an answer."""
        customer = ''
        code = 'ok'
        try:
            with self.entry.open_request():
                contract = self.authenticate()
                customer = contract.customer
                await run(contract)
        except exceptions.BalsamwindError as error:
            code = await self._answer_error(error)
        except (asyncio.CancelledError, iostream.StreamClosedError):
            code = 'caller_gone'
        except Exception as error:
            self.entry.log.exception('request_crashed')
            code = await self._answer_error(
                exceptions.BalsamwindError(type(error).__name__)
            )
        self.entry.note_outcome(customer, code, self.request_id)

    async def _answer_error(self, error):
        if self._headers_written:
            await self.break_off(error)
        else:
            self.write_error_body(error)
        return error.code

    async def break_off(self, error):
        """End a body that has begun with an error, and without its end."""
        data = json.dumps(make_error(error, self.request_id))
        try:
            self.write(f'data: {data}\n\n')
            await self.flush()
        except iostream.StreamClosedError:
            return
        self.request.connection.close()


def _encode_event(value):
    data = json.dumps(value, ensure_ascii=False, separators=(',', ':'))
    return f'data: {data}\n\n'


def make_error(error, request_id):
    """JSON value of an error."""
    return {
        'error': {
            'code': error.code,
            'message': error.message,
            'request_id': request_id,
            'run': error.run,
            'retry_after': error.retry_after,
        }
    }


def _check_prompt(data):
    prompt = data.get('prompt')
    if not isinstance(prompt, str) or not prompt:
        raise exceptions.BadRequest('prompt must be a non-empty string')
    return prompt


def _check_messages(data):
    messages = data.get('messages')
    if not isinstance(messages, list) or not messages:
        raise exceptions.BadRequest('messages must be a non-empty list')
    lines = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(
            message.get('content'), str
        ):
            raise exceptions.BadRequest('messages need a string content')
        lines.append(f'{message.get("role", "user")}: {message["content"]}')
    return '\n'.join(lines)


class CompletionHandler(_CallerHandler):
    """``/v1/completions`` and ``/v1/chat/completions``."""

    def initialize(self, entry, chat):
        """Take the entry, and whether the shape is that of a chat."""
        super().initialize(entry)
        self._chat = chat

    async def post(self):
        """Generate an answer."""
        await self.guard(self._run)

    async def _run(self, contract):
        data = self.load_body()
        request = requests.CompletionRequest(
            request_id=self.request_id,
            contract=contract,
            model=self._check_model(data, contract),
            prompt=_check_messages(data)
            if self._chat
            else _check_prompt(data),
            max_tokens=self._check_max_tokens(data),
            deadline=self.deadline(),
        )
        batches = self.entry.complete(request)
        if data.get('stream') is True:
            await self._stream(request, batches)
        else:
            await self._whole(request, batches)

    def _check_model(self, data, contract):
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

    def _check_max_tokens(self, data):
        count = data.get('max_tokens', 256)
        if not isinstance(count, int) or not 1 <= count <= 65536:
            raise exceptions.BadRequest(
                f'max_tokens: got {count!r}, allowed: 1 to 65536'
            )
        return count

    async def _whole(self, request, batches):
        tokens = []
        async for batch in batches:
            tokens.extend(batch)
        self.set_header('Content-Type', 'application/json')
        await self.finish(
            json.dumps(
                self._make_chunk(request, ''.join(tokens), 'stop', whole=True),
                ensure_ascii=False,
            )
        )

    async def _stream(self, request, batches):
        self.set_header('Content-Type', 'text/event-stream; charset=utf-8')
        self.set_header('Cache-Control', 'no-store')
        before, after = self._make_frame(request)
        connection = self.request.connection
        connection.stream.set_nodelay(True)
        async for batch in batches:
            data = ''.join(
                [f'{before}{_encode_text(token)}{after}' for token in batch]
            ).encode('utf-8')
            if not self._headers_written:
                self.write(data)
                await self.flush()
                continue
            written = connection.write(data)
            if connection.stream.writing():
                await written
        self._write_event(self._make_chunk(request, '', 'stop'))
        self.write('data: [DONE]\n\n')
        await self.finish()

    def _make_frame(self, request):
        """What stands before and after the text in each event."""
        mark = '\0'
        value = self._make_chunk(request, mark, None)
        event = _encode_event(value)
        before, after = event.split(_encode_text(mark))
        return before, after

    def _write_event(self, value):
        self.write(_encode_event(value))

    def _make_chunk(self, request, text, finish, whole=False):
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
    """``/v1/models``."""

    async def get(self):
        """List the models of the caller's contract."""
        await self.guard(self._run)

    async def _run(self, contract):
        data = [
            {'id': name, 'object': 'model', 'owned_by': contract.customer}
            for terms in contract.models
            for name in (terms.model, *terms.adapters)
        ]
        self.write({'object': 'list', 'data': data})


class ServiceHandler(_CallerHandler):
    """``/services/<name>/...``."""

    async def _any(self, name, path):
        async def run(contract):
            await self._run(contract, name, path)

        await self.guard(run)

    get = post = put = delete = patch = _any

    async def _run(self, contract, name, path):
        service = self.entry.find_service(contract, name)
        key = self.request.headers.get('Idempotency-Key', '')
        if len(key) > MAX_KEY:
            raise exceptions.BadRequest(
                f'Idempotency-Key: allowed: up to {MAX_KEY} characters'
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
            contract, service, call, self.deadline()
        )
        self._write_answer(answer)

    def _write_answer(self, answer: objects.Answer):
        self.set_status(answer.status)
        self.set_header('Content-Type', answer.content_type)
        self.finish(requests.load_body(answer))


class _UnknownHandler(_CallerHandler):
    """Every other path."""

    def prepare(self):
        """Answer with an error."""
        super().prepare()
        error = exceptions.NoSuchPath(f'no such path: {self.request.path}')
        self.write_error_body(error)


def make_caller_server(entry, ssl_context=None):
    """Build the HTTP server towards callers; it does not listen yet."""
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
        default_handler_class=_UnknownHandler,
        default_handler_args={'entry': entry},
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(
        application,
        ssl_options=ssl_context,
        max_body_size=entry.settings.requests.max_body,
        idle_connection_timeout=300,
    )
