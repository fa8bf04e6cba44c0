"""Adapter to the users' platform: its names, wire formats and calls.

It takes no decisions, and code outside this package uses none of the
platform's own names.
"""

from balsamwind.platform._client import make_platform_client
from balsamwind.platform._settings import find_settings_path
from balsamwind.platform._settings import load_node_settings

__all__ = ['find_settings_path', 'load_node_settings', 'make_platform_client']
