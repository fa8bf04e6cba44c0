"""Reader of settings that are nested tables."""

import math

from balsamwind.settings import _findings

PORTS = range(1, 65536)
"""Valid TCP port numbers."""


class TableReader:
    """Reads fields of a settings file and collects all findings.

    Parameters
    ----------
    path : str
        Path of the file, for the findings.
    data : dict
        Its content, parsed.
    findings : list of Finding
        Takes a finding for each field that is missing or malformed.
    """

    __slots__ = ('_data', '_findings', '_path')

    def __init__(self, path, data, findings):
        self._path = path
        self._data = data
        self._findings = findings

    def _add_finding(self, pointer, got, allowed):
        self._findings.append(
            _findings.Finding(self._path, pointer, got, allowed)
        )

    def read_string(self, name):
        """Read a field that holds a non-empty string."""
        value = self._data.get(name)
        if not isinstance(value, str) or not value:
            self._add_finding(f'/{name}', value, 'a non-empty string')
            return ''
        return value

    def read_address(self, table_name, name):
        """Read a field of a table that holds an address, ``host:port``."""
        table = self._data.get(table_name)
        value = table.get(name) if isinstance(table, dict) else None
        if (
            not isinstance(value, str)
            or not value.rpartition(':')[2].isdigit()
            or not value.rpartition(':')[0]
        ):
            self._add_finding(f'/{table_name}/{name}', value, 'host:port')
            return ''
        return value

    def read_first_port(self, name):
        """Read the first port of a field that holds a range of ports."""
        value = self._data.get(name)
        if not isinstance(value, list) or not value or value[0] not in PORTS:
            self._add_finding(f'/{name}', value, 'a list of two ports')
            return 0
        return value[0]

    def read_bound(self, name, default):
        """Read an optional number of the table ``Bounds``."""
        return self.read_number_in('Bounds', name, default)

    def read_number_in(self, table_name, name, default):
        """Read an optional number of a table."""
        table = self._data.get(table_name, {})
        value = table.get(name, default) if isinstance(table, dict) else None
        return self._check_number(f'/{table_name}/{name}', value, default)

    def read_number(self, name, default):
        """Read an optional number at the top level of the file."""
        value = self._data.get(name, default)
        return self._check_number(f'/{name}', value, default)

    def _check_number(self, pointer, value, default):
        if not isinstance(value, (int, float)) or not 0 <= value < math.inf:
            self._add_finding(pointer, value, 'a non-negative number')
            return default
        return value
