"""Index of the prompt prefixes that each group has in its cache."""

import collections

import xxhash

BLOCK_SIZE = 1024
"""Length of a prompt block (characters)."""

MAX_BLOCKS = 32
"""Largest number of leading blocks of a prompt that are hashed (count)."""

MAX_BLOCKS_PER_GROUP = 1024
"""Largest number of blocks indexed for a group (count). The least recently
used block is evicted first."""

MAX_HOLDERS = 4
"""Largest number of groups that a look-up returns (count)."""


HASH_SHIFT = 12
"""Low bits that are dropped from a 64-bit hash (count)."""


def hash_blocks(model, prompt):
    """Hash the leading blocks of a prompt.

    Each hash covers the model and the prompt from its start to the end of
    the block, so that equal hashes mean equal prefixes. An incomplete last
    block is not hashed.

    Parameters
    ----------
    model : str
        Name of the model or adapter; caches are not shared between them.
    prompt : str
        Text of the prompt.

    Returns
    -------
    tuple of int
        Hashes of the blocks, at most `MAX_BLOCKS`. They have 52 bits, which
        JSON numbers represent without loss.

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


class _GroupCache:
    """Expected content of one group's prefix cache.

    Attributes
    ----------
    generation : int
        Generation of the group.
    sequence : int
        Sequence number of the last applied cache event; 0 before the first.
    blocks : collections.OrderedDict
        Hashes of the blocks as keys, least recently used first.
    """

    __slots__ = ('blocks', 'generation', 'sequence')

    def __init__(self, generation):
        self.generation = generation
        self.sequence = 0
        self.blocks = collections.OrderedDict()


class PrefixIndex:
    """Index from prompt blocks to the groups that have them in their cache.

    The index is built from the cache events of the groups and from own
    requests. Cache events carry sequence numbers and may arrive late, more
    than once or with gaps; a gap invalidates all that is indexed for the
    group.

    Attributes
    ----------
    gap_count : int
        Gaps and restarts seen in the cache events of known groups (count).
    """

    __slots__ = ('_groups', '_holders_by_block', 'gap_count')

    def __init__(self):
        self._groups = {}
        self._holders_by_block = {}
        self.gap_count = 0

    def apply_events(self, group, generation, events):
        """Apply the last cache events of a group.

        Parameters
        ----------
        group : str
            Name of the group.
        generation : int
            Generation of the group; a new generation has an empty cache.
        events : sequence of balsamwind.ports.CacheEvent
            Events in the order of their sequence numbers, without gaps
            among themselves.
        """
        if not events:
            return
        cache = self._get_cache(group, generation)
        last = events[-1].sequence
        restarted = last < cache.sequence
        if restarted or events[0].sequence > cache.sequence + 1:
            if cache.sequence:
                self.gap_count += 1
            self.remove_group(group)
            cache = self._get_cache(group, generation)
        for event in events:
            if event.sequence <= cache.sequence:
                continue
            for block in event.removed:
                self._remove_block(group, cache, block)
            for block in event.stored:
                self._add_block(group, cache, block)
            cache.sequence = event.sequence

    def record_prefill(self, group, generation, blocks):
        """Add blocks that a group is about to prefill.

        Parameters
        ----------
        group : str
            Name of the group.
        generation : int
            Generation of the group; a new generation has an empty cache.
        blocks : iterable of int
            Hashes of the prompt's leading blocks.
        """
        cache = self._get_cache(group, generation)
        for block in blocks:
            self._add_block(group, cache, block)

    def remove_group(self, group):
        """Discard all that is indexed for a group.

        Parameters
        ----------
        group : str
            Name of the group.
        """
        cache = self._groups.pop(group, None)
        if cache is None:
            return
        for block in cache.blocks:
            self._remove_holder(group, block)

    def count_cached_blocks(self, group, blocks):
        """Count the leading blocks of a prompt that a group has cached.

        Parameters
        ----------
        group : str
            Name of the group.
        blocks : sequence of int
            Hashes of the prompt's leading blocks.

        Returns
        -------
        int
            Number of blocks up to the last one that the group holds.
        """
        cache = self._groups.get(group)
        if cache is None:
            return 0
        cached = cache.blocks
        for count in range(len(blocks), 0, -1):
            if blocks[count - 1] in cached:
                return count
        return 0

    def find_holders(self, blocks):
        """Find the groups that have the longest prefix of a prompt cached.

        Parameters
        ----------
        blocks : sequence of int
            Hashes of the prompt's leading blocks.

        Returns
        -------
        list of str
            Names of at most `MAX_HOLDERS` groups, longest prefix first.
        """
        names = []
        for block in reversed(blocks):
            for name in self._holders_by_block.get(block, ()):
                if name not in names:
                    names.append(name)
                    if len(names) == MAX_HOLDERS:
                        return names
        return names

    def _get_cache(self, group, generation):
        """Get the cache of a group, empty if it has a new generation."""
        cache = self._groups.get(group)
        if cache is not None and cache.generation != generation:
            self.remove_group(group)
            cache = None
        if cache is None:
            cache = self._groups[group] = _GroupCache(generation)
        return cache

    def _add_block(self, group, cache, block):
        if block in cache.blocks:
            cache.blocks.move_to_end(block)
            return
        cache.blocks[block] = None
        self._holders_by_block.setdefault(block, {})[group] = None
        if len(cache.blocks) > MAX_BLOCKS_PER_GROUP:
            oldest, _ = cache.blocks.popitem(last=False)
            self._remove_holder(group, oldest)

    def _remove_block(self, group, cache, block):
        if block in cache.blocks:
            del cache.blocks[block]
            self._remove_holder(group, block)

    def _remove_holder(self, group, block):
        holders = self._holders_by_block[block]
        del holders[group]
        if not holders:
            del self._holders_by_block[block]
