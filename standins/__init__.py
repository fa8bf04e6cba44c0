"""Stand-ins for the platform, network and servers, for tests and the demo."""
