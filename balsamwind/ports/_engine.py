"""Port of a model engine."""

import dataclasses
import enum
import typing


class EngineState(enum.Enum):
    """What an engine says it is doing."""

    EMPTY = 'empty'
    LOADING = 'loading'
    READY = 'ready'
    BROKEN = 'broken'
    DRAINING = 'draining'


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvent:
    """Change of the prompt prefixes that an engine has in its cache.

    Parameters
    ----------
    sequence : int
        Place among the events of the engine, without gaps, from 1.
    stored, removed : tuple of int
        Hashes of prompt blocks, see :func:`balsamwind.routing.hash_blocks`.
    """

    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """Load report of one engine; it lags.

    Parameters
    ----------
    vm : str
        Name of the VM.
    state : EngineState
        What the engine is doing.
    group : str
        Group it was last ordered into; empty if none.
    generation : int
        Generation of that group.
    model, version : str
        What is loaded, or being loaded.
    running, waiting : int
        Requests in the batch and before it (count).
    fencing : int
        Largest fencing number of an order it obeyed.
    cached : tuple of str
        ``model@version`` whose weights the VM holds.
    slots : int
        Requests that fit in the batch (count); 0 if not said.
    prefill_rate : float
        Prompt tokens prefilled a second (1/s); 0 if not said.
    cache_events : tuple of CacheEvent
        Last events of the prefix cache, in order; what is older is lost.
    """

    vm: str
    state: EngineState
    group: str = ''
    generation: int = 0
    model: str = ''
    version: str = ''
    running: int = 0
    waiting: int = 0
    fencing: int = 0
    cached: tuple[str, ...] = ()
    slots: int = 0
    prefill_rate: float = 0.0
    cache_events: tuple[CacheEvent, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Order to an engine.

    Parameters
    ----------
    kind : str
        ``load`` or ``unload``.
    group : str
        Group that the order is for.
    generation : int
        Generation of the group.
    fencing : int
        Fencing number of the lease under which the order is given.
    model, version, role : str
        What to load.
    adapters : tuple of str
        Adapters beside the model.
    members : tuple of str
        Addresses of all members, in rank order.
    rank : int
        Place of the engine among the members.
    """

    kind: str
    group: str
    generation: int
    fencing: int
    model: str = ''
    version: str = ''
    role: str = 'serve'
    adapters: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    rank: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Generate:
    """One attempt to generate an answer.

    Parameters
    ----------
    request_id, attempt_id : str
        Ids of the request and of this attempt.
    group : str
        Group that must take it.
    generation : int
        Generation the group must have.
    model : str
        Model or adapter asked for.
    prompt : str
        Text to continue.
    max_tokens : int
        Longest answer (count), resumed tokens included.
    priority : int
        0 to 9; larger goes first.
    resume : tuple of str
        Tokens that the caller already has.
    timeout : float
        Time left until the caller's deadline (seconds).
    """

    request_id: str
    attempt_id: str
    group: str
    generation: int
    model: str
    prompt: str
    max_tokens: int
    priority: int = 5
    resume: tuple[str, ...] = ()
    timeout: float = 120.0


@dataclasses.dataclass(slots=True, frozen=True)
class Token:
    """One token of an answer.

    Parameters
    ----------
    attempt_id : str
        Attempt that it belongs to.
    index : int
        Place in the answer, from 0.
    text : str
        The token.
    """

    attempt_id: str
    index: int
    text: str


@dataclasses.dataclass(slots=True, frozen=True)
class Finished:
    """The engine's mark that the answer is whole.

    Parameters
    ----------
    attempt_id : str
        Attempt that it belongs to.
    reason : str
        ``stop`` or ``length``.
    tokens : int
        Tokens of the whole answer (count).
    """

    attempt_id: str
    reason: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class KvExport:
    """KV cache of one request that an engine holds ready to be fetched.

    Parameters
    ----------
    source : str
        Address of the engine that holds it.
    handle : str
        Name of it there.
    model, version : str
        What produced it; only the same can import it.
    tokens : int
        Tokens that it covers, the prompt included (count).
    size : int
        Size (bytes).
    """

    source: str
    handle: str
    model: str
    version: str
    tokens: int
    size: int


class EngineStream(typing.Protocol):
    """Answer of one attempt, as it is generated."""

    async def read(self, timeout):
        """Next events that have arrived; a list of `Token` or `Finished`.

        An empty list says that the connection ended.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The connection broke or nothing came within `timeout` seconds.
        """

    def close(self):
        """Stop reading and free the engine's slot."""


class Engine(typing.Protocol):
    """Model engines, each reached by its address."""

    async def report(self, address, timeout):
        """Load report; an `EngineReport`."""

    async def order(self, address, order, timeout):
        """Give an order; raises `BackendRefused` if it is refused."""

    async def generate(self, address, request, timeout):
        """Start an attempt; an `EngineStream`.

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The engine says that it did not run the request.
        balsamwind.exceptions.TransportError
            `sent` says whether a byte may have left.
        """

    async def export_kv(self, address, request_id, timeout):
        """Ask for the KV cache of a request; a `KvExport`.

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The engine does not hold it.
        """

    async def import_kv(self, address, request_id, export, timeout):
        """Have the engine at `address` fetch a `KvExport` from its source.

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            It does not fit, or the source no longer holds it.
        """
