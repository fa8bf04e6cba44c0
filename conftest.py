"""What all tests share: derandomised hypothesis."""

import hypothesis


hypothesis.settings.register_profile(
    'balsamwind', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('balsamwind')
