"""Settings of a process, read from JSON and validated by a schema."""

from balsamwind.settings._findings import Finding
from balsamwind.settings._findings import list_findings
from balsamwind.settings._findings import raise_findings
from balsamwind.settings._load import check_settings
from balsamwind.settings._load import load_json
from balsamwind.settings._load import load_settings
from balsamwind.settings._load import make_schema
from balsamwind.settings._sections import BackendSettings
from balsamwind.settings._sections import CertificateSettings
from balsamwind.settings._sections import ControlSettings
from balsamwind.settings._sections import ListenSettings
from balsamwind.settings._sections import NodeSettings
from balsamwind.settings._sections import ObservationSettings
from balsamwind.settings._sections import PeerSettings
from balsamwind.settings._sections import PlacementSettings
from balsamwind.settings._sections import PlatformSettings
from balsamwind.settings._sections import RequestSettings
from balsamwind.settings._sections import ServiceSettings
from balsamwind.settings._sections import Settings
from balsamwind.settings._sections import TlsSettings

__all__ = [
    'BackendSettings',
    'CertificateSettings',
    'ControlSettings',
    'Finding',
    'ListenSettings',
    'NodeSettings',
    'ObservationSettings',
    'PeerSettings',
    'PlacementSettings',
    'PlatformSettings',
    'RequestSettings',
    'ServiceSettings',
    'Settings',
    'TlsSettings',
    'check_settings',
    'list_findings',
    'load_json',
    'load_settings',
    'make_schema',
    'raise_findings',
]
