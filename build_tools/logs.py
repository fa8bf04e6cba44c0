"""Search of process logs for unhandled errors."""

CRASH_WORDS = (
    'round_crashed',
    'request_crashed',
    'action_crashed',
    'Traceback',
)
"""Log events and words that show an unhandled error."""

EXCERPT_BEFORE = 300
"""Length of the excerpt before a match (characters)."""

EXCERPT_AFTER = 3000
"""Length of the excerpt from the start of a match (characters)."""


def find_crashes(text):
    """Find the first occurrence of each word that shows an unhandled error.

    Parameters
    ----------
    text : str
        Content of a log.

    Returns
    -------
    list of str
        One description for each word found, with an excerpt of the log.
    """
    return [
        f'{word} in the log: '
        f'{text[max(0, position - EXCERPT_BEFORE) : position + EXCERPT_AFTER]}'
        for word in CRASH_WORDS
        if (position := text.find(word)) >= 0
    ]
