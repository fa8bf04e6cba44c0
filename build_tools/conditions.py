"""Polling for a condition and JSON over HTTP, for tests and tools."""

import json
import time
import urllib.request

WAIT_TIMEOUT = 30.0
"""Default timeout of `wait_for` (seconds)."""


def get_port(address):
    """Get the port of an address.

    Parameters
    ----------
    address : str
        Address as ``host:port``.

    Returns
    -------
    str
        The port.
    """
    return address.rsplit(':', 1)[1]


def get_json(url):
    """Fetch a JSON value with a GET request.

    Parameters
    ----------
    url : str
        URL to fetch.

    Returns
    -------
    object
        The decoded body of the answer.
    """
    with urllib.request.urlopen(url, timeout=5.0) as answer:
        return json.load(answer)


def post_json(url, value):
    """Send a JSON value with a POST request.

    Parameters
    ----------
    url : str
        URL to send to.
    value : object
        Value to encode as the body.

    Returns
    -------
    object
        The decoded body of the answer.
    """
    data = json.dumps(value).encode('utf-8')
    with urllib.request.urlopen(url, data, timeout=5.0) as answer:
        return json.load(answer)


def wait_for(check, what, timeout=WAIT_TIMEOUT):
    """Poll until a condition is true.

    Parameters
    ----------
    check : callable
        Function without parameters; a true result ends the wait.
    what : str
        Description of the condition for the error message.
    timeout : float, default=WAIT_TIMEOUT
        Longest time to wait (seconds).

    Returns
    -------
    object
        The first true result of `check`.

    Raises
    ------
    AssertionError
        The condition was not true within `timeout`.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(
                f'condition not met within {timeout} s: {what}'
            )
        time.sleep(0.05)
