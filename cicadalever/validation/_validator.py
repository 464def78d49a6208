"""Validator of Python values and JSON texts against one type."""

from functools import cached_property
from typing import Any, Generic, TypeVar

from pydantic import TypeAdapter, ValidationError
from pydantic_core import from_json

from cicadalever.outcomes import Failure, FailureCode

from ._errors import describe_errors

T = TypeVar("T")


class Validator(Generic[T]):
    """Checks values against one type and returns a failure instead of raising.

    ``subject`` names the whole value in the reason of a failure:

    >>> Validator(list[int], "counts").check([1, 2])
    [1, 2]
    >>> Validator(list[int], "counts").check(3).reason
    'counts: 3 is not a list'
    """

    def __init__(self, checked_type: Any, subject: str):
        self.checked_type = checked_type
        self.subject = subject

    def check(self, value: Any) -> T | Failure:
        """Return a checked copy of ``value`` with its defaults filled in."""
        try:
            return self._adapter.validate_python(value, strict=True)
        except ValidationError as error:
            reason = describe_errors(error, self._schema, self.subject)
            return Failure(FailureCode.INVALID, reason)

    def read(self, body: bytes, max_bytes: int) -> T | Failure:
        """Return the checked value of a JSON text of at most ``max_bytes``."""
        if len(body) > max_bytes:
            reason = f"{self.subject}: {len(body)} bytes are not in 0..{max_bytes}"
            return Failure(FailureCode.TOO_LARGE, reason)
        try:
            value = from_json(body, allow_inf_nan=False)
        except ValueError as error:
            reason = f"{self.subject}: is not JSON: {error}"
            return Failure(FailureCode.INVALID, reason)
        return self.check(value)

    @cached_property
    def _adapter(self) -> TypeAdapter[T]:
        return TypeAdapter(self.checked_type)

    @cached_property
    def _schema(self) -> dict[str, Any]:
        return self._adapter.json_schema()
