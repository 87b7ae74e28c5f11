"""Fixed seeds and no deadlines: the tests give the same verdict each time."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('ci')
