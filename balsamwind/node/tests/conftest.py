"""Fixtures of the tests of a node."""

import pytest

from balsamwind.node import _attempt_client
from balsamwind.relay import _direct_path

PATIENCE = 30.0
"""Wait for connections that outlasts a pause of the tests (seconds)."""


@pytest.fixture
def patient_relays(monkeypatch):
    """Let nodes wait for each other and for servers while the tests pause."""
    open_directly = _direct_path.open_directly

    def open_patiently(relay, backend, attempt, before_send, timeout=0.0):
        return open_directly(relay, backend, attempt, before_send, PATIENCE)

    monkeypatch.setattr(_attempt_client, 'CONNECT_TIMEOUT', PATIENCE)
    monkeypatch.setattr(_attempt_client, 'ACCEPT_TIMEOUT', PATIENCE)
    monkeypatch.setattr(_direct_path, 'open_directly', open_patiently)
