"""Objects stored in the platform's object API, and their encoding."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_allocation': ['Allocation'],
        '_call': ['Answer', 'CALL_KINDS', 'CallRecord'],
        '_checks': [
            'MAX_NAME_LENGTH',
            'check_address',
            'check_final_status',
            'check_integer',
            'check_list',
            'check_name',
            'check_number',
            'check_table',
            'check_text',
            'decoding',
        ],
        '_claim': ['Claim'],
        '_codec': ['UnknownEnumValue', 'decode', 'encode'],
        '_contract': [
            'Contract',
            'Limits',
            'ModelTerms',
            'check_contract',
            'make_key_hash',
            'parse_timestamp',
        ],
        '_epoch': ['EPOCH_NAME', 'Epoch'],
        '_group': ['Group', 'GroupState', 'Member'],
        '_eras': ['ERA_BITS', 'StoreEras'],
        '_lease': ['Lease'],
        '_node': ['Node'],
        '_stored': [
            'KINDS',
            'ObjectVersion',
            'WATCHED_KINDS',
            'check_revision',
            'decode_object_version',
        ],
    },
)
