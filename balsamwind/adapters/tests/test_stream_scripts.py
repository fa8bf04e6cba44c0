"""Property test: random engine responses give a correct answer or an error."""

import asyncio

import hypothesis
from hypothesis import strategies

from balsamwind.adapters.tests import completion_helpers
from balsamwind.adapters.tests import scripted
from balsamwind import exceptions

RANDOM_EVENTS = strategies.one_of(
    strategies.builds(
        scripted.make_token,
        strategies.integers(0, 3),
        strategies.sampled_from(
            [scripted.OWN_ATTEMPT, scripted.OWN_ATTEMPT, 'r.0']
        ),
    ),
    strategies.builds(
        scripted.make_finish, strategies.sampled_from([0, 2, 4])
    ),
    strategies.just(scripted.make_chunk(b'data: {}\n\n')),
)

LAST_STEPS = strategies.sampled_from(
    [scripted.END, scripted.CUT, scripted.RESET]
)


@hypothesis.settings(max_examples=80)
@hypothesis.given(
    scripts=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4),
            strategies.lists(RANDOM_EVENTS, max_size=5),
            LAST_STEPS,
        ),
        min_size=1,
        max_size=3,
    )
)
def test_random_scripts_give_a_prefix_or_an_error(scripts):
    """Each script has some correct tokens, then random events and an end.

    The caller must get a prefix of the answer, and no clean end unless the
    answer is complete.
    """

    async def run():
        first = scripted.ScriptedEngine(
            [
                [
                    scripted.RESPONSE_HEAD,
                    *map(scripted.make_token, range(count)),
                    *events,
                    end,
                ]
                for count, events, end in scripts
            ]
        )
        second = scripted.ScriptedEngine()
        async with first.listen(), second.listen():
            path = completion_helpers.CompletionPath(
                [first.address, second.address]
            )
            tokens = []
            try:
                request = path.make_request()
                async for batch in path.completions.run(request):
                    tokens += batch
            except exceptions.BalsamwindError as error:
                return tokens, error
            finally:
                path.client.close()
        return tokens, None

    tokens, error = asyncio.run(run())
    assert tokens == scripted.ANSWER[: len(tokens)]
    assert error is not None or is_complete(tokens, scripts)


def is_complete(tokens, scripts):
    """Return whether an answer that ended without an error is complete.

    It has all tokens, or as many as a finish event of a script says.
    """
    if tokens == scripted.ANSWER:
        return True
    finish_counts = [
        event['tokens']
        for _, events, _ in scripts
        for event in events
        if isinstance(event, dict) and 'finish' in event
    ]
    return len(tokens) in finish_counts
