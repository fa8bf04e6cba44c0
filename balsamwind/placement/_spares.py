"""Weights that free VMs load ahead, so that a later repair is short."""

import dataclasses

from balsamwind import ports


@dataclasses.dataclass(slots=True, frozen=True)
class Weights:
    """One set of weights.

    Parameters
    ----------
    model, version : str
        Which weights.
    """

    model: str
    version: str

    @property
    def label(self):
        """As an engine reports it."""
        return f'{self.model}@{self.version}'


@dataclasses.dataclass(slots=True, frozen=True)
class Preload:
    """Let a free VM load weights ahead.

    Parameters
    ----------
    row : balsamwind.ports.ListedVm
        The VM.
    weights : Weights
        What to load.
    """

    row: ports.ListedVm
    weights: Weights


def plan_preloads(free, wanted, most):
    """Choose what the free VMs of a data centre load ahead.

    Every free VM gets the weights of which its fabric domain has fewest
    free holders for each group that uses them. A VM stays free meanwhile:
    it may be taken at any moment, and nothing waits for the load.

    Parameters
    ----------
    free : FreeVms
        VMs that the round has left free.
    wanted : dict of str to dict of Weights to int
        Fabric domain -> weights -> groups that use them (count); the key
        ``''`` stands for domains without groups.
    most : int
        Sets of weights that one VM loads ahead (count).

    Returns
    -------
    list of Preload
        At most one for each VM.
    """
    preloads = []
    for domain, rows in sorted(free.domains.items()):
        groups = wanted.get(domain) or wanted.get('', {})
        preloads.extend(_plan_domain(free, rows, groups, most))
    return preloads


def _plan_domain(free, rows, groups, most):
    holders = {
        weights: sum(_holds(free, row, weights) for row in rows)
        for weights in groups
    }
    preloads = []
    for row in rows:
        lacking = [w for w in groups if not _holds(free, row, w)]
        if len(groups) - len(lacking) >= most or not lacking:
            continue
        chosen = min(lacking, key=lambda w: (holders[w] / groups[w], w.label))
        holders[chosen] += 1
        preloads.append(Preload(row, chosen))
    return preloads


def _holds(free, row, weights):
    return free.holds(row.name, weights.model, weights.version)
