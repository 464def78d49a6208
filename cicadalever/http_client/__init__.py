"""HTTP clients that take no answer with an incomplete head."""

from ._complete_head import (
    CompleteHeadConnection,
    CompleteHeadPool,
    CompleteHeadPoolManager,
)

__all__ = [
    "CompleteHeadConnection",
    "CompleteHeadPool",
    "CompleteHeadPoolManager",
]
