"""Benchmarks: speed and policy figures live here, never in the tests."""
