"""Port to the model engines."""

import dataclasses
import enum
import typing


class EngineState(enum.Enum):
    """State that an engine reports."""

    EMPTY = 'empty'
    LOADING = 'loading'
    READY = 'ready'
    BROKEN = 'broken'
    DRAINING = 'draining'


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvent:
    """Change of the prefix cache of an engine.

    The hashes of prompt blocks are those of
    :func:`balsamwind.routing.hash_blocks`.

    Parameters
    ----------
    sequence : int
        Sequence number of the event; starts at 1 and has no gaps.
    stored : tuple of int
        Hashes of the prompt blocks that were added to the cache.
    removed : tuple of int
        Hashes of the prompt blocks that were removed from the cache.
    """

    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """Load report of one engine.

    The report lags behind the state of the engine.

    Parameters
    ----------
    vm : str
        Name of the VM.
    state : EngineState
        State of the engine.
    group : str
        Name of the replica group of the last order; empty if there was none.
    generation : int
        Generation of that group.
    model : str
        Model that is loaded or being loaded.
    version : str
        Version of the weights of that model.
    running : int
        Requests in the batch (count).
    waiting : int
        Requests that wait to join the batch (count).
    fencing : int
        Largest fencing number among the orders that the engine accepted.
    cached : tuple of str
        Weights in the local cache of the VM, each as ``model@version``.
    slots : int
        Largest number of requests in the batch (count); 0 if not reported.
    prefill_rate : float
        Rate of prefill (prompt tokens/s); 0 if not reported.
    cache_events : tuple of CacheEvent
        Most recent events of the prefix cache, in order. Older events are no
        longer available.
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
    """Order to an engine to load or unload a model.

    Parameters
    ----------
    kind : str
        ``load`` or ``unload``.
    group : str
        Name of the replica group of the engine.
    generation : int
        Generation of the group.
    fencing : int
        Fencing number of the lease under which the order is sent.
    model : str
        Model to load.
    version : str
        Version of the weights to load.
    role : str
        Role of the engine, such as ``serve``.
    adapters : tuple of str
        Adapters to load in addition to the model.
    members : tuple of str
        Addresses of all members of the group, in rank order.
    rank : int
        Rank of the engine: its index in `members`.
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
class GenerateRequest:
    """Request to an engine for one attempt to generate a response.

    Parameters
    ----------
    request_id : str
        Id of the request of the caller.
    attempt_id : str
        Id of this attempt.
    group : str
        Replica group that the engine must belong to.
    generation : int
        Generation that the group must have.
    model : str
        Requested model or adapter.
    prompt : str
        Text to continue.
    max_tokens : int
        Largest length of the response (tokens), including `resume`.
    priority : int
        Priority from 0 to 9; requests with a larger one are scheduled first.
    resume : tuple of str
        Tokens of the response that the caller has already received.
    timeout : float
        Time left until the deadline of the request (seconds).
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
    """One token of a response.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt that generated the token.
    index : int
        Position in the response, starting at 0.
    text : str
        Text of the token.
    """

    attempt_id: str
    index: int
    text: str


@dataclasses.dataclass(slots=True, frozen=True)
class FinishEvent:
    """Event by which the engine marks a response as complete.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt that generated the response.
    reason : str
        Why the generation ended: ``stop`` or ``length``.
    tokens : int
        Length of the complete response (tokens).
    """

    attempt_id: str
    reason: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class KvExport:
    """Exported KV cache of one request, which another engine can fetch.

    Parameters
    ----------
    source : str
        ``host:port`` of the engine that holds the export.
    handle : str
        Name of the export at that engine.
    model : str
        Model that produced the KV cache. Only an engine with the same model
        and version can import it.
    version : str
        Version of the weights that produced the KV cache.
    tokens : int
        Tokens that the KV cache covers, including the prompt (count).
    size : int
        Size of the KV cache (bytes).
    """

    source: str
    handle: str
    model: str
    version: str
    tokens: int
    size: int


class EngineStream(typing.Protocol):
    """Response stream of one attempt."""

    async def read(self, timeout):
        """Wait for events and return those that have arrived.

        Parameters
        ----------
        timeout : float
            Longest wait for the next event (seconds).

        Returns
        -------
        list of Token or FinishEvent
            Events in the order of arrival; empty if the connection ended.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The connection failed, or no event arrived within `timeout`.
        """

    def close(self):
        """Cancel the attempt, which frees its slot in the batch."""


class Engine(typing.Protocol):
    """Client of the model engines."""

    async def report(self, address, timeout):
        """Request the load report of an engine.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        timeout : float
            Time-out of the call (seconds).

        Returns
        -------
        EngineReport
        """

    async def order(self, address, order, timeout):
        """Send an order to an engine.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        order : Order
            Order to send.
        timeout : float
            Time-out of the call (seconds).

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The engine refused the order.
        """

    async def generate(self, address, request, timeout):
        """Start an attempt to generate a response.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        request : GenerateRequest
            Request to send.
        timeout : float
            Time-out until the response stream starts (seconds).

        Returns
        -------
        EngineStream

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The engine reports that it did not run the request.
        balsamwind.exceptions.TransportError
            The connection failed. The attribute `sent` states whether any
            byte of the request may have been sent.
        """

    async def export_kv(self, address, request_id, timeout):
        """Export the KV cache of a request.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine.
        request_id : str
            Id of the request.
        timeout : float
            Time-out of the call (seconds).

        Returns
        -------
        KvExport

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The engine does not hold the KV cache.
        """

    async def import_kv(self, address, request_id, export, timeout):
        """Make an engine fetch an exported KV cache from its source.

        Parameters
        ----------
        address : str
            ``host:port`` of the engine that imports the KV cache.
        request_id : str
            Id of the request.
        export : KvExport
            Exported KV cache.
        timeout : float
            Time-out of the call (seconds).

        Raises
        ------
        balsamwind.exceptions.BackendRefused
            The KV cache does not fit, or its source no longer holds it.
        """
