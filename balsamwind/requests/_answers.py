"""Check that an answer is whole, in order, and the caller's own."""

from balsamwind import exceptions
from balsamwind import ports


class AnswerChecker:
    """Follows the events of one attempt.

    Parameters
    ----------
    attempt_id : str
        Attempt whose events are expected.
    next_index : int
        Index of the first token that the caller does not have.
    """

    __slots__ = ('_attempt_id', '_finished', '_next_index', 'late')

    def __init__(self, attempt_id, next_index):
        self._attempt_id = attempt_id
        self._next_index = next_index
        self._finished = None
        self.late = 0

    @property
    def finished(self):
        """The engine's finish mark, or None."""
        return self._finished

    def accept(self, events):
        """Check events; the tokens to deliver.

        Events of another attempt are dropped and counted in `late`.

        Returns
        -------
        list of str

        Raises
        ------
        balsamwind.exceptions.BadAnswer
            A token is missing, repeated, or comes after the finish mark.
        """
        tokens = []
        for event in events:
            if event.attempt_id != self._attempt_id:
                self.late += 1
                continue
            if self._finished is not None:
                raise exceptions.BadAnswer('event after the finish mark')
            match event:
                case ports.Token(index=index, text=text):
                    self._check_index(index)
                    self._next_index += 1
                    tokens.append(text)
                case ports.Finished(tokens=count):
                    self._check_index(count)
                    self._finished = event
        return tokens

    def _check_index(self, index):
        if index != self._next_index:
            raise exceptions.BadAnswer(
                f'got token {index}, expected {self._next_index}'
            )
