"""Sending of one attempt, over the own path or through another node."""

from balsamwind import exceptions
from balsamwind.relay import _carried_attempts
from balsamwind.relay import _direct_path


class NoPeerService:
    """Stands in where no other node carries attempts."""

    __slots__ = ()

    has_peers = False
    carried_attempts = 0

    async def open(self, attempt, before_send):
        """Return None: no node carries the attempt."""
        return None

    async def ask(self, record, wants_report):
        """Return `Reach.UNKNOWN`: there is no node to ask."""
        return _carried_attempts.Reach.UNKNOWN

    async def find_opinions(self, record, wants_report, asked=None):
        """Return no opinions: there is no node to ask."""
        return {}

    async def find_refusals(self, record, count):
        """Return no opinions: there is no node to ask."""
        return []

    def count_witnesses(self):
        """Return 0: there is no node to ask."""
        return 0


class AttemptSender:
    """Sends the attempts of one request.

    An attempt that certainly was not sent is tried over another path, to the
    same backend. So the failure that remains can be blamed on the server, or
    no path is left.

    Parameters
    ----------
    relay : Relay
        Request path of the node.

    Attributes
    ----------
    through_peer : bool
        Whether another node carries the current attempt.
    may_be_sent : bool
        Whether any byte of the current attempt may have been sent.
    """

    __slots__ = ('_relay', 'may_be_sent', 'through_peer')

    def __init__(self, relay):
        self._relay = relay
        self.through_peer = False
        self.may_be_sent = False

    async def open(self, backend, attempt, before_send):
        """Send an attempt, and wait for the head of the answer.

        Parameters
        ----------
        backend : Backend
            Backend that the attempt is sent to.
        attempt : OutgoingAttempt
            The attempt.
        before_send : callable
            Called without arguments each time immediately before the attempt
            is sent. If it raises, nothing is sent.

        Returns
        -------
        balsamwind.adapters.StreamedResponse or PeerResponse

        Raises
        ------
        balsamwind.exceptions.TransportError
            The attempt failed.
        """
        relay = self._relay
        own_error = None
        self.through_peer = False
        self.may_be_sent = False

        def note_send():
            before_send()
            self.may_be_sent = True

        if not self._needs_peer(backend):
            try:
                return await _direct_path.open_directly(
                    relay, backend, attempt, note_send
                )
            except exceptions.SendPrevented:
                raise
            except exceptions.TransportError as error:
                if error.sent or not relay.peers.has_peers:
                    raise
                own_error = error
        self.through_peer = True
        response = await relay.peers.open(attempt, note_send)
        if response is not None:
            self._record_peer_reach(backend, own_error)
            return response
        self.through_peer = False
        self.may_be_sent = False
        if own_error is not None:
            raise own_error
        return await _direct_path.open_directly(
            relay, backend, attempt, note_send
        )

    def _needs_peer(self, backend):
        relay = self._relay
        return relay.peers.has_peers and relay.paths.needs_peer(
            backend.key[0],
            backend.record.server_id,
            relay.clock.monotonic(),
        )

    def _record_peer_reach(self, backend, own_error):
        """Remember that only others reach a server, though the path is open.

        A node may lose its paths to some servers of a service only.
        """
        if own_error is not None:
            self._relay.paths.record_only_peer_reaches(
                backend.key[0],
                backend.record.server_id,
                self._relay.clock.monotonic(),
            )
