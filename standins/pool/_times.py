"""Durations and rates of the stand-in's engines."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Times:
    """Durations of the engines, and the ceiling on loads of weights.

    Parameters
    ----------
    quick_join : float
        Time to join a group with the model of the last group (seconds).
    warm : float
        Time to join a group with a staged model (seconds).
    load : float
        Time to load weights from the weight store, for a join or for staging
        (seconds).
    form : float
        Time that a head takes to open its group (seconds).
    stall : float
        Time for which a group may lack a member before it is broken (seconds).
    heartbeat : float
        Time between two heartbeats; an entry is removed after three intervals
        without one. With 0 no heartbeats are sent and entries stay (seconds).
    drain : float
        Time for which a leaving server goes on serving (seconds).
    loads_per_second : float
        Ceiling on the rate of loads from the weight store (loads per second).
    ceiling_window : float
        Window over which the loads are counted (seconds).
    ceiling_excess : float
        Factor by which the number of loads may exceed the ceiling.
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
