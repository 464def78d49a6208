"""The audit trail of one host."""

from ._trail import AuditEvent, AuditKind, AuditTrail

__all__ = ["AuditEvent", "AuditKind", "AuditTrail"]
