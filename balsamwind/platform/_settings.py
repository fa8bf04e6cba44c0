"""The platform's settings file."""

import os
import tomllib

from balsamwind import node
from balsamwind import settings as settings_package

PATH_VARIABLE = 'BALSAMWIND_BOOT'
"""Environment variable that holds the path of the settings file."""

METRICS_PORT = 9464
"""Port of the metrics, as the deploy file names it."""

PORTS = range(1, 65536)
"""Ports that may be used."""


def find_settings_path():
    """Path of the platform's settings file; None elsewhere."""
    return os.environ.get(PATH_VARIABLE)


def load_node_settings(path):
    """Read the platform's settings file.

    Parameters
    ----------
    path : str
        The file.

    Returns
    -------
    balsamwind.node.NodeSettings

    Raises
    ------
    balsamwind.exceptions.InvalidInput
        With a finding for each field that is missing or malformed.
    """
    findings = []
    try:
        with open(path, 'rb') as file:
            data = tomllib.load(file)
    except (OSError, ValueError) as error:
        finding = settings_package.Finding(
            path, '', str(error), 'a readable TOML file'
        )
        settings_package.raise_findings([finding])
    reader = _Reader(path, data, findings)
    name = reader.text('NodeName')
    zone = reader.text('Zone')
    address = reader.text('Ip')
    front = reader.address('Listen', 'Front')
    ready = reader.address('Listen', 'Ready')
    store = reader.address('Platform', 'Address')
    port = reader.first_port('PortRange')
    bounds = _read_bounds(reader)
    settings_package.raise_findings(findings)
    zones = data.get('Zones')
    return node.NodeSettings(
        name=name,
        data_centre=zone,
        data_centres=tuple(sorted(zones)) if zones else (zone,),
        callers=front,
        readiness=ready,
        metrics=f'{address}:{METRICS_PORT}',
        news=f'{address}:{port}',
        store=store,
        first_start=data.get('Bootstrap') is True,
        bounds=bounds,
    )


def _read_bounds(reader):
    strict = reader.bound('StrictRevoke', False)
    return node.Bounds(
        drain_time=reader.bound('DrainMs', 2000) / 1000,
        grace=reader.bound('GraceS', 8),
        key_revocation=reader.bound('RevokeMs', 5000) / 1000
        if strict
        else None,
        retry_ratio=reader.bound('BudgetRatio', 0.2),
        retry_window=reader.bound('BudgetWindowS', 10),
        retry_extra=reader.bound('BudgetExtra', 0),
        load_window=reader.bound('CeilingWindowS', 5),
        load_excess=reader.bound('CeilingExcess', 1.0),
        stall=reader.bound('StallMs', 4000) / 1000,
        heartbeat=reader.figure('HeartbeatMs', 1200) / 1000,
    )


class _Reader:
    """Reads fields and collects findings."""

    __slots__ = ('_data', '_findings', '_place')

    def __init__(self, place, data, findings):
        self._place = place
        self._data = data
        self._findings = findings

    def _note(self, pointer, got, allowed):
        self._findings.append(
            settings_package.Finding(self._place, pointer, got, allowed)
        )

    def text(self, name):
        """A non-empty string."""
        value = self._data.get(name)
        if not isinstance(value, str) or not value:
            self._note(f'/{name}', value, 'a non-empty string')
            return ''
        return value

    def address(self, table, name):
        """An address, ``host:port``."""
        rows = self._data.get(table)
        value = rows.get(name) if isinstance(rows, dict) else None
        if (
            not isinstance(value, str)
            or not value.rpartition(':')[2].isdigit()
            or not value.rpartition(':')[0]
        ):
            self._note(f'/{table}/{name}', value, 'host:port')
            return ''
        return value

    def first_port(self, name):
        """First of a range of ports."""
        value = self._data.get(name)
        if not isinstance(value, list) or not value or value[0] not in PORTS:
            self._note(f'/{name}', value, 'two ports')
            return 0
        return value[0]

    def bound(self, name, default):
        """A figure of the table of bounds."""
        rows = self._data.get('Bounds', {})
        value = rows.get(name, default) if isinstance(rows, dict) else None
        return self._check_figure(f'/Bounds/{name}', value, default)

    def figure(self, name, default):
        """A figure of the file itself."""
        value = self._data.get(name, default)
        return self._check_figure(f'/{name}', value, default)

    def _check_figure(self, pointer, value, default):
        if not isinstance(value, (int, float)) or value < 0:
            self._note(pointer, value, 'a number, 0 or more')
            return default
        return value
