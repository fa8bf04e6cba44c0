"""What logs of processes say of defects."""

CRASHES = ('round_crashed', 'request_crashed', 'action_crashed', 'Traceback')
"""Words that tell of a defect."""

BEFORE = 300
"""Text before a word that is quoted (characters)."""

AFTER = 3000
"""Text after a word that is quoted (characters)."""


def find_crashes(text):
    """First place of each word that tells of a defect, with what is around.

    Parameters
    ----------
    text : str
        A log.

    Returns
    -------
    list of str
    """
    return [
        f'{word} in the log: {text[max(0, place - BEFORE) : place + AFTER]}'
        for word in CRASHES
        if (place := text.find(word)) >= 0
    ]
