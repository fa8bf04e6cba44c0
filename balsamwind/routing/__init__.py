"""Choice of a replica group for a request."""

from balsamwind.routing._chooser import Chooser
from balsamwind.routing._chooser import make_chooser

__all__ = ['Chooser', 'make_chooser']
