"""Schema and semantic checks of the configuration document.

The schema has no defaults: the document in force is exactly what the operators wrote,
so a patch gives the same result on hosts whose software differs in defaults.
``Configuration`` applies the defaults when the document is read.
"""

from collections.abc import Iterator
from typing import Annotated, Any, Literal, NotRequired

import msgspec
from pydantic import Field, with_config
from typing_extensions import TypedDict

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.validation import (
    MAX_INTEGER,
    STRICT,
    Address,
    DeadlineMs,
    Name,
    Validator,
    address_key,
    format_value,
    join_errors,
)

MAX_DOCUMENT_BYTES = 1_000_000
"""Largest document as JSON; the platform stores values of at most 1 MB."""

MAX_FLOOR = 0.5
"""Largest share of the dispatches that one less urgent rank can be given."""

MAX_FLOOR_SUM = 0.9
"""Bound on the sum of the floors, so that interactive work keeps some dispatches."""

ROUNDING_TOLERANCE = 1e-9
DEFAULT_FLOORS = {"batch": 0.10, "report": 0.05}

Floor = Annotated[float, Field(ge=0, le=MAX_FLOOR)]


@with_config(STRICT)
class ReplicaSpec(TypedDict):
    """One replica of a service."""

    address: Address
    data_centre: Name
    draining: NotRequired[bool]


@with_config(STRICT)
class ServiceSpec(TypedDict):
    """A service.

    ``slots`` is the number of requests that a replica runs at once, ``connections``
    the connection limit over all replicas.
    """

    slots: Annotated[int, Field(ge=1, le=1024)]
    connections: Annotated[int, Field(ge=1, le=100_000)]
    replicas: Annotated[dict[Name, ReplicaSpec], Field(min_length=1)]


Shards = Annotated[dict[Name, Name], Field(min_length=1)]


@with_config(STRICT)
class SnapshotSpec(TypedDict):
    """A snapshot; each index maps shard names to services."""

    id: Annotated[int, Field(ge=0, le=MAX_INTEGER)]
    indexes: dict[Name, Shards]


@with_config(STRICT)
class RouteSpec(TypedDict):
    """A route that callers name in queries."""

    indexes: Annotated[list[Name], Field(min_length=1)]
    kind: Name
    operation: Literal["read", "run"]


@with_config(STRICT)
class KindSpec(TypedDict):
    """The scheduling rank and the default deadline of a kind of query."""

    rank: Literal["interactive", "batch", "report"]
    deadline_ms: DeadlineMs


@with_config(STRICT)
class FloorsSpec(TypedDict):
    """Minimum share of the dispatches for a less urgent rank while its reads wait."""

    batch: NotRequired[Floor]
    report: NotRequired[Floor]


@with_config(STRICT)
class PolicySpec(TypedDict):
    """Parameters of scheduling, hedging and quarantine."""

    floors: NotRequired[FloorsSpec]
    hedge_quantile: NotRequired[Annotated[float, Field(ge=0.5, le=0.999)]]
    extra_load: NotRequired[Annotated[float, Field(ge=0, le=1)]]
    quarantine_ttl_s: NotRequired[
        Annotated[float, Field(ge=1, le=86_400, json_schema_extra={"unit": "s"})]
    ]
    canary: NotRequired[Literal["always", "never"]]


@with_config(STRICT)
class Document(TypedDict):
    """The whole configuration document."""

    services: dict[Name, ServiceSpec]
    snapshots: Annotated[list[SnapshotSpec], Field(min_length=1)]
    routes: dict[Name, RouteSpec]
    kinds: dict[Name, KindSpec]
    policy: NotRequired[PolicySpec]


_validator: Validator[Document] = Validator(Document, "document")


def check_document(value: Any) -> Document | Failure:
    """Return a checked copy of ``value``, or a failure that names every error.

    The copy shares no containers with ``value``.
    """
    return _check_semantics(_validator.check(value))


def read_document(body: bytes) -> Document | Failure:
    """Return the checked document in a JSON text, for example from a peer."""
    return _check_semantics(_validator.read(body, MAX_DOCUMENT_BYTES))


def _check_semantics(document: Document | Failure) -> Document | Failure:
    if isinstance(document, Failure):
        return document
    errors = join_errors(_find_errors(document))
    if errors:
        return Failure(FailureCode.INVALID, errors)
    size = len(msgspec.json.encode(document))
    if size > MAX_DOCUMENT_BYTES:
        reason = f"document: {size} bytes are not in 0..{MAX_DOCUMENT_BYTES}"
        return Failure(FailureCode.TOO_LARGE, reason)
    return document


def _find_errors(document: Document) -> Iterator[str]:
    yield from _find_service_errors(document["services"])
    yield from _find_snapshot_errors(document)
    yield from _find_route_errors(document)
    yield from _find_floor_errors(document.get("policy", {}).get("floors", {}))


def _find_service_errors(services: dict[str, ServiceSpec]) -> Iterator[str]:
    replicas: set[str] = set()
    addresses: set[tuple[bytes, int] | None] = set()
    for name, service in services.items():
        count = len(service["replicas"])
        if service["connections"] < count:
            yield (
                f"services.{name}.connections: {service['connections']} is less than"
                f" the number of replicas, {count}"
            )
        for replica_id, replica in service["replicas"].items():
            path = f"services.{name}.replicas.{replica_id}"
            if replica_id in replicas:
                yield f"{path}: another service has a replica with this name"
            replicas.add(replica_id)
            key = address_key(replica["address"])
            if key in addresses:
                yield f"{path}.address: {replica['address']} is used twice"
            addresses.add(key)


def _find_snapshot_errors(document: Document) -> Iterator[str]:
    services = document["services"].keys()
    previous = -1
    for position, snapshot in enumerate(document["snapshots"]):
        path = f"snapshots.{position}"
        if snapshot["id"] <= previous:
            yield f"{path}.id: {snapshot['id']} is not above {previous}"
        previous = snapshot["id"]
        for index, shards in snapshot["indexes"].items():
            if services >= set(shards.values()):
                continue
            for shard, service in shards.items():
                if service not in services:
                    yield f"{path}.indexes.{index}.{shard}: no service {service}"


def _find_route_errors(document: Document) -> Iterator[str]:
    indexes = document["snapshots"][-1]["indexes"]
    for name, route in document["routes"].items():
        path = f"routes.{name}"
        if route["kind"] not in document["kinds"]:
            yield f"{path}.kind: no kind {route['kind']}"
        if len(set(route["indexes"])) < len(route["indexes"]):
            yield f"{path}.indexes: {format_value(route['indexes'])} names one twice"
        for index in route["indexes"]:
            if index not in indexes:
                yield f"{path}.indexes: no index {index} in the newest snapshot"


def _find_floor_errors(floors: FloorsSpec) -> Iterator[str]:
    total = sum((DEFAULT_FLOORS | floors).values())
    if total > MAX_FLOOR_SUM + ROUNDING_TOLERANCE:
        yield f"policy.floors: the sum {total:g} is not in 0..{MAX_FLOOR_SUM}"
