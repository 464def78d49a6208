"""Protection of upstreams from requests that crash them.

A request is identified by its fingerprint, an unsigned 64-bit hash of its route,
operation and parameters. A fingerprint is proven once a request with it succeeded, a
suspect when it may have crashed an upstream, and quarantined when it did so again.
Quarantined requests are refused.

A read in mode ``CANARY`` or ``EXCLUSIVE`` is called a trial. A canary is the first read
of a request that is not proven. An exclusive read runs alone on its replica, so that a
crash can only be due to it; suspects are read in this mode.
"""

from ._gate import RunningRead, TrialGate
from ._proven import ProvenFingerprints
from ._quarantine import CrashAttribution, FingerprintState, Quarantine, QuarantineEntry
from ._trial_order import trial_order

__all__ = [
    "FingerprintState",
    "ProvenFingerprints",
    "Quarantine",
    "QuarantineEntry",
    "RunningRead",
    "TrialGate",
    "CrashAttribution",
    "trial_order",
]
