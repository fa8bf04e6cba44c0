"""Supervision of the background tasks of a process."""

import asyncio
import contextlib

import prometheus_client

FIRST_RESTART_WAIT = 0.1
"""Wait before a task that has ended is started again (seconds)."""

MAX_RESTART_WAIT = 5.0
"""Longest wait before a task that ends again and again is restarted
(seconds)."""

SOUND_TIME = 30.0
"""Time after which a task that runs counts as sound; its next restart comes
after the first wait again (seconds)."""

MIN_LINE_INTERVAL = 1.0
"""Least time between two log lines about tasks of one name (seconds)."""

MAX_ERROR_LENGTH = 300
"""Characters of an error that are logged (count)."""


class TaskSupervisor:
    """Notices each background task that ends unexpectedly.

    The end is logged with its reason and counted. A task that shall run all
    the time is started again; one that is started for a single purpose is
    not.

    Parameters
    ----------
    log : structlog logger
        Logger of the process.
    metrics_registry : prometheus_client.CollectorRegistry
        Metrics of the process.
    """

    __slots__ = ('_counter', '_left_out', '_log', '_logged_at', '_tasks')

    def __init__(self, log, metrics_registry):
        self._log = log
        self._tasks = []
        self._logged_at = {}
        self._left_out = {}
        self._counter = prometheus_client.Counter(
            'balsamwind_task_failures',
            'Background tasks that have ended unexpectedly.',
            ('task',),
            registry=metrics_registry,
        )

    def keep_running(self, name, run):
        """Run a coroutine function until its task is cancelled.

        Parameters
        ----------
        name : str
            Name of the task, for the log and the metrics.
        run : callable
            Coroutine function without arguments, which never returns. It is
            called again after an error, so that it must begin anew.

        Returns
        -------
        asyncio.Task
        """
        task = asyncio.ensure_future(self._run_again(name, run))
        self._tasks.append(task)
        return task

    async def _run_again(self, name, run):
        loop = asyncio.get_running_loop()
        wait = FIRST_RESTART_WAIT
        while True:
            started_at = loop.time()
            try:
                await run()
                reason = 'returned'
            except Exception as error:
                reason = _describe(error)
            if loop.time() - started_at >= SOUND_TIME:
                wait = FIRST_RESTART_WAIT
            self._report(name, reason, wait)
            await asyncio.sleep(wait)
            wait = min(2 * wait, MAX_RESTART_WAIT)

    @contextlib.contextmanager
    def watch_others(self):
        """Notice errors of all other tasks and callbacks of the event loop.

        That holds for errors that nobody else takes, until the block ends.
        """
        loop = asyncio.get_running_loop()
        previous = loop.get_exception_handler()
        loop.set_exception_handler(self._handle)
        try:
            yield
        finally:
            loop.set_exception_handler(previous)

    def _handle(self, loop, context):
        error = context.get('exception')
        if error is None:
            loop.default_exception_handler(context)
            return
        self._report(_find_name(context), _describe(error), None)

    def _report(self, name, reason, restart_wait):
        """Count the end of a task; log it unless one was just logged."""
        self._counter.labels(name).inc()
        now = asyncio.get_running_loop().time()
        if now - self._logged_at.get(name, float('-inf')) < MIN_LINE_INTERVAL:
            self._left_out[name] = self._left_out.get(name, 0) + 1
            return
        self._logged_at[name] = now
        self._log.error(
            'task_ended',
            task=name,
            error=reason,
            restarts_in=restart_wait,
            lines_left_out=self._left_out.pop(name, 0),
        )

    @property
    def tasks(self):
        """Tasks that are kept running (list of asyncio.Task)."""
        return list(self._tasks)

    async def close(self):
        """Cancel all tasks, and wait for their end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _describe(error):
    """Describe an error, of several the first, and where it was raised."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = ''
    if trace is not None:
        code = trace.tb_frame.f_code
        place = f' in {code.co_qualname}, line {trace.tb_lineno}'
    text = f'{type(error).__name__}: {error}'[:MAX_ERROR_LENGTH]
    return f'{text}{place}'


def _find_name(context):
    """Name the task or the callback of an error; few names exist."""
    task = context.get('task') or context.get('future')
    if isinstance(task, asyncio.Task):
        return task.get_coro().__qualname__
    handle = context.get('handle')
    callback = getattr(handle, '_callback', None)
    return getattr(callback, '__qualname__', 'callback')
