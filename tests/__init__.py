"""Tests of cicadalever."""

from hypothesis import HealthCheck, settings
from loguru import logger

# Log lines of the code under test would hide the output of the test runner.
logger.remove()

# The same examples in each run, and no failure because of the time that they take.
settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repeatable")
