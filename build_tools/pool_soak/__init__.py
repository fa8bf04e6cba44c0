"""Soak test of nodes that serve from an engine pool under random faults."""
