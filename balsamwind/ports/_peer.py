"""Ports between entries, and towards the operators' metrics."""

import typing


class PeerLinks(typing.Protocol):
    """Links to the other entries."""

    @property
    def connected(self):
        """Names of the connected peers, sorted."""

    def reach(self, name, address):
        """Keep dialling a peer, if it is this node's part to dial."""

    def leave(self, name):
        """Stop dialling a peer, and end its link."""

    def send(self, name, *messages):
        """Queue messages for one peer; nothing if it is not connected."""

    def broadcast(self, *messages):
        """Queue messages for all connected peers."""


class Metrics(typing.Protocol):
    """Histograms and counters of one entry."""

    def bind(self, contract, model):
        """Metrics of one customer and model."""

    def customer(self, name):
        """Label of a customer, from a bounded set."""

    def expose(self):
        """Text of all metrics."""
