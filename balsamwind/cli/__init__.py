"""The operators' command line, and the start of an entry."""

from balsamwind.cli._main import main

__all__ = ['main']
