"""Benchmarks; figures on speed and policies are measured here, not in tests."""
