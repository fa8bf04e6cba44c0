"""What a node says of all nodes."""


def make_node_rows(entry, now):
    """Rows of all nodes that are known, registered or seeds, by name.

    Parameters
    ----------
    entry : balsamwind.entry.Entry
        Who is asked.
    now : float
        Monotonic time (seconds).

    Returns
    -------
    list of dict
    """
    rows = {}
    for peer in entry.settings.peers:
        rows[peer.name] = _make_unheard(peer.name, peer.data_centre)
    for stored in entry.catalogue.items('node'):
        rows[stored.name] = _make_unheard(
            stored.name, stored.value.data_centre
        )
    for peer in entry.registry.peers:
        rows[peer.name] = {
            'name': peer.name,
            'data_centre': peer.data_centre,
            'revision': peer.revision,
            'alive': entry.registry.is_alive(peer, now),
            'draining': peer.draining,
            'heard_ago': round(now - peer.heard_at, 1),
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


def _make_unheard(name, data_centre):
    return {
        'name': name,
        'data_centre': data_centre,
        'revision': 0,
        'alive': False,
        'draining': False,
        'heard_ago': None,
    }


def make_store_status(catalogue):
    """How the store stands to what is in force."""
    return {
        'state': catalogue.store_state.value,
        'reason': catalogue.store_reason,
        'epoch': catalogue.epoch,
        'unreadable': ['/'.join(key) for key in catalogue.unreadable],
    }
