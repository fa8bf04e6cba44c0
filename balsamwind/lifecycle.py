"""Life of a long-running process: open, run until a signal, drain."""

import asyncio
import contextlib
import signal


@contextlib.asynccontextmanager
async def open_process(process):
    """Run the parts of a process until the block ends.

    Parameters
    ----------
    process : object
        Has ``start(stack)`` and ``stop()``, both coroutines.

    Yields
    ------
    object
        The process.
    """
    async with contextlib.AsyncExitStack() as stack:
        await process.start(stack)
        try:
            yield process
        finally:
            await process.stop()


def watch_signals(*numbers):
    """Event that is set when one of the signals comes.

    Returns
    -------
    asyncio.Event
    """
    came = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in numbers:
        loop.add_signal_handler(number, came.set)
    return came


def watch_stop():
    """Event that is set when the process is asked to end.

    Returns
    -------
    asyncio.Event
    """
    return watch_signals(signal.SIGTERM, signal.SIGINT)
