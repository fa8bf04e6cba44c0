"""How long the stand-in's engines take."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Times:
    """Durations, and figures of the service.

    Parameters
    ----------
    quick_join, warm, load, form : float
        Joins with the last group's model, with a staged one, with a load;
        opening of a group (seconds).
    stall : float
        How long a group stands still before it is broken (seconds).
    heartbeat : float
        Time between two heartbeats; three without one remove an entry. Zero
        for entries that stay (seconds).
    drain : float
        How long a leaving server goes on serving (seconds).
    loads_per_second, ceiling_window, ceiling_excess : float
        Ceiling on loads from the weight store.
    """

    quick_join: float = 0.0
    warm: float = 0.0
    load: float = 0.0
    form: float = 0.0
    stall: float = 4.0
    heartbeat: float = 0.0
    drain: float = 2.0
    loads_per_second: float = 5.0
    ceiling_window: float = 5.0
    ceiling_excess: float = 1.1
