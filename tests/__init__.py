"""Tests of cicadalever."""

from loguru import logger

# The log of the code under test would hide the output of the test runner.
logger.remove()
