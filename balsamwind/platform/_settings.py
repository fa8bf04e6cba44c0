"""Reader of the settings file that the platform gives to a node."""

import os
import tomllib

from balsamwind import node
from balsamwind import settings as settings_package

SETTINGS_PATH_VARIABLE = 'BALSAMWIND_BOOT'
"""Environment variable that holds the path of the settings file."""

METRICS_PORT = 9464
"""Port of the metrics endpoint, as the deployment file names it."""


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
    reader = settings_package.TableReader(path, data, findings)
    data_centre = reader.read_string('Zone')
    ip_address = reader.read_string('Ip')
    zones = data.get('Zones')
    cores = reader.read_number_in('Limits', 'CpuShare', 1)
    node_settings = node.NodeSettings(
        name=reader.read_string('NodeName'),
        data_centre=data_centre,
        data_centres=tuple(sorted(zones)) if zones else (data_centre,),
        callers=reader.read_address('Listen', 'Front'),
        readiness=reader.read_address('Listen', 'Ready'),
        metrics=f'{ip_address}:{METRICS_PORT}',
        news=f'{ip_address}:{reader.read_first_port("PortRange")}',
        store=reader.read_address('Platform', 'Address'),
        first_start=data.get('Bootstrap') is True,
        cores=cores * reader.read_number_in('Limits', 'CpuCores', 1),
        link_rate=reader.read_number_in('Limits', 'LinkMbps', 100),
        memory=reader.read_number_in('Limits', 'MemoryMb', 0),
        descriptors=reader.read_number_in('Limits', 'MaxFds', 0),
        bounds=_read_bounds(reader),
        regions=_find_regions(zones or {data_centre: data.get('Region')}),
    )
    settings_package.raise_findings(findings)
    return node_settings


def _find_regions(zones):
    """Return the regions by data centre, without malformed ones."""
    regions = zones.items() if isinstance(zones, dict) else ()
    return {k: v for k, v in regions if v and isinstance(v, str)}


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
        evacuation=reader.read_bound('EvacuateMs', 0) / 1000 or None,
        cold_excess=reader.read_bound('ColdExcess', 1.0),
        cold_slack=reader.read_bound('ColdSlack', 0.0),
    )
