"""Command-line interface for operators, including the entry process."""

from balsamwind.cli._main import main

__all__ = ['main']
