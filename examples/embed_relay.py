"""Serve completions inside another tornado program, without the daemon.

The request path runs on a fake engine. The first replica group fails in the
middle of the answer. The answer is resumed at the second group and arrives
completely.
"""

import asyncio

from balsamwind import adapters
from balsamwind import admission
from balsamwind import exceptions
from balsamwind import ports
from balsamwind import requests
from balsamwind import routing
from balsamwind import settings
from examples import embed_routing

ANSWER = ('next', 'month', 'it', 'is', 'Nino')


class FakeStream:
    """Token stream that fails after two tokens on the first attempt.

    Parameters
    ----------
    call : balsamwind.ports.GenerateRequest
        Attempt that the stream answers.
    """

    def __init__(self, call):
        self._call = call
        self._next_index = len(call.resume)

    async def read(self, timeout):
        """Read the next event.

        Parameters
        ----------
        timeout : float
            Longest wait (seconds); unused because events are ready.

        Returns
        -------
        list of Token or FinishEvent
            One event; empty after the end of the stream.

        Raises
        ------
        TransportError
            The first attempt has delivered two tokens.
        """
        attempt_id = self._call.attempt_id
        if attempt_id.endswith('.1') and self._next_index == 2:
            raise exceptions.TransportError('the group lost a member')
        if self._next_index == len(ANSWER):
            self._next_index += 1
            return [ports.FinishEvent(attempt_id, 'stop', len(ANSWER))]
        if self._next_index > len(ANSWER):
            return []
        self._next_index += 1
        text = ANSWER[self._next_index - 1]
        return [ports.Token(attempt_id, self._next_index - 1, text)]

    def close(self):
        """Do nothing: the stream holds no resources."""


class FakeEngine:
    """Engine that records the groups to which attempts were sent.

    Attributes
    ----------
    requested_groups : list of str
        Group of each attempt, in order.
    """

    def __init__(self):
        self.requested_groups = []

    async def generate(self, address, call, timeout):
        """Start an attempt.

        Parameters
        ----------
        address : str
            Address of the group's head, unused here.
        call : balsamwind.ports.GenerateRequest
            The attempt.
        timeout : float
            Longest wait for the start of the answer (seconds); unused.

        Returns
        -------
        FakeStream
            Answer to the attempt.
        """
        self.requested_groups.append(call.group)
        return FakeStream(call)


class FakeGroups:
    """Two replica groups that serve until they are reported as down."""

    def __init__(self):
        self._groups = [
            embed_routing.make_group(name) for name in ('blue', 'green')
        ]

    def find_serving_groups(self, contract, model, now):
        """Get the groups that serve a model of a contract.

        Parameters
        ----------
        contract : str
            Name of the contract, unused here.
        model : str
            Name of the model, unused here.
        now : float
            Current monotonic time (seconds), unused here.

        Returns
        -------
        list of Group
            Groups that have not been reported as down.
        """
        return self._groups

    def handle_group_down(self, group, reason):
        """Remove a group that has failed.

        Parameters
        ----------
        group : Group
            The failed group.
        reason : str
            Reason for the failure.
        """
        print(f'{group.name} is down: {reason}')
        self._groups = [
            other for other in self._groups if other.name != group.name
        ]

    def count_late_events(self, count):
        """Ignore the number of events of an abandoned attempt.

        Parameters
        ----------
        count : int
            Number of discarded events.
        """

    def count_resumption(self, step_name):
        """Print how an answer was resumed by another attempt.

        Parameters
        ----------
        step_name : str
            Method of resumption.
        """
        print('resumed by', step_name)


class FakeContract:
    """Attributes of a contract that the request path reads."""

    customer = 'rotagzeli'
    priority = 7


async def run():
    """Run one request.

    Returns
    -------
    answer : tuple of str
        Tokens of the answer.
    requested_groups : list of str
        Group of each attempt, in order.
    """
    engine = FakeEngine()
    groups = FakeGroups()
    clock = adapters.SystemClock()
    completions = requests.CompletionRunner(
        engine,
        groups,
        routing.make_router('tbilisi-a', lambda group: None, random_state=3),
        admission.RetryBudget(0.2),
        settings.RequestSettings(),
        clock,
        groups,
    )
    request = requests.CompletionRequest(
        'r1', FakeContract(), 'rota-model', 'who?', 5, clock.monotonic() + 9
    )
    tokens = []
    async for batch in completions.run(request):
        tokens.extend(batch)
    print('answer:', ' '.join(tokens), 'from', engine.requested_groups)
    return tuple(tokens), engine.requested_groups


if __name__ == '__main__':
    asyncio.run(run())
