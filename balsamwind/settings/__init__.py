"""Settings of a process, read from JSON and validated by a schema."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_findings': ['Finding', 'list_findings', 'raise_findings'],
        '_load': [
            'check_settings',
            'load_json',
            'load_settings',
            'make_schema',
        ],
        '_sections': [
            'BackendSettings',
            'CertificateSettings',
            'ControlSettings',
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
        ],
        '_table_reader': ['TableReader'],
    },
)
