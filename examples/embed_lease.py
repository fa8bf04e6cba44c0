"""Hold a lease of one shard inside another program, without the daemon.

Shows: two candidates over one versioned object. The second takes over only
after the first can no longer act, and its fencing number is larger.
"""

from balsamwind import control
from balsamwind import objects


def main():
    """Run the example; who may act at each time, with fencing numbers."""
    keepers = {
        node: control.LeaseKeeper(
            'rack-1', node, duration=6.0, margin=0.5, extra_wait=0.0
        )
        for node in ('a', 'b')
    }
    stored = None
    changed_at = 0.0
    acting = []
    for now in range(0, 16):
        for node, keeper in keepers.items():
            if node == 'a' and now > 3:
                continue  # the first node is paused
            write = keeper.plan(stored, now - changed_at, now, f'{node}{now}')
            if write is None:
                continue
            revision = 1 if stored is None else stored.revision + 1
            stored = objects.Stored('lease', 'rack-1', revision, write.value)
            changed_at = now
            keeper.accept(write.value, sent_at=now)
        holders = [
            (node, keeper.fencing)
            for node, keeper in keepers.items()
            if keeper.holds(now)
        ]
        print(f'{now:2d} s: {holders}')
        acting.append(holders)
    return acting


if __name__ == '__main__':
    main()
