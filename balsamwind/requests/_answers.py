"""Validation of the event stream that an engine returns for an attempt."""

from balsamwind import exceptions
from balsamwind import ports


class AnswerChecker:
    """Check the events of one attempt for completeness and order.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt; events that carry another id are dropped.
    next_index : int
        Index in the answer of the first token that the caller has not
        received (count from 0).

    Attributes
    ----------
    late_events : int
        Events of other attempts that were dropped (count).
    """

    __slots__ = ('_attempt_id', '_finish_event', '_next_index', 'late_events')

    def __init__(self, attempt_id, next_index):
        self._attempt_id = attempt_id
        self._next_index = next_index
        self._finish_event = None
        self.late_events = 0

    @property
    def finish_event(self):
        """balsamwind.ports.FinishEvent or None : The event, once received."""
        return self._finish_event

    def accept(self, events):
        """Check events and extract the tokens to send to the caller.

        Events of another attempt are dropped and counted in `late_events`.

        Parameters
        ----------
        events : list of balsamwind.ports.Token or balsamwind.ports.FinishEvent
            Events in the order in which they arrived.

        Returns
        -------
        list of str
            Texts of the tokens, in the order of the answer.

        Raises
        ------
        balsamwind.exceptions.BadAnswer
            A token is missing, repeated, or follows the finish event, or
            the token count of the finish event is wrong.
        """
        texts = []
        for event in events:
            if event.attempt_id != self._attempt_id:
                self.late_events += 1
                continue
            if self._finish_event is not None:
                raise exceptions.BadAnswer(
                    'engine sent an event after the finish event'
                )
            match event:
                case ports.Token(index=index, text=text):
                    self._check_index(index)
                    self._next_index += 1
                    texts.append(text)
                case ports.FinishEvent(tokens=token_count):
                    # The finish event carries the length of the whole
                    # answer, which equals the index after the last token.
                    self._check_index(token_count)
                    self._finish_event = event
        return texts

    def _check_index(self, index):
        if index != self._next_index:
            raise exceptions.BadAnswer(
                f'token sequence broken: got index {index}, '
                f'expected {self._next_index}'
            )
