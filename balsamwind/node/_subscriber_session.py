"""What a publisher does for one of its subscribers."""

import functools

from balsamwind.node import _frame_codec
from balsamwind.node import _updates
from balsamwind import relay


class SubscriberSession:
    """Answers the frames of one subscriber.

    Parameters
    ----------
    publisher : UpdatePublisher
        Publisher that the subscriber is connected to.
    placement_session : balsamwind.relay.PlacementSession
        Places the requests of the subscriber.
    configuration_cache : balsamwind.traffic.ConfigurationCache
        Configuration in force.
    evidence : EvidenceExchange
        Takes the subscriber's evidence of crashes.
    leaving_servers : LeavingServers
        Takes the subscriber's reports of leaving servers.
    limit_exchange : LimitExchange
        Takes the subscriber's reports of limits of servers.
    unknown_messages : ConnectionRecord
        Counts the messages of the subscriber that this build does not know.
    send : callable
        Sends a frame to the subscriber without waiting.
    """

    __slots__ = (
        '_configuration_cache',
        '_evidence',
        '_features',
        '_leaving_servers',
        '_limit_exchange',
        '_placement_session',
        '_publisher',
        '_send',
        '_unknown_messages',
    )

    def __init__(
        self,
        publisher,
        placement_session,
        configuration_cache,
        evidence,
        leaving_servers,
        limit_exchange,
        unknown_messages,
        send=lambda data: None,
    ):
        self._send = send
        self._publisher = publisher
        self._placement_session = placement_session
        self._configuration_cache = configuration_cache
        self._evidence = evidence
        self._leaving_servers = leaving_servers
        self._limit_exchange = limit_exchange
        self._unknown_messages = unknown_messages
        self._features = frozenset()

    @property
    def features(self):
        """Features that the subscriber has announced (frozenset of str)."""
        return self._features

    def handle(self, data):
        """Handle a frame of the subscriber.

        Parameters
        ----------
        data : bytes
            The frame.

        Returns
        -------
        bytes or None
            Frame to reply with; None for no reply.

        Raises
        ------
        balsamwind.exceptions.TransportError
            The frame is malformed.
        """
        now = self._publisher.clock.monotonic()
        match _updates.decode_frame(data):
            case _updates.ClockRequest() as request:
                self._features = frozenset(request.features)
                self._tell_leaving()
                return self._publisher.answer_clock_request(request)
            case _updates.ListingRequest():
                return self._publisher.answer_listing_request()
            case _updates.PlacementRequest() as request:
                return _updates.encode_frame(self._place(request, now))
            case _updates.PlacementStall(number=number):
                self._placement_session.report_stall(number, now)
            case _updates.PlacementProgress() as progress:
                self._placement_session.report_progress(
                    progress.number,
                    progress.time_to_first_event,
                    progress.load,
                    now,
                )
            case _updates.PlacementEnd(
                number=number, outcome=outcome, load=load
            ):
                self._placement_session.end(number, outcome, load, now)
            case _updates.ServerLeaving(server_id=server_id, born=born):
                self._leaving_servers.report(server_id, born)
            case _updates.ServerLimits() as limits:
                answer = self._limit_exchange.receive(limits)
                return (
                    None if answer is None else _updates.encode_frame(answer)
                )
            case relay.CrashEvidence() as evidence:
                self._evidence.receive(evidence)
            case _updates.EvidenceRequest() as request:
                return _updates.encode_frame(
                    self._evidence.answer_request(request)
                )
            case _frame_codec.UnknownMessage() as message:
                self._unknown_messages.add(message)
        return None

    def _tell_leaving(self):
        """Tell a subscriber what it would learn of with the first frame."""
        if _updates.NOTICES not in self._features:
            return
        notice = self._publisher.make_leaving_notice()
        if notice is not None:
            self._send(notice)

    def _place(self, request, now):
        service = self._configuration_cache.find_service(request.service)
        if service is None:
            return _updates.PlacementReply(request.number)
        tried = {(key.service, key.name, key.number) for key in request.tried}
        placed = self._placement_session.place(
            request.number,
            service,
            request.requirements,
            tried,
            now,
            relay.make_quiet_servers(request.quiet, now),
            request.max_wait,
            request.waited,
            functools.partial(self._send_reply, request.number),
            functools.partial(self._send_waiting, request.number),
        )
        if isinstance(placed, relay.WaitingRequest):
            return _updates.PlacementWaiting(
                request.number, placed.expected_wait
            )
        return self._make_reply(request.number, placed)

    def _send_reply(self, number, placed):
        self._send(_updates.encode_frame(self._make_reply(number, placed)))

    def _make_reply(self, number, placed):
        match placed:
            case relay.Placement(key=key):
                return _updates.PlacementReply(
                    number, key, chosen_at=self._publisher.clock.monotonic()
                )
        return _updates.PlacementReply(
            number, None, placed.reason, placed.retry_after
        )

    def _send_waiting(self, number, expected_wait):
        self._send(
            _updates.encode_frame(
                _updates.PlacementWaiting(number, expected_wait)
            )
        )

    def close(self):
        """End all attempts of the subscriber."""
        self._placement_session.close()
