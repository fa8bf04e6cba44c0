"""What an entry tells its peers, and what it takes from them."""

from balsamwind import peers


class Peering:
    """Receiver of a node's peer links.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Takes in what peers say.
    observer : balsamwind.entry.Observer
        Knows how old the node's own observations are.
    """

    __slots__ = ('_entry', '_observer', '_revision_before')

    def __init__(self, entry, observer):
        self._entry = entry
        self._observer = observer
        self._revision_before = 0

    def on_connect(self, hello):
        """First messages to a peer: all that this node knows."""
        entry = self._entry
        entry.log.info('peer_connected', peer=hello.node)
        entry.registry.hear(
            hello.node, hello.data_centre, entry.clock.monotonic()
        )
        node = entry.settings.node.name
        views = tuple(
            peers.Observation(view.vm, view.reachable, view.report)
            for view in entry.observations.views_of(node)
        )
        return [
            self._make_changes(0),
            peers.VmRows(tuple(entry.groups.listed.values())),
            peers.Reports(views),
            self.make_heartbeat(full=True),
        ]

    def on_disconnect(self, hello):
        """Note that a peer's link has ended."""
        self._entry.log.info('peer_disconnected', peer=hello.node)
        self._entry.registry.forget(hello.node)

    def on_message(self, hello, message):
        """Take in a message of a peer."""
        entry = self._entry
        now = entry.clock.monotonic()
        match message:
            case peers.Heartbeat():
                self._on_heartbeat(hello, message, now)
            case peers.Reports(items=items, dropped=dropped):
                for item in items:
                    entry.observations.update(
                        item.vm, item.reachable, item.report, hello.node, now
                    )
                for vm in dropped:
                    entry.observations.drop(vm, hello.node)
                entry.groups.invalidate()
            case peers.ObjectChanges(
                since=since, revision=revision, items=items
            ):
                entry.catalogue.apply_from_peer(since, revision, items, now)
            case peers.GroupDown(
                group=group, generation=generation, reason=reason
            ):
                entry.groups.mark_down(group, generation, reason, now)
            case peers.VmRows(rows=rows):
                for row in rows:
                    entry.groups.listed.setdefault(row.name, row)
                entry.groups.invalidate()

    def _on_heartbeat(self, hello, message, now):
        entry = self._entry
        state = entry.registry.hear(hello.node, hello.data_centre, now)
        state.revision = message.revision
        state.draining = message.draining
        state.in_flight = message.in_flight
        entry.limits.hear(
            hello.node, message.usage, message.in_flight, message.draining, now
        )
        entry.observations.hear(hello.node, now, message.report_age)
        if message.revision < self._revision_before:
            entry.links.send(hello.node, self._make_changes(message.revision))

    def beat(self):
        """Send a heartbeat to all peers."""
        self._entry.plan_shares()
        self._entry.links.broadcast(self.make_heartbeat())
        self._revision_before = self._entry.catalogue.revision

    def make_heartbeat(self, full=False):
        """Heartbeat of this moment."""
        entry = self._entry
        return peers.Heartbeat(
            revision=entry.catalogue.revision,
            report_age=self._observer.report_age(entry.clock.monotonic()),
            draining=entry.draining,
            in_flight=entry.limits.in_flight,
            usage=entry.limits.make_usage(full),
        )

    def _make_changes(self, since):
        catalogue = self._entry.catalogue
        return peers.ObjectChanges(
            since, catalogue.revision, catalogue.changes_since(since)
        )
