"""Hypothesis profile of all tests: derandomised, so that runs repeat."""

import hypothesis


hypothesis.settings.register_profile(
    'balsamwind', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('balsamwind')
