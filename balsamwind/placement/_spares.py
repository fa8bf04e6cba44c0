"""Weights that free VMs load in advance, to shorten later repairs."""

import dataclasses

from balsamwind import ports


@dataclasses.dataclass(slots=True, frozen=True)
class WeightsId:
    """Identifier of the weights of one version of a model.

    Parameters
    ----------
    model : str
        Name of the model.
    version : str
        Version of the weights.
    """

    model: str
    version: str

    @property
    def label(self):
        """``model@version``, the form in which engines report weights."""
        return f'{self.model}@{self.version}'


@dataclasses.dataclass(slots=True, frozen=True)
class Preload:
    """Weights that a free VM is to load in advance.

    Parameters
    ----------
    listed_vm : balsamwind.ports.ListedVm
        Free VM that loads the weights.
    weights : WeightsId
        Weights to load.
    """

    listed_vm: ports.ListedVm
    weights: WeightsId


def plan_preloads(free, group_counts, max_weights):
    """Choose the weights that the free VMs of a data centre load in advance.

    Each free VM gets the weights for which its fabric domain has the fewest
    free VMs with these weights per group that uses them. The VM stays free
    while it loads: a plan may take it at any moment, and nothing waits for
    the load.

    Parameters
    ----------
    free : FreeVms
        VMs that the repairs and formations of the round have not taken.
    group_counts : dict of str to dict of WeightsId to int
        Fabric domain -> weights -> groups that use them (count). The key
        ``''`` stands for fabric domains without groups.
    max_weights : int
        Largest number of these weights in the cache of one VM (count). A VM
        that has as many already gets no preload.

    Returns
    -------
    list of Preload
        At most one for each VM.
    """
    preloads = []
    for domain, vms in sorted(free.domains.items()):
        domain_counts = group_counts.get(domain) or group_counts.get('', {})
        preloads.extend(_plan_domain(free, vms, domain_counts, max_weights))
    return preloads


def _plan_domain(free, vms, group_counts, max_weights):
    """Plan the preloads of one fabric domain.

    A chosen preload counts as done for the VMs that follow, so that they are
    spread over all weights.
    """
    cached_counts = {
        weights: sum(_has_weights(free, vm, weights) for vm in vms)
        for weights in group_counts
    }
    preloads = []
    for vm in vms:
        missing = [w for w in group_counts if not _has_weights(free, vm, w)]
        if len(group_counts) - len(missing) >= max_weights or not missing:
            continue
        chosen = min(
            missing,
            key=lambda w: (cached_counts[w] / group_counts[w], w.label),
        )
        cached_counts[chosen] += 1
        preloads.append(Preload(vm, chosen))
    return preloads


def _has_weights(free, vm, weights):
    return free.has_weights(vm.name, weights.model, weights.version)
