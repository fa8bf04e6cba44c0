"""Measurements; each module is a script."""
