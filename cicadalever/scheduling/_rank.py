"""Urgency ranks of requests."""

from enum import IntEnum


class Rank(IntEnum):
    """Urgency of a request; a lower value is served first."""

    INTERACTIVE = 0
    BATCH = 1
    REPORT = 2

    @classmethod
    def from_name(cls, name: str) -> "Rank":
        """Return the rank for ``interactive``, ``batch`` or ``report``."""
        return cls[name.upper()]
