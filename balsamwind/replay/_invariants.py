"""What must hold at every moment of a replay."""

from balsamwind import objects

SLACK = 1.0
"""Time beyond the settings' own until a loss must be known (seconds)."""

HOLDING = (
    objects.GroupState.LOADING,
    objects.GroupState.READY,
    objects.GroupState.DRAINING,
)
"""States in which a group has the use of all its VMs."""


class Invariants:
    """Checks every write and, at every tick, who serves and who leads.

    Parameters
    ----------
    world : World
        What is checked.
    """

    __slots__ = ('_fencing', '_generations', '_world', 'broken')

    def __init__(self, world):
        self._world = world
        self._fencing = {}
        self._generations = {}
        self.broken = []

    def _add(self, text):
        if text not in self.broken:
            self.broken.append(text)

    def on_write(self, stored):
        """Check one write."""
        match stored.value:
            case objects.Lease(shard=shard, fencing=fencing):
                if fencing < self._fencing.get(shard, 0):
                    self._add(f'fencing of {shard} fell to {fencing}')
                self._fencing[shard] = fencing
            case objects.Group(name=name, generation=generation):
                if generation < self._generations.get(name, 0):
                    self._add(f'generation of {name} fell to {generation}')
                self._generations[name] = generation
                self._check_members()

    def _check_members(self):
        users = {}
        for group in self._world.groups():
            if group.state not in HOLDING:
                continue
            for vm in group.vms:
                other = users.setdefault(vm, group.name)
                if other != group.name:
                    self._add(f'{vm} is in {other} and in {group.name}')
                claim = self._world.platform.get('claim', vm)
                if claim is None or claim.value.group != group.name:
                    self._add(f'{group.name} uses {vm} without its claim')

    def on_tick(self):
        """Check who serves and who leads."""
        world = self._world
        now = world.clock.monotonic()
        for node in world.running():
            self._check_serving(node, now)
        for lease in world.platform.items(('lease',)):
            holders = world.holders(lease.name)
            if len(holders) > 1:
                self._add(f'{lease.name} is held by {", ".join(holders)}')

    def _check_serving(self, node, now):
        settings = node.settings.observation
        bound = (
            SLACK
            + settings.stale_after
            + settings.failures_to_down
            * (settings.interval + settings.timeout)
        )
        for group in self._world.groups():
            if group not in node.groups.serving(
                group.contract, group.model, now
            ):
                continue
            for vm in group.vms:
                since = self._world.engine(vm).dead_since
                if since is not None and now - since > bound:
                    self._add(f'{node.name} serves {group.name} without {vm}')
