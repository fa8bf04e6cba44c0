"""Serving system for models whose replicas span several VMs."""

__version__ = '0.1.0'
