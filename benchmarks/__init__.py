"""Benchmarks of the decision code and of whole clusters.

A benchmark is a script, run by ``python -m benchmarks.<module>``. Simulators,
recorded traces, baselines and plots that the scripts share have modules of
their own.
"""
