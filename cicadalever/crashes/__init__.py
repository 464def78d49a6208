"""Protection of replicas from requests that crash them.

The query interface quarantines such requests after exclusive trials
(``cicadalever.quarantine``), which needs an owner for each replica. The gateway reads
directly: its hosts tell each other which replicas a request has lost or left alive.
"""

from ._canary_reads import CANARY_CHECK_S, CanaryReads, CanaryStep
from ._ledger import MAX_FINGERPRINTS, CrashLedger
from ._memory import SharedMemory
from ._suspicion import (
    CONFIRM_S,
    DECISION_S,
    FREE,
    MIN_CANARY_CRASHES,
    MIN_CRASHES,
    REFUSAL_S,
    Admission,
    AdmissionKind,
    CrashRecord,
    LostReplica,
    ReportedLoss,
    Suspicion,
)

__all__ = [
    "CONFIRM_S",
    "DECISION_S",
    "FREE",
    "CANARY_CHECK_S",
    "CanaryReads",
    "CanaryStep",
    "MAX_FINGERPRINTS",
    "MIN_CANARY_CRASHES",
    "MIN_CRASHES",
    "REFUSAL_S",
    "Admission",
    "AdmissionKind",
    "CrashLedger",
    "CrashRecord",
    "LostReplica",
    "ReportedLoss",
    "SharedMemory",
    "Suspicion",
]
