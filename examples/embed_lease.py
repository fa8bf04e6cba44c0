"""Hold the lease of one shard inside another program, without the daemon.

Two candidates compete for the lease through one versioned object. The second
takes over only after the lease of the first has expired, with a larger fencing
number.
"""

from balsamwind import control
from balsamwind import objects


def main():
    """Run the example.

    Returns
    -------
    list of list of (str, int)
        For each second, the nodes that hold the lease, with their fencing
        numbers.
    """
    candidates = {
        node: control.LeaseManager(
            'rack-1', node, duration=6.0, margin=0.5, extra_takeover_delay=0.0
        )
        for node in ('a', 'b')
    }
    stored = None
    written_at = 0.0
    holders_by_second = []
    for now in range(0, 16):
        for node, candidate in candidates.items():
            if node == 'a' and now > 3:
                continue  # The first node is paused after 3 s.
            write = candidate.plan_write(
                stored, now - written_at, now, f'{node}{now}'
            )
            if write is None:
                continue
            revision = 1 if stored is None else stored.revision + 1
            stored = objects.ObjectVersion(
                'lease', 'rack-1', revision, write.value
            )
            written_at = now
            candidate.confirm_write(write.value, sent_at=now)
        holders = [
            (node, candidate.fencing)
            for node, candidate in candidates.items()
            if candidate.holds(now)
        ]
        print(f'{now:2d} s: {holders}')
        holders_by_second.append(holders)
    return holders_by_second


if __name__ == '__main__':
    main()
