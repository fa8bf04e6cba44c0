"""Which groups have which prompt prefixes in their cache."""

import collections

import xxhash

BLOCK_SIZE = 1024
"""Prompt characters of one block (count)."""

MAX_BLOCKS = 32
"""Blocks of one prompt that are looked at (count)."""

MAX_KNOWN = 1024
"""Blocks remembered for one group (count)."""

MAX_HOLDERS = 4
"""Groups that a look-up returns (count)."""


HASH_SHIFT = 12
"""Bits of a 64-bit hash that are left out (count)."""


def hash_blocks(model, prompt):
    """Hash the leading blocks of a prompt.

    Each hash covers the model and the prompt from its start to the end of
    the block, so that equal hashes mean equal prefixes. A last block that
    is not full is left out.

    Parameters
    ----------
    model : str
        Model or adapter; caches are not shared between them.
    prompt : str
        The prompt.

    Returns
    -------
    tuple of int
        52-bit hashes, which JSON carries without loss; at most
        `MAX_BLOCKS`.

    Examples
    --------
    >>> hash_blocks('m', 'short')
    ()
    >>> a = hash_blocks('m', 'x' * 2048)
    >>> a[0] == hash_blocks('m', 'x' * 1024 + 'y' * 1024)[0]
    True
    """
    count = min(len(prompt) // BLOCK_SIZE, MAX_BLOCKS)
    if not count:
        return ()
    seed = xxhash.xxh64_intdigest(model.encode())
    hashes = []
    for start in range(0, count * BLOCK_SIZE, BLOCK_SIZE):
        block = prompt[start : start + BLOCK_SIZE]
        seed = xxhash.xxh64_intdigest(block.encode(), seed)
        hashes.append(seed >> HASH_SHIFT)
    return tuple(hashes)


class _Known:
    """What is known of one group's cache."""

    __slots__ = ('blocks', 'generation', 'sequence')

    def __init__(self, generation):
        self.generation = generation
        self.sequence = 0
        self.blocks = collections.OrderedDict()


class PrefixIndex:
    """Block -> groups that hold it, from cache events and own requests.

    Cache events carry sequence numbers. They may come late, twice and with
    gaps; a gap invalidates what was known of the group.
    """

    __slots__ = ('_groups', '_holders', 'gaps')

    def __init__(self):
        self._groups = {}
        self._holders = {}
        self.gaps = 0

    def apply_events(self, group, generation, events):
        """Take in the last cache events of a group.

        Parameters
        ----------
        group : str
            Name of the group.
        generation : int
            Its generation; another one has an empty cache.
        events : sequence of balsamwind.ports.CacheEvent
            Events in order, without gaps among themselves.
        """
        if not events:
            return
        known = self._known(group, generation)
        last = events[-1].sequence
        restarted = last < known.sequence
        if restarted or events[0].sequence > known.sequence + 1:
            if known.sequence:
                self.gaps += 1
            self.forget(group)
            known = self._known(group, generation)
        for event in events:
            if event.sequence <= known.sequence:
                continue
            for block in event.removed:
                self._remove(group, known, block)
            for block in event.stored:
                self._store(group, known, block)
            known.sequence = event.sequence

    def note_sent(self, group, generation, blocks):
        """Note that a group is about to prefill `blocks`."""
        known = self._known(group, generation)
        for block in blocks:
            self._store(group, known, block)

    def forget(self, group):
        """Drop all that is known of a group."""
        known = self._groups.pop(group, None)
        if known is None:
            return
        for block in known.blocks:
            self._drop_holder(group, block)

    def depth(self, group, blocks):
        """Leading blocks of a prompt that a group holds (count)."""
        known = self._groups.get(group)
        if known is None:
            return 0
        held = known.blocks
        for count in range(len(blocks), 0, -1):
            if blocks[count - 1] in held:
                return count
        return 0

    def holders(self, blocks):
        """Groups that hold most of a prompt, deepest first.

        Returns
        -------
        list of str
            At most `MAX_HOLDERS` names.
        """
        names = []
        for block in reversed(blocks):
            for name in self._holders.get(block, ()):
                if name not in names:
                    names.append(name)
                    if len(names) == MAX_HOLDERS:
                        return names
        return names

    def _known(self, group, generation):
        known = self._groups.get(group)
        if known is not None and known.generation != generation:
            self.forget(group)
            known = None
        if known is None:
            known = self._groups[group] = _Known(generation)
        return known

    def _store(self, group, known, block):
        if block in known.blocks:
            known.blocks.move_to_end(block)
            return
        known.blocks[block] = None
        self._holders.setdefault(block, {})[group] = None
        if len(known.blocks) > MAX_KNOWN:
            oldest, _ = known.blocks.popitem(last=False)
            self._drop_holder(group, oldest)

    def _remove(self, group, known, block):
        if block in known.blocks:
            del known.blocks[block]
            self._drop_holder(group, block)

    def _drop_holder(self, group, block):
        holders = self._holders[block]
        del holders[group]
        if not holders:
            del self._holders[block]
