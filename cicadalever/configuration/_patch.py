"""Checks a patch and applies it to one version of the document.

This is deterministic and has no side effects. All hosts apply the same log and must
accept the same patches, so no result may depend on the depth of the call stack,
on the order of JSON members or on messages that quote the document.
"""

from typing import Annotated, Any, Literal, NamedTuple, NotRequired

import jsonpointer
from pydantic import AfterValidator, Field, with_config
from typing_extensions import TypedDict

from cicadalever.outcomes import Failure
from cicadalever.validation import MAX_INTEGER, STRICT, Validator

from ._document import Document, check_document
from ._operations import MAX_DEPTH, apply_operations

MAX_OPERATIONS = 1000
REQUIRED_MEMBERS = {
    "add": "value",
    "replace": "value",
    "test": "value",
    "move": "from",
    "copy": "from",
    "remove": "path",
}


def check_pointer(path: str) -> str:
    """Return ``path`` if it is a JSON Pointer; else raise ValueError."""
    try:
        pointer = jsonpointer.JsonPointer(path)
    except jsonpointer.JsonPointerException as error:
        raise ValueError(f"is not a JSON Pointer: {error}") from None
    if len(pointer.parts) > MAX_DEPTH:
        raise ValueError(f"has more than {MAX_DEPTH} parts")
    return path


def check_members(operation: dict[str, Any]) -> dict[str, Any]:
    """Return ``operation`` if it is complete; else raise ValueError."""
    member = REQUIRED_MEMBERS[operation["op"]]
    if member not in operation:
        raise ValueError(f"has no member '{member}'")
    return operation


Pointer = Annotated[str, Field(max_length=4096), AfterValidator(check_pointer)]

# RFC 6902: members that are not defined for an operation are ignored.
PatchOperation = with_config(STRICT | {"extra": "ignore"})(
    TypedDict(
        "PatchOperation",
        {
            "op": Literal["add", "remove", "replace", "move", "copy", "test"],
            "path": Pointer,
            "from": NotRequired[Pointer],
            "value": NotRequired[Any],
        },
    )
)
CheckedOperation = Annotated[PatchOperation, AfterValidator(check_members)]


@with_config(STRICT)
class PatchEntry(TypedDict):
    """Schema of the patch in a log entry."""

    id: Annotated[str, Field(min_length=1, max_length=128)]
    against: Annotated[int, Field(ge=0, le=MAX_INTEGER)]
    author: Annotated[str, Field(max_length=128)]
    operations: Annotated[list[CheckedOperation], Field(max_length=MAX_OPERATIONS)]


class Patch(NamedTuple):
    """A well-formed patch of version ``against``; ``operations`` follow RFC 6902."""

    id: str
    against: int
    author: str
    operations: list[dict[str, Any]]


class Accepted(NamedTuple):
    """The patch applies; ``document`` is the content of ``version``."""

    version: int
    document: Document


class Refused(NamedTuple):
    """The patch is refused; a falsy value."""

    reason: str

    def __bool__(self) -> bool:
        """Return False, so that callers can write ``if not result``."""
        return False


_validator: Validator[PatchEntry] = Validator(PatchEntry, "patch")


def check_patch(value: Any) -> Patch | Failure:
    """Return the patch in ``value``, a JSON object or a ``Patch``, if well-formed."""
    entry = _validator.check(value._asdict() if isinstance(value, Patch) else value)
    return entry if isinstance(entry, Failure) else Patch(**entry)


def apply_patch(document: Document, version: int, patch: Any) -> Accepted | Refused:
    """Apply ``patch`` to ``document``, the content of ``version``.

    ``patch`` is a ``Patch`` or the JSON value of a log entry. Neither argument is
    modified, and an accepted document shares no containers with either.
    """
    checked = check_patch(patch)
    if isinstance(checked, Failure):
        return Refused(checked.reason)
    if checked.against != version:
        return Refused(f"against version {checked.against}, in force is {version}")
    candidate = apply_operations(document, checked.operations)
    if isinstance(candidate, Failure):
        return Refused(candidate.reason)
    result = check_document(candidate)
    if isinstance(result, Failure):
        return Refused(result.reason)
    return Accepted(version + 1, result)
