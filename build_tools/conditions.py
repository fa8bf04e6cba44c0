"""Conditions to wait for, and JSON over HTTP, for tests and tools."""

import json
import time
import urllib.request

WAIT = 30.0
"""Longest wait for a condition (seconds)."""


def get_port(address):
    """Port of ``host:port``."""
    return address.rsplit(':', 1)[1]


def get_json(url):
    """Fetch a JSON value."""
    with urllib.request.urlopen(url, timeout=5.0) as answer:
        return json.load(answer)


def post_json(url, value):
    """Send a JSON value."""
    data = json.dumps(value).encode('utf-8')
    with urllib.request.urlopen(url, data, timeout=5.0) as answer:
        return json.load(answer)


def wait_for(check, what, timeout=WAIT):
    """Wait until `check()` is true; its value.

    Raises
    ------
    AssertionError
        It did not become true in time.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f'not seen within {timeout} s: {what}')
        time.sleep(0.05)
