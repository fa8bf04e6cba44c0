"""Exchange of heartbeats, observations and objects with other entries."""

from balsamwind import catalogue
from balsamwind import peers

VM_LIST_HELP_AGE = 60.0
"""Age of a peer's VM list from which on another node sends it a younger
one (seconds)."""

UNREAD_VM_LIST_AGE = 1e8
"""Age from which on a VM list counts as never read (seconds)."""


class Peering:
    """Builds the messages to peers and applies the messages of peers.

    It is the receiver of a `balsamwind.adapters.PeerLinks`.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Entry whose state is sent and updated.
    observer : balsamwind.entry._observer.Observer
        Provides the observations that this node made itself.
    store_watcher : balsamwind.entry._platform_sync.StoreWatcher
        Provides the changes that this node read from the store.
    vm_list_poller : balsamwind.entry._platform_sync.VmListPoller
        Keeps the VM list and its age.
    """

    __slots__ = (
        '_entry',
        '_observer',
        '_previous_heartbeat_revision',
        '_status_resolver',
        '_store_watcher',
        '_vm_list_poller',
    )

    def __init__(self, entry, observer, store_watcher, vm_list_poller):
        self._entry = entry
        self._observer = observer
        self._store_watcher = store_watcher
        self._vm_list_poller = vm_list_poller
        self._previous_heartbeat_revision = 0
        self._status_resolver = peers.GroupStatusResolver(
            entry.settings.observation.stale_after
        )
        entry.catalogue.add_listener(self._on_object_change)

    def on_connect(self, hello):
        """Register a connected peer.

        Parameters
        ----------
        hello : balsamwind.peers.Hello
            First message of the peer.

        Returns
        -------
        list
            First messages to the peer: all observations of this node and a
            heartbeat with the usage of all customers.
        """
        entry = self._entry
        now = entry.clock.monotonic()
        entry.log.info('peer_connected', peer=hello.node)
        peer = entry.registry.record_contact(
            hello.node, hello.data_centre, now
        )
        peer.connected_at = now
        heartbeat = self.make_heartbeat(full=True)
        return [self._observer.make_all_reports(), heartbeat]

    def on_disconnect(self, hello):
        """Mark a peer as disconnected.

        Parameters
        ----------
        hello : balsamwind.peers.Hello
            First message of the peer.
        """
        self._entry.log.info('peer_disconnected', peer=hello.node)
        self._entry.registry.disconnect(hello.node)

    def on_message(self, hello, message):
        """Apply a message of a peer.

        Parameters
        ----------
        hello : balsamwind.peers.Hello
            First message of the peer.
        message : object
            One of the other message classes of `balsamwind.peers`.
        """
        entry = self._entry
        now = entry.clock.monotonic()
        match message:
            case peers.Heartbeat():
                self._handle_heartbeat(hello, message, now)
            case peers.ObservationChanges():
                self._handle_reports(hello, message, now)
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
            case peers.VmListUpdate():
                self._vm_list_poller.apply_vm_rows(message, now)

    def _handle_reports(self, hello, message, now):
        entry = self._entry
        for status in message.groups:
            self._apply_evidence(
                self._status_resolver.resolve(status, hello.node, now)
            )
        for item in message.items:
            entry.observations.update(
                item.vm, item.reachable, item.report, hello.node, now
            )
        for vm in message.dropped:
            entry.observations.withdraw_view(vm, hello.node)
            self._observer.on_dropped(vm)
        if message.items or message.dropped:
            entry.groups.invalidate()

    def _on_object_change(self, stored):
        """Apply a group's status that arrived before the group's record."""
        if stored.kind == 'group':
            self._apply_evidence(
                self._status_resolver.update_group(stored.name, stored.value)
            )

    def _apply_evidence(self, evidence):
        if evidence is not None:
            for report in evidence.reports:
                self._apply_report(
                    report, evidence.observer, evidence.received_at
                )

    def _apply_report(self, report, observer, at):
        """Apply one member's report that a group status stands for.

        A report equal to the last one of the same observer only renews the
        view. The groups are checked again only if the report may change
        which of them serve.
        """
        view = self._entry.observations.get(report.vm)
        same_observer = view is not None and view.observer == observer
        if same_observer and view.reachable:
            if view.report is report or view.report == report:
                view.seen_at = max(view.seen_at, at)
                return
        if (
            not same_observer
            or not view.reachable
            or _affects_serving(view.report, report)
        ):
            self._entry.groups.invalidate()
        self._entry.observations.update(report.vm, True, report, observer, at)

    def _handle_heartbeat(self, hello, message, now):
        entry = self._entry
        peer = entry.registry.record_contact(
            hello.node, hello.data_centre, now
        )
        peer.revision = message.revision
        peer.draining = message.draining
        peer.in_flight = message.in_flight
        peer.reads_store = message.reads_store
        peer.epoch = message.epoch
        peer.vm_list_age = message.vm_list_age
        peer.store_diverged = message.store_diverged
        peer.group_in_flight = message.group_in_flight
        entry.limits.handle_heartbeat(
            hello.node, message.usage, message.in_flight, message.draining, now
        )
        entry.observations.record_heartbeat(
            hello.node, now, message.report_age
        )
        self._send_missing_objects(peer, now)
        self._send_vm_list(peer, now)
        data_centre = entry.settings.node.data_centre
        if peer.data_centre == data_centre and peer.name == (
            entry.registry.choose_platform_reader(data_centre, now)
        ):
            self._vm_list_poller.confirm_age(peer, message.vm_list_age, now)

    def _send_missing_objects(self, peer, now):
        """Send a peer the object versions that it lacks.

        A peer is behind if its epoch is older, or if its revision is below
        the one that this node had at its previous heartbeat. Of the nodes
        that are ahead, one is chosen to send; any of them sends if the peer
        stays behind for several heartbeats.
        """
        own_catalogue = self._entry.catalogue
        has_older_epoch = peer.epoch < own_catalogue.epoch
        if peer.epoch > own_catalogue.epoch or not (
            has_older_epoch
            or peer.revision < self._previous_heartbeat_revision
        ):
            peer.heartbeats_behind = 0
            return
        peer.heartbeats_behind += 1
        if self._entry.registry.should_send_changes(
            peer, own_catalogue.revision, now
        ):
            peer.heartbeats_behind = 0
            since = 0 if has_older_epoch else peer.revision
            self._entry.links.send(peer.name, self._make_changes(since))

    def _make_changes(self, since):
        own_catalogue = self._entry.catalogue
        since = own_catalogue.find_sync_start(since)
        return peers.ObjectChanges(
            since,
            own_catalogue.revision,
            own_catalogue.changes_since(since),
            not own_catalogue.unreadable,
        )

    def _send_vm_list(self, peer, now):
        """Send the VM list to a peer that fails to read it.

        The list goes to peers that have none yet and, in each data centre,
        to the platform reader, which sends the changes to its other nodes.
        """
        entry = self._entry
        age = self._vm_list_poller.age(now)
        if peer.vm_list_age < max(
            VM_LIST_HELP_AGE, age + peers.VM_LIST_MIN_AGE_GAIN
        ):
            return
        is_unread = peer.vm_list_age >= UNREAD_VM_LIST_AGE
        reader = entry.registry.choose_platform_reader(peer.data_centre, now)
        if not is_unread and peer.name != reader:
            return
        if entry.registry.should_send_vm_list(peer, now):
            rows = tuple(entry.groups.listed_vms.values())
            entry.links.send(
                peer.name, peers.VmListUpdate(rows, (), True, age)
            )

    def send_heartbeat(self):
        """Send a heartbeat and due observations to all peers.

        Peers of this data centre also get the changes of the store that
        were not sent yet. Old tombstones that all live nodes have applied, and
        group statuses whose record did not arrive, are discarded.
        """
        entry = self._entry
        now = entry.clock.monotonic()
        entry.update_limit_shares()
        entry.links.abort_silent_links()
        reports = self._observer.plan_reports(now)
        heartbeat = self.make_heartbeat()
        messages = [heartbeat] if reports is None else [reports, heartbeat]
        changes = self._store_watcher.pop_unsent_changes()
        entry.links.broadcast(
            *messages,
            own_data_centre_messages=[*changes, *messages]
            if changes
            else None,
        )
        revision = entry.catalogue.revision
        self._previous_heartbeat_revision = revision
        lowest = entry.registry.lowest_revision(revision, now)
        entry.catalogue.prune(lowest, now)
        self._status_resolver.discard_expired(now)

    def make_heartbeat(self, full=False):
        """Build a heartbeat from the current state.

        Parameters
        ----------
        full : bool
            Whether to include the usage of all customers instead of the
            changed ones.

        Returns
        -------
        balsamwind.peers.Heartbeat
        """
        entry = self._entry
        now = entry.clock.monotonic()
        return peers.Heartbeat(
            revision=entry.catalogue.revision,
            report_age=self._observer.report_age(now),
            draining=entry.draining,
            in_flight=entry.limits.in_flight_by_customer,
            reads_store=self._store_watcher.is_watching,
            epoch=entry.catalogue.epoch,
            vm_list_age=self._vm_list_poller.age(now),
            store_diverged=(
                entry.catalogue.store_state is catalogue.StoreState.DIVERGED
            ),
            group_in_flight=entry.count_nonserving_group_requests(),
            usage=entry.limits.collect_usage_updates(full),
        )


def _affects_serving(first, second):
    """Whether two reports differ in a field that decides if groups serve."""
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
