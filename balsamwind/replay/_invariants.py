"""Safety invariants that a replay of the control path checks."""

from balsamwind import objects

DETECTION_SLACK = 1.0
"""Allowance on top of the failure detection time of the settings (seconds)."""

VM_HOLDING_STATES = (
    objects.GroupState.LOADING,
    objects.GroupState.READY,
    objects.GroupState.DRAINING,
)
"""Group states in which the group has exclusive use of its VMs."""


class InvariantChecker:
    """Checks the safety invariants and records violations.

    Each write to the store is checked for fencing numbers and generations
    that decrease, and for VMs that two groups use or that a group uses
    without a claim. At every tick, each node is checked for groups that it
    regards as serving although a member was lost, and each lease for more
    than one holder.

    Parameters
    ----------
    cluster : SimulatedCluster
        Simulation to check.

    Attributes
    ----------
    violations : list of str
        One text for each violation that was found, without duplicates.
    """

    __slots__ = ('_cluster', '_fencing_numbers', '_generations', 'violations')

    def __init__(self, cluster):
        self._cluster = cluster
        self._fencing_numbers = {}
        self._generations = {}
        self.violations = []

    def _add_violation(self, text):
        if text not in self.violations:
            self.violations.append(text)

    def check_write(self, stored):
        """Check a write to the store.

        Parameters
        ----------
        stored : balsamwind.objects.ObjectVersion
            Version that was written.
        """
        match stored.value:
            case objects.Lease(shard=shard, fencing=fencing):
                if fencing < self._fencing_numbers.get(shard, 0):
                    self._add_violation(
                        f'fencing number of {shard} decreased to {fencing}'
                    )
                self._fencing_numbers[shard] = fencing
            case objects.Group(name=name, generation=generation):
                if generation < self._generations.get(name, 0):
                    self._add_violation(
                        f'generation of {name} decreased to {generation}'
                    )
                self._generations[name] = generation
                self._check_vm_use()

    def _check_vm_use(self):
        vm_groups = {}
        for group in self._cluster.list_groups():
            if group.state not in VM_HOLDING_STATES:
                continue
            for vm in group.vms:
                other_group = vm_groups.setdefault(vm, group.name)
                if other_group != group.name:
                    self._add_violation(
                        f'VM {vm} is used by {other_group} and by {group.name}'
                    )
                claim = self._cluster.platform.get('claim', vm)
                if claim is None or claim.value.group != group.name:
                    self._add_violation(
                        f'{group.name} uses VM {vm} without its claim'
                    )

    def check_nodes(self):
        """Check the groups that nodes regard as serving, and the leases."""
        cluster = self._cluster
        now = cluster.clock.monotonic()
        for node in cluster.running_nodes():
            self._check_serving(node, now)
        for lease in cluster.platform.items(('lease',)):
            holders = cluster.find_lease_holders(lease.name)
            if len(holders) > 1:
                self._add_violation(
                    f'lease {lease.name} is held by {", ".join(holders)}'
                )

    def _check_serving(self, node, now):
        observation_settings = node.settings.observation
        detection_time = (
            DETECTION_SLACK
            + observation_settings.stale_after
            + observation_settings.failures_to_down
            * (observation_settings.interval + observation_settings.timeout)
        )
        for group in self._cluster.list_groups():
            if group not in node.groups.find_serving_groups(
                group.contract, group.model, now
            ):
                continue
            for vm in group.vms:
                unavailable_since = self._cluster.find_engine(
                    vm
                ).unavailable_since
                if (
                    unavailable_since is not None
                    and now - unavailable_since > detection_time
                ):
                    self._add_violation(
                        f'{node.name} serves {group.name} without VM {vm}'
                    )
