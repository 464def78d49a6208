"""The default rule that folds patches, without schema checks."""

from collections.abc import Callable
from typing import Any

import jsonpatch

Fold = Callable[[dict, int, dict], tuple[dict, int, bool]]


def fold_unchecked(
    document: dict, version: int, patch: dict[str, Any]
) -> tuple[dict, int, bool]:
    """Return (document, version, accepted) after ``patch``.

    A patch applies when its ``against`` equals the version and its operations apply.
    """
    if patch.get("against") != version:
        return document, version, False
    try:
        result = jsonpatch.apply_patch(document, patch.get("operations", []))
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException, TypeError):
        return document, version, False
    return result, version + 1, True
