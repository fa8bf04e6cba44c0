"""Updates from other nodes of the data centre, instead of the store.

The first nodes of a data centre watch the store and publish what they read.
The other nodes subscribe to them, so that few nodes load the store.
"""

import asyncio
import dataclasses

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node import _frame_codec
from balsamwind.node import _ranking
from balsamwind.node import _server_watcher
from balsamwind.node import _update_publisher
from balsamwind.node import _updates
from balsamwind import pool
from balsamwind import relay

PUBLISHER_COUNT = 2
"""Nodes of a data centre, first by rank, that read the store without waiting
for a successor of a lost publisher (count). The second of them itself
subscribes to the first."""

CLOCK_REQUEST_INTERVAL = 5.0
"""Time between two comparisons of the clocks of subscriber and publisher
(seconds)."""

RECONNECT_INTERVAL = 1.0
"""Wait before the publishers are tried again, if none sent anything
(seconds)."""

NEXT_PUBLISHER_INTERVAL = 0.05
"""Wait before the next publisher is tried, if the last one sent nothing
(seconds)."""

DISCOVERY_TIME = 2.0
"""Time after the start in which a node waits for the list of nodes before it
reads the store itself (seconds)."""

SUBSCRIPTION_TIME = 1.5
"""Time after the list of nodes is known in which a node waits for a publisher
before it reads the store itself (seconds)."""

RESTART_GRACE = 0.25
"""Time in which a node that starts again waits for the list of nodes, and then
for a publisher, before it reads the store itself (seconds). After a loss of
power all nodes start together, and the store's link would carry the whole
configuration once for each of them."""

PROPAGATION_TIME = 0.2
"""Time in which a proof reaches the subscribers of its reader (seconds)."""

READ_TIME = 0.7
"""Time in which a node that has lost its publishers reads the entries and
applies them (seconds)."""

LISTING_REQUEST_INTERVAL = 8.0
"""Least time between two requests for the whole list (seconds)."""

MAX_SUCCESSION_TIME = 1.5
"""Longest time that a node leaves to the second publisher before it reads the
entries itself (seconds)."""


def find_succession_time(drain_time):
    """Find how long subscribers wait for a successor of a silent publisher.

    A draining backend server must be known before its drain time is over.

    Parameters
    ----------
    drain_time : float
        Drain time of backend servers (seconds).

    Returns
    -------
    float
        Time (seconds); 0 if the drain time leaves none.
    """
    spare_time = drain_time - _update_publisher.PUBLISHER_TIMEOUT - READ_TIME
    return min(max(spare_time, 0.0), MAX_SUCCESSION_TIME)


class UpdateSubscriber:
    """Applies a publisher's updates to the registry and the configuration.

    Parameters
    ----------
    name : str
        Name of this node.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    updater : ConfigurationUpdater
        Puts the publisher's versions and proofs in force.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    forward : callable
        Forwards a `ServerUpdate` to the subscribers of this node.
    max_proof_age : float
        Age of a proof up to which this node does not read the store itself
        (seconds).
    drain_time : float
        Drain time of backend servers (seconds).
    link : PublisherLink
        Holds the connection to the publisher.
    placement : PlacementClient
        Asks the publisher to place requests.
    waits_at_start : bool
        Whether to wait long for a publisher at the start, because no caller
        waits for this node yet and all others start as well. Otherwise the
        wait is short.
    contact : EntryContact
        Notices the end of an outage.

    Attributes
    ----------
    max_proof_age, drain_time : float
        As given; replaced when the settings are read again.
    forward_notice : callable
        Forwards a `ServerUpdate` that is no sign of life of the store.
    evidence : EvidenceExchange
        Exchanges evidence of crashes with the publisher.
    limit_exchange : LimitExchange
        Exchanges limits of backend servers with the publisher.
    leaving_servers : LeavingServers
        Tells the publisher of servers that say that they are leaving.
    evacuations : EvacuationWatcher or None
        Takes the publisher's notices of evacuated data centres.
    unknown_messages : UnknownMessages
        Counts the messages that this build does not know.
    """

    def __init__(
        self,
        name,
        registry,
        updater,
        clock,
        log,
        forward,
        max_proof_age,
        drain_time,
        link,
        placement,
        waits_at_start,
        contact,
    ):
        self._contact = contact
        self._name = name
        self._forward = forward
        self._registry = registry
        self._updater = updater
        self._clock = clock
        self._log = log
        self.max_proof_age = max_proof_age
        self.drain_time = drain_time
        self._link = link
        self._placement = placement
        self.forward_notice = lambda message: None
        self.evidence = None
        self.limit_exchange = None
        self.leaving_servers = None
        self.evacuations = None
        self.unknown_messages = None
        self._unknown_from_publisher = None
        self._rank = 0
        self._nodes_known = False
        self._waits_at_start = waits_at_start
        self._grace_until = clock.monotonic() + (
            DISCOVERY_TIME if waits_at_start else RESTART_GRACE
        )
        self._publishers = ()
        self._last_update_at = float('-inf')
        self._last_heard_at = float('-inf')
        self._is_missing_update = False
        self._is_complete = False
        self._source = ''
        self._proved_at = float('-inf')
        self._newest_version = 0
        self._request_number = 0
        self._pending_requests = {}
        self._clock_offset = None
        self._next_request_at = float('-inf')

    @property
    def _is_root(self):
        """Whether this node has no publisher, and reads the store itself."""
        return not self._publishers

    @property
    def has_publishers(self):
        """Whether there are nodes that this node may subscribe to."""
        return not self._is_root

    @property
    def reads_store_first(self):
        """Whether this node reads the store without waiting for others."""
        return self._rank < PUBLISHER_COUNT

    def set_nodes(self, ranked):
        """Choose the publishers among the nodes of the own data centre.

        They are all nodes of a lower rank. Nodes of a high rank turn to
        another subscriber only if the first publishers can't be reached.

        Parameters
        ----------
        ranked : list of RegisteredNode
            Nodes by rank, see `rank_nodes`.
        """
        self._rank = _ranking.find_rank(ranked, self._name) or 0
        self._publishers = tuple(node.address for node in ranked[: self._rank])
        if not self._nodes_known:
            self._nodes_known = True
            self._grace_until = self._clock.monotonic() + (
                SUBSCRIPTION_TIME if self._waits_at_start else RESTART_GRACE
            )

    def is_starting(self):
        """Whether to wait for a first publisher instead of the store."""
        if self._nodes_known and self._is_first_reader:
            return False
        return self._clock.monotonic() < self._grace_until

    @property
    def _is_first_reader(self):
        """Whether this node reads the store while the others wait for it.

        After a restart the second publisher does not wait for the first one,
        which may be slower to come back.
        """
        if self._waits_at_start:
            return self._is_root
        return self.reads_store_first

    def has_fresh_servers(self):
        """Whether a publisher keeps the registry up to date."""
        timeout = _update_publisher.PUBLISHER_TIMEOUT
        if not self.reads_store_first:
            timeout += find_succession_time(self.drain_time)
        now = self._clock.monotonic()
        return not self._is_root and now - self._last_update_at < timeout

    def has_fresh_proof(self):
        """Whether a publisher keeps the proof of the configuration fresh.

        The second publisher reads the store sooner than its subscribers, so
        that they hear from it in time if the first one is silent.
        """
        max_age = self.max_proof_age
        if self.reads_store_first:
            max_age = max_age * 2 / 3 + PROPAGATION_TIME
        now = self._clock.monotonic()
        return not self._is_root and now - self._proved_at < max_age

    def knows_newer_version(self):
        """Whether a publisher has a newer version of the configuration."""
        return self._newest_version > self._updater.version

    async def run(self):
        """Subscribe to one publisher after another; never returns."""
        while True:
            if self._nodes_known and not await self._search_publisher():
                await asyncio.sleep(RECONNECT_INTERVAL)
            await asyncio.sleep(NEXT_PUBLISHER_INTERVAL)

    async def _search_publisher(self):
        """Subscribe to the first publisher that sends updates, by rank.

        Nodes that can't be reached are passed over. While the store is down,
        no node sends updates, so only a few are waited for.

        Returns
        -------
        bool
            Whether there were updates, until the publisher was lost.
        """
        silent_count = 0
        for rank, address in enumerate(self._publishers):
            previous_update_at = self._last_update_at
            try:
                await self._subscribe(address)
            except exceptions.AnswerTimeout as error:
                self._log.info('news_lost', source=address, reason=str(error))
                silent_count += 1
            except exceptions.TransportError as error:
                self._log.info('news_lost', source=address, reason=str(error))
            # The successor of the first publisher is the next one; that of
            # another may be the first, which is searched for anew.
            if self._last_update_at != previous_update_at and rank > 0:
                return True
            if silent_count >= PUBLISHER_COUNT:
                return False
            await asyncio.sleep(NEXT_PUBLISHER_INTERVAL)
        return False

    async def _subscribe(self, address):
        async with adapters.open_update_connection(address) as connection:
            self._log.info('news_heard', source=address)
            self._clock_offset = None
            self._is_missing_update = False
            self._is_complete = False
            self._source = address
            self._unknown_from_publisher = (
                self.unknown_messages.open_connection('subscriber', address)
            )
            self._link.attach(connection)
            self._placement.reset()
            self.evidence.start()
            self.limit_exchange.start()
            self.leaving_servers.start()
            last_update_at = self._clock.monotonic()
            request_task = asyncio.ensure_future(
                self._request_clock(connection)
            )
            try:
                while address in self._publishers:
                    data = await adapters.receive_frame(
                        connection, _update_publisher.PUBLISHER_TIMEOUT
                    )
                    self._handle(_updates.decode_frame(data))
                    last_update_at = max(last_update_at, self._last_heard_at)
                    self._check_server_updates(last_update_at)
            finally:
                self._link.detach(connection)
                self._placement.handle_loss()
                request_task.cancel()

    def _check_server_updates(self, last_update_at):
        """Check that the publisher sends server updates as well as proofs.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The publisher answers, but does not hear from the store itself.
        """
        if (
            self._clock.monotonic() - last_update_at
            > _update_publisher.PUBLISHER_TIMEOUT
        ):
            raise exceptions.AnswerTimeout(
                'no server updates from the publisher'
            )

    async def _request_clock(self, connection):
        while True:
            self._request_number += 1
            self._pending_requests = {
                self._request_number: self._clock.monotonic()
            }
            request = _updates.ClockRequest(
                self._request_number,
                self._updater.version,
                _updates.FEATURES,
            )
            await connection.send(_updates.encode_frame(request))
            await asyncio.sleep(CLOCK_REQUEST_INTERVAL)

    def _handle(self, message):
        match message:
            case _updates.ServerUpdate():
                self._accept_servers(message)
            case _updates.ClockReading():
                self._link.set_features(message.features)
                self._compare_clocks(message)
                update = message.update or _updates.unpack(message.packed)
                if update is not None:
                    self._accept_change(update)
                # A packed update has the proof of when it was packed.
                if message.proof is not None:
                    self._accept_proof(message.proof)
            case _updates.ConfigurationProof():
                self._accept_proof(message)
            case _updates.ConfigurationUpdate():
                self._accept_change(message)
            case _updates.PlacementReply():
                self._placement.handle_reply(message)
            case _updates.PlacementWaiting():
                self._placement.handle_waiting(message)
            case relay.CrashEvidence():
                self.evidence.receive_from_publisher(message)
            case _updates.ServerLimits():
                self.limit_exchange.receive(message)
            case _frame_codec.UnknownMessage():
                self._ignore(message)

    def _ignore(self, message):
        """Ignore a message of a newer build.

        After a server update that can't be read, the entries are incomplete
        until the next whole list.
        """
        self._unknown_from_publisher.add(message)
        if message.tag == _updates.SERVER_UPDATE_TAG:
            self._is_missing_update = True
            self._is_complete = False

    def _accept_servers(self, message):
        """Apply an update, unless this node knows more than its publisher."""
        now = self._clock.monotonic()
        if message.notice and not self._is_complete:
            # The publisher itself may not hear from the store.
            self._receive_evacuations(message.evacuations)
            self._note_leaving(message.records)
            return
        self._last_heard_at = now
        if message.whole:
            self._is_missing_update = False
            self._is_complete = bool(message.revision)
        # An evacuation is in force before its servers are known.
        self._receive_evacuations(message.evacuations)
        if self._is_outdated(message, now):
            self._log_outdated(message)
            self._note_leaving(message.records)
            return
        if self._is_complete and not message.revision:
            # It tells of a server that leaves, or of an evacuation.
            records = self._registry.correct_all(message.records)
            self._apply_servers(message, now, None)
            if records:
                self.forward_notice(
                    dataclasses.replace(message, records=records)
                )
            return
        silence = now - self._last_update_at
        self._contact.record_news(message.grace)
        self._apply_servers(message, now, silence)
        if not self._is_missing_update:
            self._last_update_at = max(self._last_update_at, now - message.age)
            self._check_listing(message, now)
            self._forward(message)

    def _is_outdated(self, message, now):
        """Tell whether this node knows more than its publisher.

        One that missed that the store came back from an older copy holds to
        what it knew before, at the newest revision.
        """
        if message.distrust:
            if self._registry.knows_restored_store(now):
                return True
            if not self._registry.find_distrust_left(now):
                self._registry.start_restore_grace(now + message.distrust)
        return self._registry.is_outdated(message.revision)

    def _check_listing(self, message, now):
        """Ask for the whole list if this node lists other entries.

        A change that was never told shows itself here, whatever the cause.
        """
        listing = self._registry.listing
        if (
            message.digest in (None, listing.digest)
            or not self._is_complete
            or self._registry.find_distrust_left(now)
            or now < self._next_request_at
            or _updates.LISTING not in self._link.features
        ):
            return
        self._next_request_at = now + LISTING_REQUEST_INTERVAL
        self._log.warning(
            'entries_differ',
            source=self._source,
            revision=message.revision,
            listed=len(listing),
        )
        self._link.send(_updates.ListingRequest())

    def _note_leaving(self, records):
        """Take over that servers say that they leave, which no revision shows.

        Parameters
        ----------
        records : tuple of balsamwind.pool.ServerRecord
            Entries of an update that is outdated otherwise.
        """
        leaving = []
        for record in records:
            known = self._registry.get(record.server_id)
            if (
                record.state is pool.ServerState.DRAINING
                and known is not None
                and (known.revision, known.born)
                == (record.revision, record.born)
                and self._registry.mark_leaving(record.server_id, record.born)
            ):
                leaving.append(self._registry.get(record.server_id))
        if leaving:
            self.forward_notice(
                _updates.ServerUpdate(records=tuple(leaving), notice=True)
            )

    def _log_outdated(self, message):
        """Log an update that would undo what is known; signs of life not."""
        if message.records or message.removed:
            self._log.info(
                'entries_outdated',
                source=self._source,
                revision=message.revision,
                known=self._registry.revision,
            )

    def _compare_clocks(self, reading):
        """Find a lower bound of the time between the two clocks.

        The publisher read its clock after the request was sent, so a time of
        the publisher plus the bound is never later than the same moment by
        this clock.
        """
        sent_at = self._pending_requests.pop(reading.number, None)
        if sent_at is None:
            return
        offset = sent_at - reading.time
        if self._clock_offset is None or offset > self._clock_offset:
            self._clock_offset = offset

    def _accept_proof(self, proof):
        """Use a proof, or note that the publisher has a newer version.

        A newer version is read from the store. A publisher that is cut off
        from the store goes on sending, so the time that counts is when it
        heard from the store, not when its message came.
        """
        if proof.version > self._updater.version:
            update = _updates.unpack(proof.packed)
            if update is not None and self._apply_change(update):
                return
            self._proved_at = float('-inf')
            self._newest_version = proof.version
            return
        if proof.version == self._updater.version:
            proved_at = self.convert_time(proof.proved_at)
            if proved_at > self._proved_at:
                self._proved_at = proved_at
                self._updater.confirm_published(proof.revision, proved_at)

    def _accept_change(self, message):
        """Apply a change, or note that there is a newer version."""
        if not self._apply_change(message):
            self._accept_proof(message.proof)

    def _apply_change(self, message):
        """Apply a change to the version in force.

        Returns
        -------
        bool
            Whether it fits that version; nothing is done otherwise. Nor is it
            if a publisher of an older build has left out the regions to which
            routes and accounts are restricted.
        """
        proof = message.proof
        proved_at = self.convert_time(proof.proved_at)
        if (
            not message.change.with_regions
            or message.change.base_version != self._updater.version
            or proved_at == float('-inf')
        ):
            return False
        self._updater.apply(message.change, proof.revision, proved_at)
        self._proved_at = proved_at
        return True

    def convert_time(self, publisher_time):
        """Convert a boot time of the publisher to one of this node.

        Parameters
        ----------
        publisher_time : float
            Boot time of the publisher (seconds).

        Returns
        -------
        float
            Never later than the true time (seconds); infinitely early while
            the clocks have not been compared.
        """
        if self._clock_offset is None:
            return float('-inf')
        return publisher_time + self._clock_offset

    def _receive_evacuations(self, notice):
        if notice is not None and self.evacuations is not None:
            self.evacuations.receive(
                notice, self.convert_time(notice.confirmed_at)
            )

    def _apply_servers(self, message, now, silence):
        records = message.records
        if not message.revision:
            records = self._registry.leave_out_unlisted(records)
        if message.whole:
            _, removed = self._registry.apply_full_list(
                records, now, message.revision or None
            )
        else:
            removed = message.removed
            self._apply_changes(records, removed, now)
            if self._is_complete and message.revision:
                self._registry.revision = message.revision
        _server_watcher.log_removed(
            self._log, removed, message.revision, self._source, silence
        )

    def _apply_changes(self, records, removed, now):
        for record in records:
            self._registry.apply_entry(record, now)
        for item in removed:
            self._registry.apply_removal(item, now)
