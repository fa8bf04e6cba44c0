"""Strategies for JSON of any shape."""

import copy
import functools
import operator

from hypothesis import strategies

NUMBERS = strategies.integers() | strategies.floats() | strategies.booleans()

TEXTS = strategies.text() | strategies.text(
    strategies.characters(min_codepoint=0xD700, max_codepoint=0xE000)
)

ANY_JSON = strategies.recursive(
    strategies.none() | NUMBERS | TEXTS,
    lambda children: (
        strategies.lists(children, max_size=4)
        | strategies.dictionaries(TEXTS, children, max_size=4)
    ),
    max_leaves=8,
)
"""Any value that a JSON parser returns."""


REMOVED = object()
"""Stands for a part that is taken out of an object."""


def make_variants(value):
    """Make a strategy of values like a sound one, but for one or two parts.

    Parameters
    ----------
    value : object
        Sound value as parsed from JSON.

    Returns
    -------
    hypothesis.strategies.SearchStrategy
        Values in which each of the odd parts is missing, or of any shape.
    """
    change = strategies.tuples(
        strategies.sampled_from(list(_find_paths(value))),
        strategies.just(REMOVED) | ANY_JSON,
    )
    return strategies.lists(change, min_size=1, max_size=2).map(
        functools.partial(_apply, value)
    )


def _find_paths(value):
    """Find the paths of all parts, each a tuple of keys and indexes."""
    yield ()
    if isinstance(value, dict):
        parts = value.items()
    elif isinstance(value, list):
        parts = enumerate(value)
    else:
        return
    for key, item in parts:
        for path in _find_paths(item):
            yield (key, *path)


def _apply(value, changes):
    value = copy.deepcopy(value)
    for path, replacement in changes:
        if not path:
            return None if replacement is REMOVED else replacement
        try:
            parent = functools.reduce(operator.getitem, path[:-1], value)
            if replacement is REMOVED:
                del parent[path[-1]]
            else:
                parent[path[-1]] = replacement
        except (LookupError, TypeError):
            # An earlier change has replaced the part above.
            continue
    return value
