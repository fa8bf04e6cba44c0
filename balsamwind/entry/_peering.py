"""What an entry tells its peers, and what it takes from them."""

from balsamwind import catalogue
from balsamwind import peers

VM_LIST_HELP_AGE = 60.0
"""Age of its VM list at which another data centre is helped (seconds)."""

NEVER_READ = 1e8
"""Age from which on a VM list was never read (seconds)."""


class Peering:
    """Receiver of a node's peer links.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Takes in what peers say.
    observer : balsamwind.entry.Observer
        Knows what the node itself observes.
    store_follower : StoreFollower
        Knows whether the node follows the store.
    vm_follower : VmListFollower
        Keeps the VM list.
    """

    __slots__ = (
        '_book',
        '_entry',
        '_observer',
        '_revision_before',
        '_store_follower',
        '_vm_follower',
    )

    def __init__(self, entry, observer, store_follower, vm_follower):
        self._entry = entry
        self._observer = observer
        self._store_follower = store_follower
        self._vm_follower = vm_follower
        self._revision_before = 0
        self._book = peers.StatusBook(entry.settings.observation.stale_after)
        entry.catalogue.listen(self._on_object)

    def on_connect(self, hello):
        """First messages to a peer."""
        entry = self._entry
        now = entry.clock.monotonic()
        entry.log.info('peer_connected', peer=hello.node)
        peer = entry.registry.hear(hello.node, hello.data_centre, now)
        peer.connected_at = now
        heartbeat = self.make_heartbeat(full=True)
        return [self._observer.make_all_reports(), heartbeat]

    def on_disconnect(self, hello):
        """Note that a peer's link has ended."""
        self._entry.log.info('peer_disconnected', peer=hello.node)
        self._entry.registry.disconnect(hello.node)

    def on_message(self, hello, message):
        """Take in a message of a peer."""
        entry = self._entry
        now = entry.clock.monotonic()
        match message:
            case peers.Heartbeat():
                self._on_heartbeat(hello, message, now)
            case peers.Reports():
                self._on_reports(hello, message, now)
            case peers.ObjectChanges():
                entry.catalogue.apply_from_peer(
                    message.since,
                    message.revision,
                    message.items,
                    now,
                    message.complete,
                )
            case peers.GroupDown(
                group=group, generation=generation, reason=reason
            ):
                entry.groups.mark_down(group, generation, reason, now)
            case peers.VmRows():
                self._vm_follower.take(message, now)

    def _on_reports(self, hello, message, now):
        entry = self._entry
        for status in message.groups:
            self._take_evidence(self._book.take(status, hello.node, now))
        for item in message.items:
            entry.observations.update(
                item.vm, item.reachable, item.report, hello.node, now
            )
        for vm in message.dropped:
            entry.observations.drop(vm, hello.node)
            self._observer.on_dropped(vm)
        if message.items or message.dropped:
            entry.groups.invalidate()

    def _on_object(self, stored):
        """Use a group's status that came before the group's record."""
        if stored.kind == 'group':
            self._take_evidence(
                self._book.set_group(stored.name, stored.value)
            )

    def _take_evidence(self, evidence):
        if evidence is not None:
            for report in evidence.reports:
                self._take_report(report, evidence.observer, evidence.at)

    def _take_report(self, report, observer, at):
        view = self._entry.observations.get(report.vm)
        same = view is not None and view.observer == observer
        if same and view.reachable:
            if view.report is report or view.report == report:
                view.seen_at = max(view.seen_at, at)
                return
        if not same or not view.reachable or _differs(view.report, report):
            self._entry.groups.invalidate()
        self._entry.observations.update(report.vm, True, report, observer, at)

    def _on_heartbeat(self, hello, message, now):
        entry = self._entry
        peer = entry.registry.hear(hello.node, hello.data_centre, now)
        peer.revision = message.revision
        peer.draining = message.draining
        peer.in_flight = message.in_flight
        peer.reads_store = message.reads_store
        peer.epoch = message.epoch
        peer.vm_list_age = message.vm_list_age
        peer.store_diverged = message.store_diverged
        peer.group_in_flight = message.group_in_flight
        entry.limits.hear(
            hello.node, message.usage, message.in_flight, message.draining, now
        )
        entry.observations.hear(hello.node, now, message.report_age)
        self._help_with_objects(peer, now)
        self._help_with_vms(peer, now)
        place = entry.settings.node.data_centre
        if peer.data_centre == place and peer.name == (
            entry.registry.platform_reader(place, now)
        ):
            self._vm_follower.hear_reader(peer, message.vm_list_age, now)

    def _help_with_objects(self, peer, now):
        """Bring a peer up to date whose objects are behind."""
        known = self._entry.catalogue
        older = peer.epoch < known.epoch
        if peer.epoch > known.epoch or not (
            older or peer.revision < self._revision_before
        ):
            peer.behind = 0
            return
        peer.behind += 1
        if self._entry.registry.is_helper(peer, known.revision, now):
            peer.behind = 0
            since = 0 if older else peer.revision
            self._entry.links.send(peer.name, self._make_changes(since))

    def _make_changes(self, since):
        known = self._entry.catalogue
        since = known.start_of_changes(since)
        return peers.ObjectChanges(
            since,
            known.revision,
            known.changes_since(since),
            not known.unreadable,
        )

    def _help_with_vms(self, peer, now):
        """Send the VM list to a peer that can't read it."""
        entry = self._entry
        age = self._vm_follower.age(now)
        if peer.vm_list_age < max(VM_LIST_HELP_AGE, age + peers.VM_LIST_GAIN):
            return
        never = peer.vm_list_age >= NEVER_READ
        reader = entry.registry.platform_reader(peer.data_centre, now)
        if not never and peer.name != reader:
            return
        if entry.registry.is_vm_list_helper(peer, now):
            rows = tuple(entry.groups.listed.values())
            entry.links.send(peer.name, peers.VmRows(rows, (), True, age))

    def beat(self):
        """Send a heartbeat, and what was observed, to all peers."""
        entry = self._entry
        now = entry.clock.monotonic()
        entry.plan_shares()
        entry.links.close_silent()
        reports = self._observer.plan_reports(now)
        heartbeat = self.make_heartbeat()
        told = [heartbeat] if reports is None else [reports, heartbeat]
        changes = self._store_follower.take_changes()
        entry.links.broadcast(
            *told, own_data_centre=[*changes, *told] if changes else None
        )
        revision = entry.catalogue.revision
        self._revision_before = revision
        lowest = entry.registry.lowest_revision(revision, now)
        entry.catalogue.prune(lowest, now)
        self._book.prune(now)

    def make_heartbeat(self, full=False):
        """Heartbeat of this moment."""
        entry = self._entry
        now = entry.clock.monotonic()
        return peers.Heartbeat(
            revision=entry.catalogue.revision,
            report_age=self._observer.report_age(now),
            draining=entry.draining,
            in_flight=entry.limits.in_flight,
            reads_store=self._store_follower.reading,
            epoch=entry.catalogue.epoch,
            vm_list_age=self._vm_follower.age(now),
            store_diverged=(
                entry.catalogue.store_state is catalogue.StoreState.DIVERGED
            ),
            group_in_flight=entry.requests_of_stopped(),
            usage=entry.limits.make_usage(full),
        )


def _differs(first, second):
    """Whether two reports differ in what decides if a group may serve."""
    return first is None or (
        first.state,
        first.group,
        first.generation,
        first.model,
        first.version,
    ) != (
        second.state,
        second.group,
        second.generation,
        second.model,
        second.version,
    )
