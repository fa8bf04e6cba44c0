"""Updates that a node sends to others, so that they need not ask the store."""

import dataclasses

from balsamwind import adapters
from balsamwind.node import _subscriber_session
from balsamwind.node import _updates
from balsamwind import traffic

PUBLISHER_TIMEOUT = 1.3
"""Time without server updates after which a publisher is given up
(seconds)."""

FRESH_TIME = 1.0
"""Time without server updates up to which subscribers rely on this node;
shorter than theirs, so that they never rely on it longer (seconds)."""

MAX_CHANGE_BYTES = 256 * 1024
"""Largest change of the configuration that is published, after compression if
it needs any; subscribers read a larger one from the store (bytes)."""


@dataclasses.dataclass(slots=True, frozen=True)
class _WholeVersion:
    """A whole version, as subscribers without any get it.

    Parameters
    ----------
    version : int
        The version.
    change : balsamwind.traffic.ConfigurationChange or None
        Change that contains it; None if that is too large for a frame, or
        can't be expressed.
    packed : bytes
        Its packed update in that case, see `_pack`.
    """

    version: int
    change: traffic.ConfigurationChange | None
    packed: bytes


class UpdatePublisher:
    """Publishes what this node has read from the store.

    Parameters
    ----------
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    configuration_cache : balsamwind.traffic.ConfigurationCache
        Configuration in force.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    open_placement_session : callable
        Takes no arguments and returns the
        `balsamwind.relay.PlacementSession` of a subscriber.

    Attributes
    ----------
    clock : balsamwind.ports.Clock
        As given.
    server : balsamwind.adapters.UpdateServer
        Connections of the subscribers.
    evidence : EvidenceExchange or None
        Takes the subscribers' evidence of crashes.
    leaving_servers : LeavingServers or None
        Takes the subscribers' reports of leaving servers.
    limit_exchange : LimitExchange or None
        Takes the subscribers' reports of limits of servers.
    evacuations : EvacuationWatcher or None
        Makes the notice of evacuated data centres for each server update.
    unknown_messages : UnknownMessages or None
        Counts the messages that this build does not know.
    """

    def __init__(
        self, registry, configuration_cache, clock, log, open_placement_session
    ):
        self._registry = registry
        self._configuration_cache = configuration_cache
        self.clock = self._clock = clock
        self._log = log
        self._open_placement_session = open_placement_session
        self.evidence = None
        self.leaving_servers = None
        self.limit_exchange = None
        self.evacuations = None
        self.unknown_messages = None
        self._last_proof = None
        self._whole = _WholeVersion(0, None, b'')
        self._last_publish_at = float('-inf')
        self._owes_whole = False
        self.server = adapters.UpdateServer(
            self._make_first_frame, self.open_session, log
        )

    @property
    def relying_subscriber_count(self):
        """Subscribers that rely on the updates of this node (count)."""
        if self._age > FRESH_TIME:
            return 0
        return self.server.subscriber_count

    @property
    def last_publish_at(self):
        """When this node last learned of entries (seconds, boot clock)."""
        return self._last_publish_at

    @property
    def _age(self):
        """Time since this node last learned of entries (seconds)."""
        return self._clock.monotonic() - self._last_publish_at

    @property
    def _hears_store(self):
        return self._age <= PUBLISHER_TIMEOUT

    def _make_first_frame(self):
        """Make the first frame for a new subscriber.

        Returns
        -------
        bytes or None
            Snapshot of the registry; None while the store does not answer,
            and all subscribers get one with its next answer.
        """
        if not self._hears_store:
            self._owes_whole = True
            return None
        return _updates.encode_frame(self._make_snapshot())

    def make_leaving_notice(self):
        """Make the notice of leaving servers for a new subscriber.

        Returns
        -------
        bytes or None
            Frame to send; None if there are none, or if the subscriber has
            been told by the first frame.
        """
        if self._hears_store:
            return None
        records = self._registry.list_leaving()
        if not records:
            return None
        return _updates.encode_frame(
            _updates.ServerUpdate(records=records, notice=True)
        )

    def answer_listing_request(self):
        """Make the answer to a `ListingRequest`.

        Returns
        -------
        bytes
            Frame to send: snapshot of the listing.
        """
        return _updates.encode_frame(self._make_snapshot())

    def _make_snapshot(self):
        return self._make_server_update(
            whole=True,
            records=self._registry.correct_all(self._registry.listing),
        )

    def _make_server_update(self, **content):
        """Make an update that says as of when its content holds."""
        now = self._clock.monotonic()
        return _updates.ServerUpdate(
            evacuations=self._make_evacuation_notice(),
            revision=self._registry.revision,
            grace=self._registry.find_grace_left(now),
            age=self._age,
            distrust=self._registry.find_distrust_left(now),
            **content,
        )

    def _make_evacuation_notice(self):
        """Make the notice of this node, in its own boot time."""
        if self.evacuations is None:
            return None
        return self.evacuations.make_notice()

    def publish_news(self, states_revision=True, age=0.0):
        """Publish what has changed in the listing; else a sign of life.

        Parameters
        ----------
        states_revision : bool
            Whether this node knows all changes up to its revision. It does
            not while it hears from a node that states none.
        age : float
            Time since the store has said this (seconds).
        """
        self._last_publish_at = max(
            self._last_publish_at, self._clock.monotonic() - age
        )
        listing = self._registry.listing
        if self.server.subscriber_count:
            update = self._make_update(states_revision)
            self.server.broadcast(_updates.encode_frame(update))
            self._log_told(update)
        # An error leaves the news to the next publication.
        listing.clear_news()
        self._owes_whole = False

    def forward(self, update):
        """Publish what this node has learned from an update.

        Parameters
        ----------
        update : ServerUpdate
            Update that its registry has taken over.
        """
        self.publish_news(bool(update.revision), update.age)

    def _make_update(self, states_revision):
        listing = self._registry.listing
        if self._owes_whole:
            update = self._make_snapshot()
        else:
            update = self._make_server_update(
                records=self._registry.correct_all(listing.changed),
                removed=listing.removed,
                digest=listing.digest,
            )
        if states_revision:
            return update
        return dataclasses.replace(update, revision=0, digest=None)

    def _log_told(self, update):
        """Log that servers have left, as the subscribers were told."""
        if update.removed or update.whole:
            self._log.info(
                'entries_told',
                whole=update.whole,
                listed=len(self._registry.listing),
                removed=len(update.removed),
                revision=update.revision,
                subscribers=self.server.subscriber_count,
            )

    def publish_leaving(self, record):
        """Publish that a server says that it leaves; no sign of life."""
        self.broadcast(_updates.ServerUpdate(records=(record,), notice=True))

    def publish_configuration(
        self, previous, configuration, revision, proved_at
    ):
        """Publish a version that is now in force here.

        Subscribers without the previous version, and those of a change that
        is too large for a frame, learn of the version and read the store.

        Parameters
        ----------
        previous : balsamwind.traffic.Configuration or None
            Version in force before; None if there was none.
        configuration : balsamwind.traffic.Configuration
            Version in force.
        revision : int
            Store revision at which it was the newest.
        proved_at : float
            When the read of the store was sent that showed this (seconds,
            boot clock).
        """
        self._last_proof = _updates.ConfigurationProof(
            configuration.version, revision, proved_at
        )
        if not self.server.subscriber_count:
            return
        frame = self._encode_change(
            traffic.plan_change(
                previous or traffic.NO_CONFIGURATION, configuration
            )
        )
        if frame is None or len(frame) > MAX_CHANGE_BYTES:
            proof = dataclasses.replace(self._last_proof, packed=_pack(frame))
            frame = _updates.encode_frame(proof)
        self.server.broadcast(frame)

    def _encode_change(self, change):
        """Encode a change to the version in force; None if there is none."""
        if change is None:
            return None
        return _updates.encode_frame(
            _updates.ConfigurationUpdate(change, self._last_proof)
        )

    def publish_proof(self, revision, proved_at):
        """Publish a proof that the version in force is the newest.

        Parameters
        ----------
        revision, proved_at
            As for `publish_configuration`.
        """
        self._last_proof = _updates.ConfigurationProof(
            self._configuration_cache.version, revision, proved_at
        )
        if self.server.subscriber_count:
            self.server.broadcast(_updates.encode_frame(self._last_proof))

    def broadcast(self, message):
        """Send a message that is no sign of life of the store.

        Parameters
        ----------
        message : object
            Message of :mod:`balsamwind.node._updates`.
        """
        if self.server.subscriber_count:
            self.server.broadcast(_updates.encode_frame(message))

    def open_session(self, send):
        """Open the session of a new subscriber.

        Parameters
        ----------
        send : callable
            Sends a frame to the subscriber without waiting.

        Returns
        -------
        SubscriberSession
        """
        return _subscriber_session.SubscriberSession(
            self,
            self._open_placement_session(),
            self._configuration_cache,
            self.evidence,
            self.leaving_servers,
            self.limit_exchange,
            self.unknown_messages.open_connection('publisher'),
            send,
        )

    def answer_clock_request(self, request):
        """Make the answer to a `ClockRequest`.

        Parameters
        ----------
        request : ClockRequest
            Request of a subscriber.

        Returns
        -------
        bytes
            Frame to send.
        """
        reading = _updates.ClockReading(
            request.number,
            self._clock.monotonic(),
            self._last_proof,
            features=_updates.FEATURES,
        )
        if request.version == 0 and self._last_proof is not None:
            return self._add_first_configuration(reading)
        return _updates.encode_frame(reading)

    def _add_first_configuration(self, reading):
        """Encode a reading for a subscriber that has no configuration yet.

        Many subscribers ask for a version at once after a loss of power, so
        it is prepared once.
        """
        version = reading.proof.version
        if self._whole.version != version:
            self._whole = self._make_whole(version)
        if self._whole.change is None:
            reading = dataclasses.replace(reading, packed=self._whole.packed)
        else:
            update = _updates.ConfigurationUpdate(
                self._whole.change, reading.proof
            )
            reading = dataclasses.replace(reading, update=update)
        return _updates.encode_frame(reading)

    def _make_whole(self, version):
        change = traffic.plan_change(
            traffic.NO_CONFIGURATION, self._configuration_cache.configuration
        )
        frame = self._encode_change(change)
        if frame is None or len(frame) > MAX_CHANGE_BYTES:
            return _WholeVersion(version, None, _pack(frame))
        return _WholeVersion(version, change, b'')


def _pack(frame):
    """Compress the frame of a change; empty if there is none or no room."""
    packed = b'' if frame is None else _updates.pack(frame)
    return packed if len(packed) <= MAX_CHANGE_BYTES else b''
