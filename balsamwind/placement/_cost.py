"""Cost function: group downtime against stranded accelerators."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class Cost:
    """Expected cost of one repair.

    Parameters
    ----------
    downtime : float
        Time for which groups do not serve (seconds).
    stranded : float
        Idle time of the accelerators of broken groups, and of those left
        over in a fabric domain because they are too few for a whole group
        (accelerator-seconds).
    """

    downtime: float
    stranded: float

    def weighted_sum(self, settings):
        """Combine both parts into one number; smaller is better.

        Parameters
        ----------
        settings : balsamwind.settings.PlacementSettings
            Weights of the two parts.

        Returns
        -------
        float
        """
        return (
            settings.downtime_weight * self.downtime
            + settings.stranded_weight * self.stranded
        )


@dataclasses.dataclass(slots=True, frozen=True)
class DurationEstimator:
    """Estimator of load times and of the time for which lost VMs are absent.

    Parameters
    ----------
    settings : balsamwind.settings.PlacementSettings
        Expected times and the share of lost VMs that come back.
    queued_loads : int
        Loads that already wait for a ticket of the weight store (count).
    """

    settings: object
    queued_loads: int = 0

    def expected_load_time(self, missing_count):
        """Estimate the time until all members of a group are loaded.

        Parameters
        ----------
        missing_count : int
            Members that have to fetch the weights (count).

        Returns
        -------
        float
            Seconds. The weight store issues one ticket per
            `ticket_interval`, so the loads queue behind those that wait
            already.
        """
        if not missing_count:
            return self.settings.cached_load_time
        ticket_wait = (
            self.queued_loads + missing_count
        ) * self.settings.ticket_interval
        return ticket_wait + self.settings.load_time

    def return_probability(self, down_for):
        """Estimate the probability that a down VM comes back by itself.

        Absences are modelled as a mixture: a share `return_share` of them
        ends after an exponentially distributed time, the others never end.
        The longer an absence has lasted, the more likely it is one of the
        others.

        Parameters
        ----------
        down_for : float
            Time for which the VM has been down (seconds).

        Returns
        -------
        float
        """
        share = self.settings.return_share
        still_absent = share * math.exp(-down_for / self.settings.return_time)
        return (
            still_absent / (still_absent + 1.0 - share)
            if still_absent
            else 0.0
        )

    def expected_absence(self, down_for):
        """Estimate the time until a down VM is back or replaced.

        Parameters
        ----------
        down_for : float
            Time for which the VM has been down (seconds).

        Returns
        -------
        float
            Seconds.
        """
        probability = self.return_probability(down_for)
        settings = self.settings
        return (
            probability * settings.return_time
            + (1.0 - probability) * settings.replace_time
        )


def count_leftover(vm_count, group_size):
    """Count the VMs that remain after all whole groups are formed.

    Parameters
    ----------
    vm_count : int
        VMs of a fabric domain (count).
    group_size : int
        VMs of one group (count).

    Returns
    -------
    int
    """
    return vm_count % group_size


def estimate_wait_cost(
    return_probability, max_wait, fallback, idle, leftover, settings
):
    """Estimate the cost of waiting for a lost member to come back.

    Parameters
    ----------
    return_probability : float
        Probability that the member comes back by itself.
    max_wait : float
        Longest wait (seconds).
    fallback : Cost or None
        Cost of the best other repair, which follows if the member is not
        back after `max_wait`. None if there is no other repair: the wait
        then lasts until the member is back or replaced.
    idle : int
        Accelerators of the healthy members (count).
    leftover : int
        Accelerators left over in the fabric domain (count).
    settings : balsamwind.settings.PlacementSettings
        Expected times.

    Returns
    -------
    Cost
    """
    mean = settings.return_time
    if fallback is None:
        expected_wait = (
            return_probability * mean
            + (1.0 - return_probability) * settings.replace_time
        )
        return Cost(expected_wait, expected_wait * (idle + leftover))
    ended = 1.0 - math.exp(-max_wait / mean)
    expected_wait = (
        return_probability * mean * ended
        + (1.0 - return_probability) * max_wait
    )
    fallback_probability = 1.0 - return_probability * ended
    return Cost(
        expected_wait + fallback_probability * fallback.downtime,
        expected_wait * (idle + leftover)
        + fallback_probability * fallback.stranded,
    )
