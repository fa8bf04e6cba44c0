"""Updates from other nodes of the data centre, instead of the store.

The first nodes of a data centre watch the store and publish what they read.
The other nodes subscribe to them, so that few nodes load the store.
"""

import asyncio

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind.node import _updates

PUBLISHER_COUNT = 2
"""Nodes of a data centre, first by name, that the other nodes subscribe to
(count). The second of them itself subscribes to the first."""

PUBLISHER_TIMEOUT = 1.3
"""Time without server updates after which a publisher is given up
(seconds)."""

PROOF_REQUEST_INTERVAL = 0.5
"""Time between two requests for the proof of the configuration (seconds)."""

MAX_PROOF_AGE = 2.9
"""Age of a proof up to which this node does not read the store itself
(seconds)."""

RECONNECT_INTERVAL = 1.0
"""Wait before the next publisher is tried, if the last one sent nothing
(seconds)."""


class UpdateSubscriber:
    """Applies a publisher's updates to the registry and the configuration.

    Parameters
    ----------
    name : str
        Name of this node.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    configuration_cache : balsamwind.traffic.ConfigurationCache
        Configuration in force.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    log : structlog logger
        Logger of the node.
    forward : callable
        Forwards a `ServerUpdate` to the subscribers of this node.
    """

    def __init__(
        self, name, registry, configuration_cache, clock, log, forward
    ):
        self._name = name
        self._forward = forward
        self._registry = registry
        self._configuration_cache = configuration_cache
        self._clock = clock
        self._log = log
        self._publishers = ()
        self._last_update_at = float('-inf')
        self._proved_at = float('-inf')
        self._newest_version = 0
        self._request_number = 0
        self._pending_requests = {}

    @property
    def _is_root(self):
        """Whether this node has no publisher, and reads the store itself."""
        return not self._publishers

    def set_nodes(self, nodes):
        """Choose the publishers among the nodes of the own data centre.

        Parameters
        ----------
        nodes : iterable of (str, str)
            Name of each node, and the address where it publishes updates.
        """
        ordered = sorted(nodes)
        names = [name for name, _ in ordered]
        rank = names.index(self._name) if self._name in names else 0
        self._publishers = tuple(
            address for _, address in ordered[: min(rank, PUBLISHER_COUNT)]
        )

    def has_fresh_servers(self):
        """Whether a publisher keeps the registry up to date."""
        now = self._clock.monotonic()
        return (
            not self._is_root
            and now - self._last_update_at < PUBLISHER_TIMEOUT
        )

    def has_fresh_proof(self):
        """Whether a publisher keeps the proof of the configuration fresh."""
        now = self._clock.monotonic()
        return not self._is_root and now - self._proved_at < MAX_PROOF_AGE

    def knows_newer_version(self):
        """Whether a publisher has a newer version of the configuration."""
        return self._newest_version > self._configuration_cache.version

    async def run(self):
        """Subscribe to one publisher after another; never returns."""
        attempt = 0
        while True:
            if self._is_root:
                await asyncio.sleep(RECONNECT_INTERVAL)
                continue
            address = self._publishers[attempt % len(self._publishers)]
            attempt += 1
            previous_update_at = self._last_update_at
            try:
                await self._subscribe(address)
            except exceptions.TransportError as error:
                self._log.info('news_lost', source=address, reason=str(error))
            if self._last_update_at == previous_update_at:
                await asyncio.sleep(RECONNECT_INTERVAL)

    async def _subscribe(self, address):
        async with adapters.open_update_connection(address) as connection:
            self._log.info('news_heard', source=address)
            last_update_at = self._clock.monotonic()
            request_task = asyncio.ensure_future(
                self._request_proofs(connection)
            )
            try:
                while not self._is_root:
                    data = await adapters.receive_frame(
                        connection, PUBLISHER_TIMEOUT
                    )
                    self._handle(_updates.decode_frame(data))
                    last_update_at = max(last_update_at, self._last_update_at)
                    self._check_server_updates(last_update_at)
            finally:
                request_task.cancel()

    def _check_server_updates(self, last_update_at):
        """Check that the publisher sends server updates as well as proofs.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The publisher answers, but does not hear from the store itself.
        """
        if self._clock.monotonic() - last_update_at > PUBLISHER_TIMEOUT:
            raise exceptions.AnswerTimeout(
                'no server updates from the publisher'
            )

    async def _request_proofs(self, connection):
        while True:
            self._request_number += 1
            self._pending_requests = {
                self._request_number: self._clock.monotonic()
            }
            request = _updates.ConfigurationProofRequest(self._request_number)
            await connection.send(_updates.encode_frame(request))
            await asyncio.sleep(PROOF_REQUEST_INTERVAL)

    def _handle(self, message):
        now = self._clock.monotonic()
        match message:
            case _updates.ServerUpdate():
                self._last_update_at = now
                self._apply_servers(message, now)
                self._forward(message)
            case _updates.ConfigurationProof(
                number=number, version=version, age=age
            ):
                sent_at = self._pending_requests.pop(number, None)
                if sent_at is not None:
                    self._accept_proof(version, sent_at - age)

    def _accept_proof(self, version, proved_at):
        """Use a proof, or note that the publisher has a newer version.

        A newer version is read from the store. A publisher that is cut off
        from the store goes on answering, so the time that counts is when it
        heard from the store, not when it answered.
        """
        if version == self._configuration_cache.version:
            self._configuration_cache.record_proof(proved_at)
            self._proved_at = max(self._proved_at, proved_at)
        elif version > self._configuration_cache.version:
            self._proved_at = float('-inf')
            self._newest_version = version

    def _apply_servers(self, message, now):
        if message.whole:
            self._registry.apply_full_list(message.records, now)
            return
        for record in message.records:
            self._registry.apply_entry(record, now)
        for removed in message.removed:
            self._registry.apply_removal(removed, now)


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

    Attributes
    ----------
    server : balsamwind.adapters.UpdateServer
        Connections of the subscribers.
    """

    def __init__(self, registry, configuration_cache, clock, log):
        self._registry = registry
        self._configuration_cache = configuration_cache
        self._clock = clock
        self._last_publish_at = float('-inf')
        self.server = adapters.UpdateServer(
            self._make_first_frame, self._answer_request, log
        )

    def _make_first_frame(self):
        """Make the first frame for a new subscriber.

        Returns
        -------
        bytes or None
            Snapshot of the registry; None while the store does not answer.
        """
        if self._clock.monotonic() - self._last_publish_at > PUBLISHER_TIMEOUT:
            return None
        return _updates.encode_frame(self._make_snapshot())

    def _make_snapshot(self):
        records = tuple(item for item in self._registry if item.listed)
        return _updates.ServerUpdate(whole=True, records=records)

    def publish_snapshot(self):
        """Publish all listed entries, after the whole list was read."""
        self.publish(self._make_snapshot())

    def publish_changes(self, records, removed):
        """Publish changed entries; without any, a sign of life."""
        self.publish(
            _updates.ServerUpdate(False, tuple(records), tuple(removed))
        )

    def publish(self, message):
        """Send one message to all subscribers."""
        self._last_publish_at = self._clock.monotonic()
        if self.server.subscriber_count:
            self.server.broadcast(_updates.encode_frame(message))

    def _answer_request(self, data):
        match _updates.decode_frame(data):
            case _updates.ConfigurationProofRequest(number=number):
                age = self._configuration_cache.get_proof_age(
                    self._clock.monotonic()
                )
                if not self._configuration_cache.version:
                    return None
                proof = _updates.ConfigurationProof(
                    number, self._configuration_cache.version, age
                )
                return _updates.encode_frame(proof)
        return None
