"""Application of JSON Patch operations without a copy of the whole document.

``jsonpatch`` copies the document or modifies it. A copy of a document of 400 KB takes
tens of milliseconds, so only the containers on the path of an operation are copied
before ``jsonpatch`` modifies them.
"""

import math
from collections.abc import Sequence
from typing import Any

import jsonpatch
import jsonpointer

from cicadalever.outcomes import Failure, FailureCode

from ._document import MAX_DOCUMENT_BYTES

MAX_DEPTH = 32
"""Nesting of containers. The schema needs 6; recursion stays far from its limit."""

MAX_WEIGHT = MAX_DOCUMENT_BYTES
"""Bound on what all operations of a patch add, copy, move and test, in bytes.

Without it, each ``copy`` of the document into itself doubles its size. The weight of a
value never exceeds its size as JSON, so one operation may replace the whole document.
"""

VALUE_WEIGHT = 2
MAX_PATH_CHARACTERS = 200
BITS_PER_DIGIT = 4
LIBRARY_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    LookupError,
    TypeError,
    ValueError,
)


class RefusedOperationError(Exception):
    """Ends the application of a patch; never leaves this module."""


def apply_operations(
    document: Any, operations: Sequence[dict[str, Any]]
) -> Any | Failure:
    """Return the patched document; it shares unchanged parts with ``document``."""
    application = _Application(document)
    for position, operation in enumerate(operations):
        try:
            application.apply(operation)
        except RefusedOperationError as error:
            path = operation["path"][:MAX_PATH_CHARACTERS]
            name = f"operations.{position}: {operation['op']} {path!r}"
            return Failure(FailureCode.INVALID, f"{name}: {error}")
    return application.root


class _Application:
    """One application of a patch.

    ``_private`` holds the containers that this application created, by identity. It
    keeps them alive, so that no identity is used again.
    """

    def __init__(self, root: Any):
        self.root = root
        self._private: dict[int, Any] = {}
        self._weight_left = MAX_WEIGHT

    def apply(self, operation: dict[str, Any]) -> None:
        name = operation["op"]
        path = operation["path"]
        if name == "test":
            self._charge(operation["value"], path)
            self._run(operation)
        elif name == "move":
            self._move(operation["from"], path)
        elif name == "copy":
            self._add(path, self._resolve(operation["from"]))
        elif name == "add":
            self._add(path, operation["value"])
        elif name == "replace":
            self._charge(operation["value"], path)
            self._modify(operation)
        else:
            self._modify(operation)

    def _move(self, source: str, target: str) -> None:
        # Removal first: it can shift list items, and with them the containers on the
        # target path that have to be copied.
        if target.startswith(source + "/"):
            raise RefusedOperationError("a value cannot move into itself")
        value = self._resolve(source)
        if source == target:
            return
        self._modify({"op": "remove", "path": source})
        self._add(target, value)

    def _add(self, path: str, value: Any) -> None:
        self._charge(value, path)
        self._modify({"op": "add", "path": path, "value": value})

    def _modify(self, operation: dict[str, Any]) -> None:
        self._copy_path(jsonpointer.JsonPointer(operation["path"]).parts[:-1])
        self._run(operation)

    def _run(self, operation: dict[str, Any]) -> None:
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
        """Make the containers on a path private; a missing part ends the walk."""
        node = self.root = self._make_private(self.root)
        for part in parts:
            try:
                key = jsonpointer.JsonPointer.get_part(node, part)
                child = self._make_private(node[key])
            except LIBRARY_ERRORS:
                return
            node[key] = child
            node = child

    def _make_private(self, node: Any) -> Any:
        if not isinstance(node, dict | list) or id(node) in self._private:
            return node
        private = node.copy()
        self._private[id(private)] = private
        return private

    def _charge(self, value: Any, path: str) -> None:
        depth_left = MAX_DEPTH - path.count("/")
        self._weight_left -= measure(value, self._weight_left, depth_left)


def measure(value: Any, max_weight: int, max_depth: int) -> int:
    """Return the weight of a JSON value: at most its size as JSON, in bytes.

    Raises RefusedOperationError if the value is heavier or deeper than allowed or
    cannot be represented in JSON. Does not recurse, so that the verdict is
    independent of the call stack.
    """
    weight = 0
    waiting = [(value, 1)]
    while waiting:
        item, depth = waiting.pop()
        weight += _weigh(item)
        if weight > max_weight:
            raise RefusedOperationError(f"the patch handles more than {MAX_WEIGHT} B")
        if isinstance(item, dict | list):
            if depth > max_depth:
                raise RefusedOperationError(f"nesting deeper than {MAX_DEPTH}")
            items = item.values() if isinstance(item, dict) else item
            waiting.extend((child, depth + 1) for child in items)
    return weight


def _weigh(item: Any) -> int:
    if isinstance(item, str):
        return VALUE_WEIGHT + _count_bytes(item)
    if isinstance(item, dict):
        return VALUE_WEIGHT + sum(map(_count_bytes, item))
    if isinstance(item, float) and not math.isfinite(item):
        raise RefusedOperationError("a number is out of range")
    if isinstance(item, int):
        return VALUE_WEIGHT + item.bit_length() // BITS_PER_DIGIT
    if item is None or isinstance(item, float | list):
        return VALUE_WEIGHT
    raise RefusedOperationError("a value cannot be represented in JSON")


def _count_bytes(text: Any) -> int:
    try:
        return len(text.encode())
    except (AttributeError, UnicodeEncodeError):
        message = "a string cannot be represented in JSON"
        raise RefusedOperationError(message) from None
