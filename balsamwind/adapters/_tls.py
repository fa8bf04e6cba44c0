"""TLS contexts made from settings, and re-read when files change."""

import os
import ssl

from balsamwind import exceptions


class TlsContexts:
    """Contexts of all kinds of links; None where TLS is off.

    Parameters
    ----------
    settings : balsamwind.settings.TlsSettings
        Certificates, keys and authorities.
    """

    __slots__ = (
        '_loaded',
        'backends',
        'callers',
        'peers_client',
        'peers_server',
        'platform',
    )

    def __init__(self, settings):
        self._loaded = []
        self.callers = self._make(settings.callers, ssl.PROTOCOL_TLS_SERVER)
        self.peers_server = self._make(settings.peers, ssl.PROTOCOL_TLS_SERVER)
        self.peers_client = self._make(settings.peers, ssl.PROTOCOL_TLS_CLIENT)
        self.backends = self._make(settings.backends, ssl.PROTOCOL_TLS_CLIENT)
        self.platform = self._make(settings.platform, ssl.PROTOCOL_TLS_CLIENT)

    def reload(self):
        """Load changed files again; new connections use them.

        A file that can't be read is left for the next time; what was
        loaded before stays in use.

        Returns
        -------
        list of str
            Certificate files that were loaded again.
        """
        reloaded = []
        for index, (context, files, seen) in enumerate(self._loaded):
            now = _modified(files)
            if now == seen or None in now:
                continue
            try:
                _load(context, files)
            except (OSError, ssl.SSLError):
                continue
            self._loaded[index] = (context, files, now)
            reloaded.append(files.certificate)
        return reloaded

    def _make(self, files, protocol):
        if files is None:
            return None
        context = ssl.SSLContext(protocol)
        # Peers and backend servers are reached by IP number; who they are
        # is told by the authority that signed their certificate.
        context.check_hostname = False
        if files.authorities:
            context.verify_mode = ssl.CERT_REQUIRED
        elif protocol is ssl.PROTOCOL_TLS_CLIENT:
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_default_certs()
        try:
            seen = _modified(files)
            _load(context, files)
        except (OSError, ssl.SSLError) as error:
            raise exceptions.BadRequest(
                f'tls: {files.certificate or files.authorities}: {error}'
            ) from None
        self._loaded.append((context, files, seen))
        return context


def make_tls_contexts(settings):
    """Build the contexts that the settings ask for."""
    return TlsContexts(settings)


def _load(context, files):
    if files.certificate:
        context.load_cert_chain(files.certificate, files.key or None)
    if files.authorities:
        context.load_verify_locations(files.authorities)


def _modified(files):
    paths = (files.certificate, files.key, files.authorities)
    return tuple(_modified_at(path) for path in paths if path)


def _modified_at(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return None
