"""The process on an entry VM: wiring of decisions and adapters."""

from balsamwind.entry._entry import Entry
from balsamwind.entry._process import open_entry
from balsamwind.entry._process import run_entry

__all__ = ['Entry', 'open_entry', 'run_entry']
