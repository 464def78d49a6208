"""Budgets of a process for what it holds for others, and who is dropped first."""

from ._descriptors import (
    DEFAULT_MAX_DESCRIPTORS,
    DescriptorBudget,
    DescriptorKind,
    DescriptorShare,
)
from ._held_bytes import HeldBytes
from ._memory import DEFAULT_MAX_BYTES, Dropped, HeldKind, MemoryBudget

__all__ = [
    "DEFAULT_MAX_BYTES",
    "DEFAULT_MAX_DESCRIPTORS",
    "DescriptorBudget",
    "DescriptorKind",
    "DescriptorShare",
    "Dropped",
    "HeldBytes",
    "HeldKind",
    "MemoryBudget",
]
