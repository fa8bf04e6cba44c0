"""Entry process: connects the decision modules to their adapters."""

from balsamwind.entry._entry import Entry
from balsamwind.entry._process import open_entry
from balsamwind.entry._process import run_entry

__all__ = ['Entry', 'open_entry', 'run_entry']
