"""The rule by which the platform applies patches, the same as on every host."""

from collections.abc import Callable
from typing import Any

from cicadalever.configuration import Accepted, apply_patch

PatchRule = Callable[[dict, int, dict], tuple[dict, int, bool]]


def apply_or_keep(
    document: dict, version: int, patch: dict[str, Any]
) -> tuple[dict, int, bool]:
    """Return (document, version, accepted) after ``patch``.

    A patch that is not accepted leaves document and version as they are.
    """
    result = apply_patch(document, version, patch)
    if isinstance(result, Accepted):
        return result.document, result.version, True
    return document, version, False
