"""Control path: turns contracts into replica groups and engine orders."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_allocation': ['plan_allocations'],
        '_controller': ['Controller', 'FLEET_SHARD'],
        '_decisions': ['DeleteObject', 'PutObject', 'SendOrder'],
        '_executor': ['Executor'],
        '_groups': ['plan_groups'],
        '_lease': ['LeaseManager'],
        '_member_status': ['MemberStatus'],
        '_view': ['View'],
    },
)
