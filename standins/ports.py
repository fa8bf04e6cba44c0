"""Free ports of the loopback address."""

import contextlib
import socket


def find_free_ports(count):
    """Find ports of the loopback address that nobody listens on.

    All sockets stay bound until every port is known, so that the ports differ.
    They are closed before the function returns: another process may take a
    port before the caller binds it.

    Parameters
    ----------
    count : int
        Number of ports (count).

    Returns
    -------
    list of int
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(('127.0.0.1', 0))
        return [sock.getsockname()[1] for sock in sockets]


def find_free_port():
    """Find a port of the loopback address that nobody listens on.

    Returns
    -------
    int
    """
    return find_free_ports(1)[0]
