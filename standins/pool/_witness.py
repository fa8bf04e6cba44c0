"""What engines and plain services saw, and which promises they saw broken."""

import dataclasses
import time


@dataclasses.dataclass(slots=True)
class Run:
    """One request that began to run.

    Parameters
    ----------
    request_id, service, server_id, path, body : str
        What ran, and where.
    account : str
        Client account that the system named.
    first_event : int
        Number of the first event of a stream that was asked for.
    began_at, ended_at : float
        Monotonic time (seconds); None while it runs.
    ending : str
        How it ended.
    leaked_key : bool
        Whether the caller's key was passed on.
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


class Witness:
    """Runs, arrivals and violations, in the order in which they came."""

    def __init__(self):
        self.runs = []
        self.arrivals = []
        self.violations = []
        self._ready = set()
        self._loads = []
        # Faults of the store excuse the ceiling on loads.
        self.excuse_loads = False

    def note_arrival(self, service, request_id, server_id):
        """Note a request that reached a server, whether it runs or not."""
        self.arrivals.append(
            (time.monotonic(), service, request_id, server_id)
        )

    def begin(self, run):
        """Note that a request begins to run."""
        run.began_at = time.monotonic()
        self.runs.append(run)
        return run

    def end(self, run, ending):
        """Note how it ended."""
        run.ended_at = time.monotonic()
        run.ending = ending

    def violate(self, rule, text):
        """Note a promise that was broken."""
        self.violations.append(f'{rule}: {text}')

    def note_ready(self, server_id, key):
        """Note that an engine has been ready in a group."""
        self._ready.add((server_id, key))

    def check_whole(self, key, members, size):
        """Check that a group was formed as a whole when work begins in it."""
        missing = [
            member for member in members if (member, key) not in self._ready
        ]
        if len(members) != size or missing:
            self.violate(
                'PARTIAL', f'{key}: {len(members)} of {size}, {missing}'
            )

    def note_load(self, times):
        """Note that a load from the weight store begins."""
        now = time.monotonic()
        self._loads = [
            at for at in self._loads if at > now - times.ceiling_window
        ]
        if not self.excuse_loads:
            self._loads.append(now)
        ceiling = (
            times.loads_per_second
            * times.ceiling_window
            * times.ceiling_excess
            + 3
        )
        if len(self._loads) > ceiling:
            self.violate('CEILING', f'{len(self._loads)} loads in a window')
