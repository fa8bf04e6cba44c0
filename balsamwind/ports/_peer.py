"""Ports to the other entries and to the metrics."""

import typing


class PeerLinks(typing.Protocol):
    """Connections to the other entries."""

    @property
    def connected(self):
        """Names of the connected peers, sorted."""

    def connect_to(self, name, address):
        """Connect to a peer, and reconnect after failures.

        Of two nodes, only one dials the other; the call has no effect at the
        one that does not.

        Parameters
        ----------
        name : str
            Name of the peer.
        address : str
            ``host:port`` of the peer.
        """

    def stop_connecting(self, name):
        """Close the connection to a peer and stop reconnecting.

        Parameters
        ----------
        name : str
            Name of the peer.
        """

    def send(self, name, *messages):
        """Queue messages for one peer; they are dropped if not connected.

        Parameters
        ----------
        name : str
            Name of the peer.
        *messages : object
            Messages to send, in order.
        """

    def broadcast(self, *messages):
        """Queue messages for all connected peers.

        Parameters
        ----------
        *messages : object
            Messages to send, in order.
        """


class Metrics(typing.Protocol):
    """Histograms and counters of one entry."""

    def get_completion_metrics(self, contract, model):
        """Get the metrics with the labels of one customer and model.

        Parameters
        ----------
        contract : balsamwind.objects.Contract
            Contract of the customer.
        model : str
            Name of the model.

        Returns
        -------
        object
            Metrics of the requests of this customer for this model.
        """

    def get_customer_label(self, name):
        """Get the label of a customer.

        The set of labels is bounded, so several customers may share one.

        Parameters
        ----------
        name : str
            Name of the customer.

        Returns
        -------
        str
        """

    def expose(self):
        """Render all metrics in the text format of Prometheus."""
