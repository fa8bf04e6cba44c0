"""Where the product meets the platform: names, formats and calls.

Nothing here decides, and nothing outside knows the platform's names.
"""

from balsamwind.platform._outside import make_outside
from balsamwind.platform._settings import find_settings_path
from balsamwind.platform._settings import load_node_settings

__all__ = ['find_settings_path', 'load_node_settings', 'make_outside']
