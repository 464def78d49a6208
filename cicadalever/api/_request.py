"""Schema of a caller's request."""

import json
from typing import Annotated, Any, Literal, NotRequired

from pydantic import AfterValidator, Field, with_config
from typing_extensions import TypedDict

from cicadalever.outcomes import Failure
from cicadalever.validation import STRICT, DeadlineMs, Name, Validator


def check_printable(text: str) -> str:
    """Return ``text`` if it is printable ASCII; else raise ValueError.

    The id is sent to upstreams in a header.
    """
    if not (text.isascii() and text.isprintable()):
        raise ValueError("has a character that is not printable ASCII")
    return text


def check_finite(parameters: dict[str, Any]) -> dict[str, Any]:
    """Return ``parameters`` if JSON can represent them; else raise ValueError.

    The JSON parser turns a number such as 1e400 into infinity, which cannot be sent
    on to an upstream.
    """
    try:
        json.dumps(parameters, allow_nan=False)
    except (ValueError, TypeError, RecursionError):
        raise ValueError("holds a value that JSON cannot represent") from None
    return parameters


@with_config(STRICT)
class QueryRequest(TypedDict):
    """A caller's query.

    ``kind`` and ``deadline_ms`` default to those of the route. ``idempotent`` defaults
    to true for a route that reads and to false for one that runs. ``rank`` may make a
    request less urgent than its kind, not more.
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


_reader: Validator[QueryRequest] = Validator(QueryRequest, "request")


def check_query_request(body: bytes, max_bytes: int) -> QueryRequest | Failure:
    """Return the request in a JSON body of at most ``max_bytes``."""
    return _reader.read(body, max_bytes)
