"""TLS contexts built from the settings, reloaded when their files change."""

import os
import ssl

from balsamwind import exceptions


class TlsContexts:
    """TLS contexts of all connections of an entry.

    Parameters
    ----------
    settings : balsamwind.settings.TlsSettings
        Files of the certificates, keys and certificate authorities.

    Attributes
    ----------
    callers : ssl.SSLContext or None
        Context of the server for callers; None where TLS is off, as for all
        contexts.
    peers_server : ssl.SSLContext or None
        Context of the links that peers open.
    peers_client : ssl.SSLContext or None
        Context of the links that this entry opens to peers.
    backends : ssl.SSLContext or None
        Context of the connections to backend servers.
    platform : ssl.SSLContext or None
        Context of the connections to the platform.

    Raises
    ------
    balsamwind.exceptions.BadRequest
        A file can't be read or is malformed.
    """

    __slots__ = (
        '_contexts',
        'backends',
        'callers',
        'peers_client',
        'peers_server',
        'platform',
    )

    def __init__(self, settings):
        self._contexts = []
        self.callers = self._make_context(
            settings.callers, ssl.PROTOCOL_TLS_SERVER
        )
        self.peers_server = self._make_context(
            settings.peers, ssl.PROTOCOL_TLS_SERVER
        )
        self.peers_client = self._make_context(
            settings.peers, ssl.PROTOCOL_TLS_CLIENT
        )
        self.backends = self._make_context(
            settings.backends, ssl.PROTOCOL_TLS_CLIENT
        )
        self.platform = self._make_context(
            settings.platform, ssl.PROTOCOL_TLS_CLIENT
        )

    def reload(self):
        """Reload the files that have changed; new connections use them.

        If a file can't be loaded, the context keeps what it loaded before
        and the next call tries again.

        Returns
        -------
        list of str
            Certificate files that were reloaded.
        """
        reloaded = []
        for index, (context, files, mtimes) in enumerate(self._contexts):
            current_mtimes = _read_mtimes(files)
            if current_mtimes == mtimes or None in current_mtimes:
                continue
            try:
                _load_files(context, files)
            except (OSError, ssl.SSLError):
                continue
            self._contexts[index] = (context, files, current_mtimes)
            reloaded.append(files.certificate)
        return reloaded

    def _make_context(self, files, protocol):
        if files is None:
            return None
        context = ssl.SSLContext(protocol)
        # Peers and backend servers are addressed by IP address, so host
        # names can not be checked; the certificate authority that signed
        # their certificate establishes their identity.
        context.check_hostname = False
        if files.authorities:
            context.verify_mode = ssl.CERT_REQUIRED
        elif protocol is ssl.PROTOCOL_TLS_CLIENT:
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_default_certs()
        try:
            mtimes = _read_mtimes(files)
            _load_files(context, files)
        except (OSError, ssl.SSLError) as error:
            raise exceptions.BadRequest(
                f'TLS files: {files.certificate or files.authorities}: {error}'
            ) from None
        self._contexts.append((context, files, mtimes))
        return context


def make_tls_contexts(settings):
    """Build the TLS contexts of an entry.

    Parameters
    ----------
    settings : balsamwind.settings.TlsSettings
        Files of the certificates, keys and certificate authorities.

    Returns
    -------
    TlsContexts
    """
    return TlsContexts(settings)


def _load_files(context, files):
    if files.certificate:
        context.load_cert_chain(files.certificate, files.key or None)
    if files.authorities:
        context.load_verify_locations(files.authorities)


def _read_mtimes(files):
    paths = (files.certificate, files.key, files.authorities)
    return tuple(_read_mtime(path) for path in paths if path)


def _read_mtime(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None
