"""Listens to a node of the own data centre instead of asking the store."""

import asyncio

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node import _news

SOURCES = 2
"""Nodes of a data centre that the others listen to; the second one itself
listens to the first (count)."""

SILENCE = 1.3
"""Silence after which a source is given up (seconds)."""

QUESTION_INTERVAL = 0.5
"""Time between two questions for the proof (seconds)."""

PROOF_MEMORY = 2.9
"""Age of a proof up to which this node does not ask the store (seconds)."""

RETRY_INTERVAL = 1.0
"""Wait before another source is tried (seconds)."""


class NewsReader:
    """Takes news into the registry and the configuration book.

    Parameters
    ----------
    name : str
        This node.
    registry, book, clock, log
        What it fills; boot time; log.
    pass_on : callable
        Tells news to those who listen to this node.
    """

    def __init__(self, name, registry, book, clock, log, pass_on):
        self._name = name
        self._pass_on = pass_on
        self._registry = registry
        self._book = book
        self._clock = clock
        self._log = log
        self._sources = ()
        self._heard_at = float('-inf')
        self._proved_at = float('-inf')
        self._newest = 0
        self._number = 0
        self._asked = {}

    @property
    def _is_source(self):
        """Whether this node has nobody to listen to."""
        return not self._sources

    def set_nodes(self, nodes):
        """Take the nodes of the own data centre: pairs of name, address."""
        ordered = sorted(nodes)
        names = [name for name, _ in ordered]
        rank = names.index(self._name) if self._name in names else 0
        self._sources = tuple(
            address for _, address in ordered[: min(rank, SOURCES)]
        )

    def has_servers(self):
        """Whether a source keeps the registry fresh."""
        now = self._clock.monotonic()
        return not self._is_source and now - self._heard_at < SILENCE

    def has_proof(self):
        """Whether a source keeps the proof of the configuration fresh."""
        now = self._clock.monotonic()
        return not self._is_source and now - self._proved_at < PROOF_MEMORY

    def is_behind(self):
        """Whether a source knows a newer version of the configuration."""
        return self._newest > self._book.version

    async def run(self):
        """Listen for ever."""
        turn = 0
        while True:
            if self._is_source:
                await asyncio.sleep(RETRY_INTERVAL)
                continue
            address = self._sources[turn % len(self._sources)]
            turn += 1
            heard_before = self._heard_at
            try:
                await self._listen(address)
            except exceptions.TransportError as error:
                self._log.info('news_lost', source=address, reason=str(error))
            if self._heard_at == heard_before:
                await asyncio.sleep(RETRY_INTERVAL)

    async def _listen(self, address):
        async with adapters.open_news(address) as connection:
            self._log.info('news_heard', source=address)
            heard_at = self._clock.monotonic()
            asker = asyncio.ensure_future(self._ask(connection))
            try:
                while not self._is_source:
                    data = await adapters.receive(connection, SILENCE)
                    self._take(_news.decode_news(data))
                    heard_at = max(heard_at, self._heard_at)
                    self._check_silence(heard_at)
            finally:
                asker.cancel()

    def _check_silence(self, heard_at):
        """Check that the source tells of servers, not only of its proof.

        Raises
        ------
        balsamwind.exceptions.TransportError
            It answers, but does not hear the store itself.
        """
        if self._clock.monotonic() - heard_at > SILENCE:
            raise exceptions.AnswerTimeout('no news of servers')

    async def _ask(self, connection):
        while True:
            self._number += 1
            self._asked = {self._number: self._clock.monotonic()}
            request = _news.ProofRequest(self._number)
            await connection.send(_news.encode_news(request))
            await asyncio.sleep(QUESTION_INTERVAL)

    def _take(self, message):
        now = self._clock.monotonic()
        match message:
            case _news.ServerNews():
                self._heard_at = now
                self._take_servers(message, now)
                self._pass_on(message)
            case _news.Proof(number=number, version=version, age=age):
                asked_at = self._asked.pop(number, None)
                if asked_at is not None:
                    self._take_proof(version, asked_at - age)

    def _take_proof(self, version, proved_at):
        """Take a proof; ask the store itself if the version is newer.

        A source that is cut off from the store goes on answering: what
        counts is when it heard the store, not when it answered.
        """
        if version == self._book.version:
            self._book.confirm(proved_at)
            self._proved_at = max(self._proved_at, proved_at)
        elif version > self._book.version:
            self._proved_at = float('-inf')
            self._newest = version

    def _take_servers(self, message, now):
        if message.whole:
            self._registry.replace(message.records, now)
            return
        for record in message.records:
            self._registry.put(record, now)
        for removed in message.removed:
            self._registry.remove(removed, now)


class NewsSource:
    """Tells others what this node itself heard from the store.

    Parameters
    ----------
    registry, book, clock, log
        What it tells of; boot time; log.
    """

    def __init__(self, registry, book, clock, log):
        self._registry = registry
        self._book = book
        self._clock = clock
        self._told_at = float('-inf')
        self.server = adapters.NewsServer(self._make_first, self._answer, log)

    def _make_first(self):
        """First frame for a new reader; None while the store is not heard."""
        if self._clock.monotonic() - self._told_at > SILENCE:
            return None
        return _news.encode_news(self._make_whole())

    def _make_whole(self):
        records = tuple(item for item in self._registry if item.listed)
        return _news.ServerNews(whole=True, records=records)

    def tell_whole(self):
        """Tell all entries, after a whole list was read."""
        self.tell(self._make_whole())

    def tell_changes(self, records, removed):
        """Tell changes; with none, that nothing has changed."""
        self.tell(_news.ServerNews(False, tuple(records), tuple(removed)))

    def tell(self, message):
        """Tell one message to all who listen."""
        self._told_at = self._clock.monotonic()
        if self.server.readers:
            self.server.broadcast(_news.encode_news(message))

    def _answer(self, data):
        match _news.decode_news(data):
            case _news.ProofRequest(number=number):
                age = self._book.age(self._clock.monotonic())
                if not self._book.version:
                    return None
                proof = _news.Proof(number, self._book.version, age)
                return _news.encode_news(proof)
        return None
