"""Start, signal handling and shutdown of a long-running process."""

import asyncio
import contextlib
import signal


@contextlib.asynccontextmanager
async def open_process(process):
    """Start a process, and stop it when the block ends.

    Parameters
    ----------
    process : object
        Process with the coroutine methods ``start(stack)`` and ``stop()``.
        ``start`` registers the resources that it opens with the
        `contextlib.AsyncExitStack` that it is given; they are closed after
        ``stop``.

    Yields
    ------
    object
        The started process.
    """
    async with contextlib.AsyncExitStack() as stack:
        await process.start(stack)
        try:
            yield process
        finally:
            await process.stop()


def watch_signals(*signal_numbers):
    """Make an event that is set when the process receives a signal.

    Parameters
    ----------
    *signal_numbers : int
        Numbers of the signals, such as ``signal.SIGTERM``.

    Returns
    -------
    asyncio.Event
        Event that is set when the first of the signals is received.
    """
    received = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in signal_numbers:
        loop.add_signal_handler(signal_number, received.set)
    return received


def make_stop_event():
    """Make an event that is set when the process is asked to terminate.

    Returns
    -------
    asyncio.Event
        Event that is set on SIGTERM or SIGINT.
    """
    return watch_signals(signal.SIGTERM, signal.SIGINT)
