"""Reader of the settings file that the platform gives to a node."""

import os
import tomllib

from balsamwind import node
from balsamwind import settings as settings_package

SETTINGS_PATH_VARIABLE = 'BALSAMWIND_BOOT'
"""Environment variable that holds the path of the settings file."""

METRICS_PORT = 9464
"""Port of the metrics endpoint, as the deployment file names it."""

PORTS = range(1, 65536)
"""Valid TCP port numbers."""


def find_settings_path():
    """Find the path of the settings file; None outside the platform."""
    return os.environ.get(SETTINGS_PATH_VARIABLE)


def load_node_settings(path):
    """Read the settings of a node from the platform's settings file.

    Parameters
    ----------
    path : str
        Path of the TOML file.

    Returns
    -------
    balsamwind.node.NodeSettings

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        Has a finding for each field that is missing or malformed.
    """
    findings = []
    try:
        with open(path, 'rb') as file:
            data = tomllib.load(file)
    except (OSError, ValueError) as error:
        finding = settings_package.Finding(
            path, '', str(error), 'a readable file in TOML format'
        )
        settings_package.raise_findings([finding])
    reader = _SettingsReader(path, data, findings)
    name = reader.read_string('NodeName')
    data_centre = reader.read_string('Zone')
    ip_address = reader.read_string('Ip')
    callers_address = reader.read_address('Listen', 'Front')
    readiness_address = reader.read_address('Listen', 'Ready')
    store_address = reader.read_address('Platform', 'Address')
    update_port = reader.read_first_port('PortRange')
    bounds = _read_bounds(reader)
    cores = reader.read_number_in('Limits', 'CpuShare', 1)
    cores *= reader.read_number_in('Limits', 'CpuCores', 1)
    link_rate = reader.read_number_in('Limits', 'LinkMbps', 100)
    settings_package.raise_findings(findings)
    zones = data.get('Zones')
    return node.NodeSettings(
        name=name,
        data_centre=data_centre,
        data_centres=tuple(sorted(zones)) if zones else (data_centre,),
        callers=callers_address,
        readiness=readiness_address,
        metrics=f'{ip_address}:{METRICS_PORT}',
        news=f'{ip_address}:{update_port}',
        store=store_address,
        first_start=data.get('Bootstrap') is True,
        cores=cores,
        link_rate=link_rate,
        bounds=bounds,
    )


def _read_bounds(reader):
    revocation_is_bounded = reader.read_bound('StrictRevoke', False)
    return node.Bounds(
        drain_time=reader.read_bound('DrainMs', 2000) / 1000,
        grace=reader.read_bound('GraceS', 8),
        configuration_apply=reader.read_bound('ConfigApplyMs', 2000) / 1000,
        key_revocation=reader.read_bound('RevokeMs', 5000) / 1000
        if revocation_is_bounded
        else None,
        retry_ratio=reader.read_bound('BudgetRatio', 0.2),
        retry_window=reader.read_bound('BudgetWindowS', 10),
        retry_extra=reader.read_bound('BudgetExtra', 0),
        load_window=reader.read_bound('CeilingWindowS', 5),
        load_excess=reader.read_bound('CeilingExcess', 1.0),
        stall=reader.read_bound('StallMs', 4000) / 1000,
        heartbeat=reader.read_number('HeartbeatMs', 1200) / 1000,
    )


class _SettingsReader:
    """Reads fields of the settings file and collects all findings."""

    __slots__ = ('_data', '_findings', '_path')

    def __init__(self, path, data, findings):
        self._path = path
        self._data = data
        self._findings = findings

    def _add_finding(self, pointer, got, allowed):
        self._findings.append(
            settings_package.Finding(self._path, pointer, got, allowed)
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
        if not isinstance(value, (int, float)) or value < 0:
            self._add_finding(pointer, value, 'a non-negative number')
            return default
        return value
