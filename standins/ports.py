"""Free ports of the loopback address."""

import contextlib
import socket


def find_free_ports(count):
    """Ports that nobody listens on, all different.

    Parameters
    ----------
    count : int
        How many (count).

    Returns
    -------
    list of int
    """
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(('127.0.0.1', 0))
        return [probe.getsockname()[1] for probe in probes]


def find_free_port():
    """A port that nobody listens on."""
    return find_free_ports(1)[0]
