"""Descriptions of pydantic errors with path, allowed values and the given value."""

import reprlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from pydantic import ValidationError

MAX_ERRORS = 50
"""Bound on the errors in one reason; a broken document may have thousands."""

MAX_VALUE_CHARACTERS = 80
RANGE_ERRORS = {
    "greater_than",
    "greater_than_equal",
    "less_than",
    "less_than_equal",
    "finite_number",
}
TYPE_NAMES = {
    "int_type": "an integer",
    "float_type": "a number",
    "string_type": "a string",
    "bool_type": "true or false",
    "list_type": "a list",
    "dict_type": "an object",
}


def describe_errors(
    validation_error: ValidationError, schema: Mapping[str, Any], subject: str
) -> str:
    """Return one sentence per error, for example ``linger_s: 700 is not in 0..600 s``.

    ``schema`` is the JSON schema of the checked type; the allowed ranges are taken
    from it. ``subject`` names the whole value where an error has no path.
    """
    errors = validation_error.errors(include_url=False)
    return join_errors(_describe(error, schema, subject) for error in errors)


def join_errors(descriptions: Iterable[str]) -> str:
    """Join descriptions of errors in sorted order.

    The order of JSON members is then irrelevant: hosts that hold the same document
    must give the same reason for a refusal.
    """
    ordered = sorted(set(descriptions))
    shown = ordered[:MAX_ERRORS]
    if len(ordered) > MAX_ERRORS:
        shown.append(f"and {len(ordered) - MAX_ERRORS} more")
    return "; ".join(shown)


def format_value(value: Any) -> str:
    """Return a representation of at most ``MAX_VALUE_CHARACTERS`` and an ellipsis."""
    try:
        text = reprlib.repr(value)
    except ValueError:
        return "an integer with too many digits"
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[:MAX_VALUE_CHARACTERS] + "..."
    return text


def _describe(error: Mapping[str, Any], schema: Mapping[str, Any], subject: str) -> str:
    path = _format_path(error["loc"]) or subject
    if error["type"] == "missing":
        return f"{path}: is missing"
    value = format_value(error["input"])
    if error["type"] == "extra_forbidden":
        return f"{path}: unknown field, given {value}"
    return f"{path}: {value} {_describe_expectation(error, schema)}"


def _describe_expectation(error: Mapping[str, Any], schema: Mapping[str, Any]) -> str:
    kind = error["type"]
    if kind in RANGE_ERRORS:
        allowed = _allowed_range(_find_schema(schema, error["loc"]))
        return f"is not in {allowed}" if allowed else "is not a finite number"
    if kind in TYPE_NAMES:
        allowed = _allowed_range(_find_schema(schema, error["loc"]))
        return f"is not {TYPE_NAMES[kind]}" + (f" in {allowed}" if allowed else "")
    if kind == "literal_error":
        return f"is not {error['ctx']['expected']}"
    if kind == "string_pattern_mismatch":
        return f"does not match {error['ctx']['pattern']}"
    if kind == "value_error":
        return str(error["ctx"]["error"])
    return f"is refused: {error['msg']}"


def _format_path(location: Sequence[str | int]) -> str:
    parts = (str(part) for part in location)
    return ".".join(part for part in parts if part != "[key]")


def _find_schema(
    root: Mapping[str, Any], location: Sequence[str | int]
) -> Mapping[str, Any]:
    node = _resolve(root, root)
    for part in location:
        node = _resolve(root, _child(node, part))
    return node


def _resolve(root: Mapping[str, Any], node: Mapping[str, Any]) -> Mapping[str, Any]:
    if "$ref" in node:
        name = node["$ref"].rpartition("/")[2]
        return _resolve(root, root["$defs"][name])
    choices = [
        choice for choice in node.get("anyOf", ()) if choice.get("type") != "null"
    ]
    return _resolve(root, choices[0]) if choices else node


def _child(node: Mapping[str, Any], part: str | int) -> Mapping[str, Any]:
    if isinstance(part, int):
        return node.get("items", {})
    if part in node.get("properties", {}):
        return node["properties"][part]
    members = [*node.get("patternProperties", {}).values()]
    members.append(node.get("additionalProperties"))
    return next((member for member in members if isinstance(member, Mapping)), {})


def _allowed_range(node: Mapping[str, Any]) -> str:
    if "minimum" not in node or "maximum" not in node:
        return ""
    unit = f" {node['unit']}" if "unit" in node else ""
    return f"{node['minimum']}..{node['maximum']}{unit}"
