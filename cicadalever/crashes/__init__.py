"""Protection of replicas from requests that crash them.

The query interface quarantines such requests after exclusive trials
(``cicadalever.quarantine``), which needs an owner for each replica. The gateway reads
directly: its hosts tell each other which replicas a request has lost or left alive.
"""

from ._ledger import MAX_FINGERPRINTS, CrashLedger
from ._lone_reads import LONE_READ_CHECK_S, LoneReads, LoneStep
from ._memory import SharedMemory
from ._suspicion import (
    CONFIRM_S,
    DECISION_S,
    FREE,
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
    "LONE_READ_CHECK_S",
    "LoneReads",
    "LoneStep",
    "MAX_FINGERPRINTS",
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
