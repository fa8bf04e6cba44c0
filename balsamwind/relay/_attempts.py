"""What a failed attempt says, and whether another one is allowed."""

import dataclasses

from balsamwind import exceptions


class StandsStill(Exception):
    """The group does not go on with its work."""


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """An attempt without an answer that could be relayed.

    Parameters
    ----------
    error : balsamwind.exceptions.BalsamwindError
        What the caller would be told.
    sent : bool
        Whether a byte of the request may have left.
    stalled : bool
        Whether the group stood still.
    counts : bool
        Whether it speaks against the backend server.
    """

    error: exceptions.BalsamwindError
    sent: bool = True
    stalled: bool = False
    counts: bool = True


def judge_answer(status, answer):
    """Tell what is wrong with the headers of an answer.

    Parameters
    ----------
    status : int
        HTTP status.
    answer : AnswerTerms
        What its headers say.

    Returns
    -------
    Failure or None
    """
    if answer.not_run or status == 421:
        error = exceptions.BackendRefused(
            f'the backend server answered with {status}'
        )
        return Failure(error, counts=status == 421)
    if 200 <= status < 300 and not answer.stamped:
        return Failure(exceptions.BadAnswer('the answer is not signed'))
    return None


def may_send_again(route, sends, failure):
    """Whether a request may be sent once more.

    Parameters
    ----------
    route : balsamwind.traffic.Route
        Its route.
    sends : int
        How often it has been sent (count).
    failure : Failure
        What became of the last attempt.
    """
    if sends >= route.max_attempts:
        return False
    return failure.error.run == exceptions.NOT_RUN or route.repeatable
