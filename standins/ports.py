"""Free ports of the loopback address."""

import socket

_HELD_SOCKETS = []
"""Sockets that hold the ports that were handed out, until the process ends."""


def find_free_ports(count):
    """Find ports of the loopback address that nobody listens on.

    The ports stay bound by sockets that do not listen, so that the kernel
    gives them to no connection or other test. A server that sets
    ``SO_REUSEADDR``, as those of asyncio and tornado do, can listen on them.

    Parameters
    ----------
    count : int
        Number of ports (count).

    Returns
    -------
    list of int
    """
    ports = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', 0))
        _HELD_SOCKETS.append(sock)
        ports.append(sock.getsockname()[1])
    return ports


def find_free_port():
    """Find a port of the loopback address that nobody listens on.

    Returns
    -------
    int
    """
    return find_free_ports(1)[0]
