"""Two nodes, one of which carries the attempts of the other."""

import contextlib
import types

from balsamwind import adapters
from balsamwind.node import _attempt_client
from balsamwind.node import _attempt_frames
from balsamwind.node import _attempt_server
from balsamwind.node.tests import doubles
from balsamwind import relay
from balsamwind.relay import _attempt_carrier
from balsamwind.relay import _peer_service
from balsamwind.relay.tests import forwarding
from balsamwind import traffic
from standins import ports


class _OpenPaths(relay.PathTable):
    """Paths that no failed attempt puts in doubt."""

    def is_open(self, service):
        return True


class _PeerPaths(_OpenPaths):
    """Paths that lead through another node."""

    def needs_peer(self, service, server_id, now):
        return True


class _Selector:
    """Chooses the only other node, once an attempt."""

    has_peers = True

    def __init__(self, address):
        self._peer = types.SimpleNamespace(address=address)

    def choose(self, service, tried, now, data_centres):
        return None if self._peer.address in tried else self._peer

    def __getattr__(self, name):
        return lambda *arguments: None


@contextlib.asynccontextmanager
async def open_relay(addresses, through_peer):
    """Make the request path of a node to some servers.

    Parameters
    ----------
    addresses : iterable of str
        Addresses of the servers, ``host:port``.
    through_peer : bool
        Whether another node carries its attempts.

    Yields
    ------
    FakeRelay
        That of the other node, if any, is its ``carrying_relay``.
    """
    async with contextlib.AsyncExitStack() as stack:
        own = _make_relay(stack, addresses, _PeerPaths())
        if not through_peer:
            own.paths = _OpenPaths()
            yield own
            return
        other = _make_relay(stack, addresses, _OpenPaths())
        carrier = _attempt_carrier.AttemptCarrier(other, 1.0)
        address = await stack.enter_async_context(_listen(carrier))
        client = _attempt_client.AttemptClient(doubles.make_unknown_messages())
        stack.callback(client.close)
        own.peers = _peer_service.PeerService(
            _Selector(address), client, own.clock
        )
        own.carrying_relay = other
        yield own


def _make_relay(stack, addresses, paths):
    client = adapters.HttpClient()
    stack.callback(client.close)
    made = forwarding.FakeRelay(addresses, client, forwarding.Clock())
    made.paths = paths
    made.configuration = types.SimpleNamespace(
        find_service=lambda name: traffic.Service(name)
    )
    return made


@contextlib.asynccontextmanager
async def _listen(carrier):
    """Serve the connections of other nodes; yield the address."""
    server = _attempt_server.AttemptServer(
        carrier, None, doubles.make_unknown_messages(), doubles.Log()
    )
    server.set_nodes([types.SimpleNamespace(address='127.0.0.1:1')])
    listener = adapters.UpdateServer(None, None, doubles.Log())
    listener.handlers[_attempt_frames.PATH] = server.handle
    address = f'127.0.0.1:{ports.find_free_port()}'
    async with listener.listen(address):
        yield address
