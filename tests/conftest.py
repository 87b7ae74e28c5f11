"""Hypothesis profile with fixed seeds, so that test results are reproducible."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('ci')
