"""Status of the responses that leave the process."""

from balsamwind import exceptions
from balsamwind import objects


def check_outgoing_status(status):
    """Return the status of a response to a caller as it is.

    Parameters
    ----------
    status : int
        HTTP status code, whoever asked for it.

    Raises
    ------
    balsamwind.exceptions.BadAnswer
        It is not that of a final response. The request may have run.
    """
    try:
        return objects.check_final_status(status, 'status')
    except exceptions.MalformedValue as error:
        raise exceptions.BadAnswer(
            f'the answer has no status for a caller: {error.message}'
        ) from None
