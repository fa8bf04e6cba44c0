"""Whatever an engine sends, the caller gets the whole answer or an error."""

import asyncio

import hypothesis
from hypothesis import strategies

from balsamwind.adapters.tests import parts
from balsamwind.adapters.tests import scripted
from balsamwind import exceptions

EVENTS = strategies.one_of(
    strategies.builds(
        scripted.token,
        strategies.integers(0, 3),
        strategies.sampled_from([scripted.OWN, scripted.OWN, 'r.0']),
    ),
    strategies.builds(scripted.finish, strategies.sampled_from([0, 2, 4])),
    strategies.just(scripted.make_chunk(b'data: {}\n\n')),
)

ENDS = strategies.sampled_from([scripted.END, scripted.CUT, scripted.RESET])


@hypothesis.settings(max_examples=80)
@hypothesis.given(
    scripts=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4),
            strategies.lists(EVENTS, max_size=5),
            ENDS,
        ),
        min_size=1,
        max_size=3,
    )
)
def test_random_scripts(scripts):
    """Each script begins with some proper tokens, then goes wrong."""

    async def run():
        first = scripted.ScriptedEngine(
            [
                [
                    scripted.HEADERS,
                    *map(scripted.token, range(count)),
                    *events,
                    end,
                ]
                for count, events, end in scripts
            ]
        )
        second = scripted.ScriptedEngine()
        async with first.listen(), second.listen():
            path = parts.Path([first.address, second.address])
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
    assert tokens == scripted.WORDS[: len(tokens)]
    assert error is not None or finished(tokens, scripts)


def finished(tokens, scripts):
    """Whether an answer without an error has every token up to a mark."""
    if tokens == scripted.WORDS:
        return True
    marks = [
        event['tokens']
        for _, events, _ in scripts
        for event in events
        if isinstance(event, dict) and 'finish' in event
    ]
    return len(tokens) in marks
