"""What all tests share: derandomised hypothesis, build tools."""

import pathlib
import sys

import hypothesis

BUILD_TOOLS = pathlib.Path(__file__).resolve().parent / 'build_tools'
sys.path.insert(0, str(BUILD_TOOLS))

hypothesis.settings.register_profile(
    'balsamwind', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('balsamwind')
