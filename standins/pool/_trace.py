"""Trace of what ran on the stand-in, and of the violated guarantees."""

import dataclasses
import time


@dataclasses.dataclass(slots=True)
class Run:
    """One request that began to run.

    Parameters
    ----------
    request_id : str
        Id of the request.
    service : str
        Name of the service.
    server_id : str
        Id of the server that ran it.
    path : str
        Path of the HTTP request.
    body : str
        Body of the HTTP request, decoded as Latin-1.
    account : str
        Client account that the system named.
    first_event : int
        Number of the first event of the stream that the request asks for.
    began_at : float
        Monotonic time at which it began (seconds).
    ended_at : float or None
        Monotonic time at which it ended (seconds); None while it runs.
    ending : str
        How it ended: ``whole``, ``cut`` or ``caller gone``; empty while it
        runs.
    leaked_key : bool
        Whether the caller's key was forwarded to the server.
    """

    request_id: str
    service: str
    server_id: str
    path: str
    body: str
    account: str
    first_event: int = 1
    began_at: float = 0.0
    ended_at: float | None = None
    ending: str = ''
    leaked_key: bool = False


class Trace:
    """Runs, arrivals and violations, in the order in which they came.

    Attributes
    ----------
    runs : list of Run
        Requests that began to run.
    arrivals : list of tuple
        Monotonic time (seconds), service, request id and server id of each
        request that reached a server.
    violations : list of str
        Code of the violated rule and what was observed.
    ignore_loads : bool
        Whether loads that begin now do not count towards the ceiling.
    """

    def __init__(self):
        self.runs = []
        self.arrivals = []
        self.violations = []
        self._ready = set()
        self._load_times = []
        # Loads that begin while the store has a fault do not count towards
        # the ceiling.
        self.ignore_loads = False

    def record_arrival(self, service, request_id, server_id):
        """Record a request that reached a server, whether it runs or not.

        Parameters
        ----------
        service : str
            Name of the service.
        request_id : str
            Id of the request.
        server_id : str
            Id of the server.
        """
        self.arrivals.append(
            (time.monotonic(), service, request_id, server_id)
        )

    def begin_run(self, run):
        """Record that a request begins to run.

        Parameters
        ----------
        run : Run
            Request; gets the time at which it began.

        Returns
        -------
        Run
            The same object.
        """
        run.began_at = time.monotonic()
        self.runs.append(run)
        return run

    def end_run(self, run, ending):
        """Record how and when a request ended.

        Parameters
        ----------
        run : Run
            Request that ended.
        ending : str
            How it ended, as in `Run.ending`.
        """
        run.ended_at = time.monotonic()
        run.ending = ending

    def add_violation(self, rule, text):
        """Record that a guarantee was violated.

        Parameters
        ----------
        rule : str
            Code of the violated rule.
        text : str
            What was observed.
        """
        self.violations.append(f'{rule}: {text}')

    def record_ready(self, server_id, group_key):
        """Record that an engine has become ready in a group.

        Parameters
        ----------
        server_id : str
            Id of the engine.
        group_key : tuple
            Name and epoch of the group.
        """
        self._ready.add((server_id, group_key))

    def check_group_complete(self, group_key, members, size):
        """Check that a group is complete when work begins in it.

        It must have its configured size, and each member must have been ready.

        Parameters
        ----------
        group_key : tuple
            Name and epoch of the group.
        members : tuple of str
            Ids of its engines.
        size : int
            Members that a group of its model has as configured (count).
        """
        missing = [
            member
            for member in members
            if (member, group_key) not in self._ready
        ]
        if len(members) != size or missing:
            self.add_violation(
                'PARTIAL',
                f'{group_key}: {len(members)} members of {size}, '
                f'never ready: {missing}',
            )

    def record_load(self, times):
        """Record a load from the weight store, and check the ceiling on loads.

        Parameters
        ----------
        times : Times
            Gives the ceiling and its window.
        """
        now = time.monotonic()
        self._load_times = [
            load_time
            for load_time in self._load_times
            if load_time > now - times.ceiling_window
        ]
        if not self.ignore_loads:
            self._load_times.append(now)
        ceiling = (
            times.loads_per_second
            * times.ceiling_window
            * times.ceiling_excess
            + 3
        )
        if len(self._load_times) > ceiling:
            self.add_violation(
                'CEILING',
                f'{len(self._load_times)} loads within the ceiling window',
            )
