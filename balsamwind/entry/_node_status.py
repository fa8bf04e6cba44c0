"""Status of a node, as served under ``/status``."""


def make_status(entry, now):
    """Build the body of ``/status`` as plain values.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Entry to describe.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    dict
    """
    entry.groups.find_serving_groups('', '', now)
    return {
        'node': entry.settings.node.name,
        'data_centre': entry.settings.node.data_centre,
        'revision': entry.catalogue.revision,
        'store_restored': entry.is_store_restored(),
        'store': make_store_status(entry.catalogue),
        'shards': entry.controller.shards_held(now),
        'open_requests': entry.open_requests,
        'control': {**entry.make_counters(), **entry.make_gauges()},
        'nodes': make_node_rows(entry, now),
        'groups': [
            _make_group_row(entry, stored.value)
            for stored in entry.catalogue.list_objects('group')
        ],
        'vms': [
            _make_vm_row(entry, view, now)
            for view in entry.observations.list_views()
        ],
        'short': {
            stored.name: stored.value.short
            for stored in entry.catalogue.list_objects('allocation')
            if stored.value.short
        },
    }


def _make_group_row(entry, group):
    reason = entry.groups.unavailable_reasons.get(group.name, 'not checked')
    return {
        'name': group.name,
        'contract': group.contract,
        'model': group.model,
        'version': group.version,
        'data_centre': group.data_centre,
        'fabric_domain': group.fabric_domain,
        'generation': group.generation,
        'state': group.state.value,
        'serving': not reason,
        'reason': reason or group.reason,
        'members': list(group.vms),
    }


def _make_vm_row(entry, view, now):
    report = view.report
    return {
        'name': view.vm,
        'up': entry.observations.is_up(view.vm, now),
        'reachable': view.reachable,
        'state': report.state.value if report else 'unknown',
        'group': report.group if report else '',
        'observer': view.observer,
        'age': round(now - entry.observations.confirmed_at(view), 3),
    }


def make_node_rows(entry, now):
    """Build one row for every known node, sorted by name.

    Known are the peers of the settings, the nodes registered in the object
    API, the peers heard of since the start and the node itself.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Entry to describe.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    list of dict
    """
    rows = {}
    for peer in entry.settings.peers:
        rows[peer.name] = _make_unheard_row(peer.name, peer.data_centre)
    for stored in entry.catalogue.list_objects('node'):
        rows[stored.name] = _make_unheard_row(
            stored.name, stored.value.data_centre
        )
    for peer in entry.registry.peers:
        rows[peer.name] = {
            'name': peer.name,
            'data_centre': peer.data_centre,
            'revision': peer.revision,
            'alive': entry.registry.is_alive(peer, now),
            'draining': peer.draining,
            'heard_ago': round(now - peer.last_contact_at, 1),
        }
    rows[entry.settings.node.name] = {
        'name': entry.settings.node.name,
        'data_centre': entry.settings.node.data_centre,
        'revision': entry.catalogue.revision,
        'alive': True,
        'draining': entry.draining,
        'heard_ago': 0.0,
    }
    return [rows[name] for name in sorted(rows)]


def _make_unheard_row(name, data_centre):
    """Row of a node from which no heartbeat has been received."""
    return {
        'name': name,
        'data_centre': data_centre,
        'revision': 0,
        'alive': False,
        'draining': False,
        'heard_ago': None,
    }


def make_store_status(catalogue):
    """Compare the store with the objects in force at this node.

    Parameters
    ----------
    catalogue : balsamwind.catalogue.ObjectCache
        Objects in memory.

    Returns
    -------
    dict
        State of the store and its reason, the epoch in force and the keys
        of the objects that could not be decoded.
    """
    return {
        'state': catalogue.store_state.value,
        'reason': catalogue.store_reason,
        'epoch': catalogue.epoch,
        'unreadable': ['/'.join(key) for key in catalogue.unreadable],
    }
