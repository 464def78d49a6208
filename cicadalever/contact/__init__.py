"""Whether this host can reach its upstreams, decided from evidence.

The decisions have no clock and no network: a caller reports what its connections and
other hosts have shown, and asks what to do next.
"""

from ._monitor import (
    MAX_PROBE_AGE_S,
    NEEDED_FAILURES,
    PROBE_PERIOD_S,
    ContactEvidence,
    ContactMonitor,
    ContactState,
)

__all__ = [
    "MAX_PROBE_AGE_S",
    "NEEDED_FAILURES",
    "PROBE_PERIOD_S",
    "ContactEvidence",
    "ContactMonitor",
    "ContactState",
]
