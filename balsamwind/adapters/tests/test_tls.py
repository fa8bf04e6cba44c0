"""Mutual TLS rejects foreign peers; changed certificates are reloaded."""

import asyncio
import socket
import ssl

import pytest
import structlog
import trustme
import websockets
from websockets.asyncio import client as ws_client

from balsamwind import adapters
from balsamwind import exceptions
from balsamwind import peers
from balsamwind import ports
from balsamwind import settings
from standins import platform
from standins import services


def make_files(folder, authority, name, trusted=None):
    """Write a certificate signed by `authority`, and the authority to trust.

    The authority to trust is `trusted`, by default `authority` itself.
    """
    issued = authority.issue_cert('127.0.0.1')
    base = folder / name
    issued.private_key_and_cert_chain_pem.write_to_path(f'{base}.pem')
    (trusted or authority).cert_pem.write_to_path(f'{base}-ca.pem')
    return settings.CertificateSettings(f'{base}.pem', '', f'{base}-ca.pem')


def find_free_address():
    with socket.socket() as bound_socket:
        bound_socket.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{bound_socket.getsockname()[1]}'


class RecordingReceiver:
    """Receiver that records which peers have connected."""

    def __init__(self):
        self.connected = []
        self.first_connection = asyncio.Event()

    def on_connect(self, hello):
        self.connected.append(hello.node)
        self.first_connection.set()
        return []

    def on_message(self, hello, message):
        pass

    def on_disconnect(self, hello):
        pass


def make_links(name, receiver, files):
    contexts = adapters.make_tls_contexts(settings.TlsSettings(peers=files))
    return adapters.PeerLinks(
        peers.Hello(name, 'd', 'i'),
        receiver,
        structlog.get_logger(),
        contexts.peers_server,
        contexts.peers_client,
    )


async def connect(address, context):
    scheme = 'ws' if context is None else 'wss'
    async with ws_client.connect(
        f'{scheme}://{address}/', ssl=context, proxy=None
    ) as connection:
        return await connection.recv()


def test_peers_with_trusted_certificates_connect(tmp_path):
    authority = trustme.CA()

    async def run():
        address = find_free_address()
        receivers = RecordingReceiver(), RecordingReceiver()
        first = make_links(
            'a', receivers[0], make_files(tmp_path, authority, 'a')
        )
        second = make_links(
            'b', receivers[1], make_files(tmp_path, authority, 'b')
        )
        async with first.listen(find_free_address()), second.listen(address):
            first.connect_to('b', address)
            await asyncio.wait_for(receivers[0].first_connection.wait(), 10)
            await asyncio.wait_for(receivers[1].first_connection.wait(), 10)

    asyncio.run(run())


@pytest.mark.parametrize('kind', ['plain', 'no certificate', 'foreign'])
def test_untrusted_peer_is_rejected(tmp_path, kind):
    authority = trustme.CA()

    async def run():
        address = find_free_address()
        receiver = RecordingReceiver()
        links = make_links('b', receiver, make_files(tmp_path, authority, 'b'))
        context = None
        if kind != 'plain':
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            context.check_hostname = False
            context.load_verify_locations(tmp_path / 'b-ca.pem')
        if kind == 'foreign':
            files = make_files(tmp_path, trustme.CA(), 'x', authority)
            context.load_cert_chain(files.certificate)
        async with links.listen(address):
            with pytest.raises((OSError, websockets.WebSocketException)):
                await connect(address, context)
        assert receiver.connected == []

    asyncio.run(run())


@pytest.mark.parametrize('own_authority', [True, False])
def test_backend_requires_a_client_certificate(tmp_path, own_authority):
    authority = trustme.CA()
    files = make_files(tmp_path, authority, 'backend')
    backend = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    backend.load_cert_chain(files.certificate)
    backend.load_verify_locations(files.authorities)
    backend.verify_mode = ssl.CERT_REQUIRED
    signer = authority if own_authority else trustme.CA()
    entry = make_files(tmp_path, signer, 'entry', authority)
    contexts = adapters.make_tls_contexts(settings.TlsSettings(backends=entry))

    async def run():
        service = services.Service()
        server = services.make_server(service, backend)
        port = platform.listen(server)
        client = adapters.HttpClient(contexts.backends)
        call = ports.ServiceCall('POST', '/payouts', b'{"circle": "v"}')
        plain = adapters.HttpPlainService(client)
        try:
            await plain.call(f'127.0.0.1:{port}', call, 10.0, tls=True)
        except exceptions.TransportError:
            pass
        finally:
            client.close()
            server.stop()
            await server.close_all_connections()
        return len(service.effects)

    assert asyncio.run(run()) == (1 if own_authority else 0)


def test_changed_certificate_is_reloaded(tmp_path):
    authority = trustme.CA()
    files = make_files(tmp_path, authority, 'a')
    contexts = adapters.make_tls_contexts(settings.TlsSettings(callers=files))
    assert contexts.reload() == []
    make_files(tmp_path, authority, 'a')
    assert contexts.reload() == [files.certificate]
    (tmp_path / 'a.pem').write_text('not a certificate', encoding='utf-8')
    assert contexts.reload() == []


def test_missing_certificate_is_an_error(tmp_path):
    files = settings.CertificateSettings(str(tmp_path / 'none.pem'), '', '')
    with pytest.raises(exceptions.BadRequest):
        adapters.make_tls_contexts(settings.TlsSettings(callers=files))


@pytest.mark.parametrize('delay', [0.0, 0.02])
@pytest.mark.parametrize('has_copy', [False, True])
def test_second_copy_over_tls_was_taken_for_the_next_response(
    tmp_path, has_copy, delay
):
    # Each later report was one exchange old, for as long as the connection.
    files = make_files(tmp_path, trustme.CA(), 'a')
    contexts = adapters.make_tls_contexts(settings.TlsSettings(peers=files))
    numbers = iter(range(9))

    async def respond(reader, writer):
        while await reader.read(65536):
            number = next(numbers)
            response = (
                b'HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n%d' % number
            )
            writer.write(response)
            if has_copy:
                await asyncio.sleep(delay)
                writer.write(response)

    async def run():
        server = await asyncio.start_server(
            respond, '127.0.0.1', 0, ssl=contexts.peers_server
        )
        port = server.sockets[0].getsockname()[1]
        client = adapters.HttpClient(contexts.peers_client)
        bodies = []
        for _ in range(3):
            response = await client.fetch(
                'GET', f'https://127.0.0.1:{port}/', timeout=1.0
            )
            bodies.append(response.body)
            await asyncio.sleep(0.05)
        client.close()
        server.close()
        return bodies, client.opened_connections

    connections = 3 if has_copy else 1
    assert asyncio.run(run()) == ([b'0', b'1', b'2'], connections)
