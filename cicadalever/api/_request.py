"""Schema and validation of the body of POST /v1/queries."""

import json
from typing import Annotated, Any, Literal, NotRequired

from pydantic import AfterValidator, Field, with_config
from typing_extensions import TypedDict

from cicadalever.outcomes import Failure
from cicadalever.validation import STRICT, DeadlineMs, Name, Validator


def check_printable(text: str) -> str:
    """Return ``text`` if it is printable ASCII; else raise ValueError.

    Request ids are sent to upstreams in an HTTP header.
    """
    if not (text.isascii() and text.isprintable()):
        raise ValueError("has a character that is not printable ASCII")
    return text


def check_finite(parameters: dict[str, Any]) -> dict[str, Any]:
    """Return ``parameters`` if JSON can represent them; else raise ValueError.

    The JSON parser reads a number such as 1e400 as infinity, which cannot be encoded
    again for an upstream.
    """
    try:
        json.dumps(parameters, allow_nan=False)
    except (ValueError, TypeError, RecursionError):
        raise ValueError("holds a value that JSON cannot represent") from None
    return parameters


@with_config(STRICT)
class QueryRequest(TypedDict):
    """A query as a caller sends it.

    ``kind`` defaults to that of the route, ``rank`` and ``deadline_ms`` to those of the
    kind. ``rank`` may be less urgent than that of the kind, but not more.
    ``idempotent`` defaults to true for a route with operation ``read`` and to false for
    one with operation ``run``.
    """

    id: Annotated[
        str, Field(min_length=1, max_length=128), AfterValidator(check_printable)
    ]
    route: Name
    kind: NotRequired[Name]
    rank: NotRequired[Literal["interactive", "batch", "report"]]
    deadline_ms: NotRequired[DeadlineMs]
    idempotent: NotRequired[bool]
    parameters: Annotated[dict[str, Any], AfterValidator(check_finite)]


_validator: Validator[QueryRequest] = Validator(QueryRequest, "request")


def check_query_request(body: bytes, max_bytes: int) -> QueryRequest | Failure:
    """Return the request in a JSON body of at most ``max_bytes``, or a failure."""
    return _validator.read(body, max_bytes)
