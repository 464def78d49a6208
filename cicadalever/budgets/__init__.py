"""Budgets of a process for what it holds for others, and who is dropped first."""

from ._memory import DEFAULT_MAX_BYTES, Dropped, HeldKind, MemoryBudget

__all__ = ["DEFAULT_MAX_BYTES", "Dropped", "HeldKind", "MemoryBudget"]
