"""Protection of upstreams from requests that crash them.

A request is known by its fingerprint, an unsigned 64-bit hash of its route, operation
and parameters.
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
