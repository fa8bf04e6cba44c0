"""The cost function: group downtime against stranded accelerators."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class Cost:
    """Expected consequences of one way to act.

    Parameters
    ----------
    downtime : float
        Time that groups are out of service (seconds).
    stranded : float
        Accelerators that idle in broken groups or in rests of a fabric
        domain, times the time they do (accelerator-seconds).
    """

    downtime: float
    stranded: float

    def weigh(self, settings):
        """One figure, by the weights of the deployment; smaller is better."""
        return (
            settings.downtime_weight * self.downtime
            + settings.stranded_weight * self.stranded
        )


@dataclasses.dataclass(slots=True, frozen=True)
class LoadModel:
    """How long loads and absences are expected to last.

    Parameters
    ----------
    settings : balsamwind.settings.PlacementSettings
        Expected times.
    queued : int
        Loads that wait for the weight store already (count).
    """

    settings: object
    queued: int = 0

    def load_time(self, missing):
        """Time until a group is loaded (seconds).

        Parameters
        ----------
        missing : int
            Members that have to fetch the weights (count).
        """
        if not missing:
            return self.settings.cached_load_time
        tickets = (self.queued + missing) * self.settings.ticket_interval
        return tickets + self.settings.load_time

    def return_share(self, down_for):
        """Probability that a VM that is down comes back by itself.

        Absences are a mixture: a share of them ends after an exponential
        time, the rest does not end. The longer one lasts, the likelier it
        is of the second kind.
        """
        share = self.settings.return_share
        paused = share * math.exp(-down_for / self.settings.return_time)
        return paused / (paused + 1.0 - share) if paused else 0.0

    def absence(self, down_for):
        """Time until a VM that is down is back or replaced (seconds)."""
        share = self.return_share(down_for)
        settings = self.settings
        return (
            share * settings.return_time
            + (1.0 - share) * settings.replace_time
        )


def rest_of(count, size):
    """VMs beside whole groups of `size` (count)."""
    return count % size


def wait_cost(share, wait, alternative, idle, rest, settings):
    """Cost of waiting for a member for at most `wait` seconds.

    Parameters
    ----------
    share : float
        Probability that the member comes back by itself.
    wait : float
        Longest wait (seconds).
    alternative : Cost or None
        Best other way, taken when the wait was in vain.
    idle : int
        Accelerators of the healthy members (count).
    rest : int
        Accelerators in the rest of the fabric domain (count).
    settings : balsamwind.settings.PlacementSettings
        Expected times.

    Returns
    -------
    Cost
    """
    mean = settings.return_time
    if alternative is None:
        time = share * mean + (1.0 - share) * settings.replace_time
        return Cost(time, time * (idle + rest))
    ended = 1.0 - math.exp(-wait / mean)
    time = share * mean * ended + (1.0 - share) * wait
    vain = 1.0 - share * ended
    return Cost(
        time + vain * alternative.downtime,
        time * (idle + rest) + vain * alternative.stranded,
    )
