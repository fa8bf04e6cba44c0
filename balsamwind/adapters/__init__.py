"""Adapters: implementations of the ports over real protocols and libraries."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_caller_server': ['make_caller_server'],
        '_clock': ['BootClock', 'SystemClock'],
        '_control_metrics': ['ControlCollector'],
        '_engine': ['HttpEngine'],
        '_http_client': ['HttpClient'],
        '_json_reader': ['UNREADABLE', 'parse_json'],
        '_metrics': ['Metrics'],
        '_node_pages': ['make_metrics_server', 'make_readiness_server'],
        '_object_store': ['HttpObjectStore'],
        '_operator_server': ['make_operator_server'],
        '_peer_link': ['PeerLinks'],
        '_plain_service': ['HttpPlainService'],
        '_platform': ['HttpVmList', 'HttpWeightStore'],
        '_read_body': ['read_body'],
        '_relay_server': ['RelayServer', 'Responder'],
        '_response_head': ['HeadDefect', 'check_head'],
        '_tls': ['TlsContexts', 'make_tls_contexts'],
        '_update_link': [
            'UpdateServer',
            'is_open',
            'open_update_connection',
            'open_websocket',
            'receive_frame',
            'receive_from',
            'send_frame',
            'send_to',
        ],
    },
)
