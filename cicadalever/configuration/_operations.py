"""Application of JSON Patch operations without a copy of the whole document.

``jsonpatch`` either copies the document or modifies it in place. A copy of a document
of 400 KB takes tens of milliseconds, so only the containers on the path of an operation
are copied, and ``jsonpatch`` then modifies the copies.
"""

import math
from collections.abc import Sequence
from typing import Any

import jsonpatch
import jsonpointer

from cicadalever.outcomes import Failure, FailureCode

from ._document import MAX_DOCUMENT_BYTES

MAX_DEPTH = 32
"""Nesting of containers. The schema needs 6; keeps recursion far from its limit."""

MAX_HANDLED_BYTES = MAX_DOCUMENT_BYTES
"""Bound on the values that all operations of a patch add, copy, move and test.

Without it, each ``copy`` of the document into itself doubles its size. The estimated
size of a value never exceeds its size as JSON, so one operation may replace the whole
document.
"""

VALUE_BYTES = 2
"""Counted for each value, in addition to the bytes of its text, digits or keys."""

MAX_PATH_CHARACTERS = 200
BITS_PER_DIGIT = 4
"""A decimal digit holds fewer, so the size of an integer is not overestimated."""

LIBRARY_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    LookupError,
    TypeError,
    ValueError,
)


class RefusedOperationError(Exception):
    """Raised for an operation that cannot be applied; never leaves this module."""


def apply_operations(
    document: Any, operations: Sequence[dict[str, Any]]
) -> Any | Failure:
    """Return the patched document; it shares unchanged parts with ``document``."""
    application = _PatchApplication(document)
    for position, operation in enumerate(operations):
        try:
            application.apply(operation)
        except RefusedOperationError as error:
            path = operation["path"][:MAX_PATH_CHARACTERS]
            name = f"operations.{position}: {operation['op']} {path!r}"
            return Failure(FailureCode.INVALID, f"{name}: {error}")
    return application.root


class _PatchApplication:
    """The document while the operations of one patch are applied to it.

    ``_copies`` maps ``id()`` to each container that was made as a copy and may be
    modified. It keeps the copies alive, so that no other object gets their ids.
    """

    def __init__(self, root: Any):
        self.root = root
        self._copies: dict[int, Any] = {}
        self._bytes_left = MAX_HANDLED_BYTES

    def apply(self, operation: dict[str, Any]) -> None:
        name = operation["op"]
        path = operation["path"]
        if name == "test":
            self._reserve_bytes(operation["value"], path)
            self._apply_in_place(operation)
        elif name == "move":
            self._move(operation["from"], path)
        elif name == "copy":
            self._add(path, self._resolve(operation["from"]))
        elif name == "add":
            self._add(path, operation["value"])
        elif name == "replace":
            self._reserve_bytes(operation["value"], path)
            self._modify(operation)
        else:
            self._modify(operation)

    def _move(self, source: str, target: str) -> None:
        # The removal comes first, because it can shift list items. The target path
        # may then lead through other containers, which have to be copied.
        if target.startswith(source + "/"):
            raise RefusedOperationError("a value cannot move into itself")
        value = self._resolve(source)
        if source == target:
            return
        self._modify({"op": "remove", "path": source})
        self._add(target, value)

    def _add(self, path: str, value: Any) -> None:
        self._reserve_bytes(value, path)
        self._modify({"op": "add", "path": path, "value": value})

    def _modify(self, operation: dict[str, Any]) -> None:
        self._copy_path(jsonpointer.JsonPointer(operation["path"]).parts[:-1])
        self._apply_in_place(operation)

    def _apply_in_place(self, operation: dict[str, Any]) -> None:
        try:
            patch = jsonpatch.JsonPatch([operation])
            self.root = patch.apply(self.root, in_place=True)
        except jsonpatch.JsonPatchTestFailed:
            raise RefusedOperationError("the value is missing or differs") from None
        except LIBRARY_ERRORS:
            raise RefusedOperationError("does not apply at this location") from None

    def _resolve(self, path: str) -> Any:
        try:
            return jsonpointer.JsonPointer(path).resolve(self.root)
        except LIBRARY_ERRORS:
            shown = path[:MAX_PATH_CHARACTERS]
            raise RefusedOperationError(f"nothing at {shown!r}") from None

    def _copy_path(self, parts: Sequence[str]) -> None:
        """Copy the containers on a path, up to the first part that is missing."""
        node = self.root = self._copy_once(self.root)
        for part in parts:
            try:
                key = jsonpointer.JsonPointer.get_part(node, part)
                child = self._copy_once(node[key])
            except LIBRARY_ERRORS:
                return
            node[key] = child
            node = child

    def _copy_once(self, node: Any) -> Any:
        if not isinstance(node, dict | list) or id(node) in self._copies:
            return node
        duplicate = node.copy()
        self._copies[id(duplicate)] = duplicate
        return duplicate

    def _reserve_bytes(self, value: Any, path: str) -> None:
        depth_left = MAX_DEPTH - path.count("/")
        self._bytes_left -= estimate_json_bytes(value, self._bytes_left, depth_left)


def estimate_json_bytes(value: Any, max_bytes: int, max_depth: int) -> int:
    """Return a lower bound of the size of a value as JSON, in bytes.

    Raises ``RefusedOperationError`` if the value is larger or more deeply nested than
    allowed or cannot be represented in JSON. Does not recurse, so that the result does
    not depend on the depth of the call stack.
    """
    size = 0
    stack = [(value, 1)]
    while stack:
        item, depth = stack.pop()
        size += _count_item_bytes(item)
        if size > max_bytes:
            raise RefusedOperationError(
                f"the patch handles more than {MAX_HANDLED_BYTES} B"
            )
        if isinstance(item, dict | list):
            if depth > max_depth:
                raise RefusedOperationError(f"nesting deeper than {MAX_DEPTH}")
            items = item.values() if isinstance(item, dict) else item
            stack.extend((child, depth + 1) for child in items)
    return size


def _count_item_bytes(item: Any) -> int:
    if isinstance(item, str):
        return VALUE_BYTES + _count_bytes(item)
    if isinstance(item, dict):
        return VALUE_BYTES + sum(map(_count_bytes, item))
    if isinstance(item, float) and not math.isfinite(item):
        raise RefusedOperationError("a number is out of range")
    if isinstance(item, int):
        return VALUE_BYTES + item.bit_length() // BITS_PER_DIGIT
    if item is None or isinstance(item, float | list):
        return VALUE_BYTES
    raise RefusedOperationError("a value cannot be represented in JSON")


def _count_bytes(text: Any) -> int:
    try:
        return len(text.encode())
    except (AttributeError, UnicodeEncodeError):
        message = "a string cannot be represented in JSON"
        raise RefusedOperationError(message) from None
