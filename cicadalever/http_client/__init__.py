"""HTTP clients that take no answer with an incomplete head or without end."""

from ._bounded_stream import MAX_LINE_BYTES, AnswerTooLargeError
from ._complete_head import (
    CompleteHeadConnection,
    CompleteHeadPool,
    CompleteHeadPoolManager,
)

__all__ = [
    "MAX_LINE_BYTES",
    "AnswerTooLargeError",
    "CompleteHeadConnection",
    "CompleteHeadPool",
    "CompleteHeadPoolManager",
]
