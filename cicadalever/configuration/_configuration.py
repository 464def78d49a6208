"""Immutable view of one configuration version, with lookups by name."""

from collections.abc import Mapping
from copy import copy
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.scheduling import Rank
from cicadalever.topology import Replica

from ._document import DEFAULT_FLOORS, Document, PolicySpec, ServiceSpec

DEFAULT_HEDGE_QUANTILE = 0.95
DEFAULT_EXTRA_LOAD = 0.05
DEFAULT_QUARANTINE_TTL_S = 600.0


class Operation(StrEnum):
    """Whether a route reads its shards or runs a request that has side effects."""

    READ = "read"
    RUN = "run"


class CanaryMode(StrEnum):
    """Whether a request that has not succeeded yet is first sent as a single read."""

    ALWAYS = "always"
    NEVER = "never"


class Snapshot(NamedTuple):
    """A snapshot of the data.

    ``indexes`` maps the name of an index to the services of its shards by shard name.
    """

    id: int
    indexes: Mapping[str, Mapping[str, str]]


class QueryRoute(NamedTuple):
    """A named target of queries.

    ``indexes`` are the indexes whose shards a query spans. ``kind`` names the
    ``QueryKind`` that applies unless the query names another.
    """

    name: str
    indexes: tuple[str, ...]
    kind: str
    operation: Operation


class QueryKind(NamedTuple):
    """The scheduling rank and the default deadline of a kind of query."""

    rank: Rank
    deadline_ms: int


class Policy(NamedTuple):
    """Policy parameters with the defaults filled in.

    ``floors`` maps a rank to its minimum share of the dispatches (0 to 1).
    ``hedge_quantile`` is the latency quantile after which a read is hedged.
    ``extra_load`` is the maximum number of extra reads, such as hedges, per first read.
    """

    floors: Mapping[Rank, float]
    hedge_quantile: float
    extra_load: float
    quarantine_ttl_s: float
    canary: CanaryMode


class Configuration:
    """One version of the configuration, with lookup tables that are built once.

    ``document`` must be checked and must not be modified. Lookups of unknown names
    return None or a failure.
    """

    def __init__(self, sequence: int, version: int, document: Document):
        self._sequence = sequence
        self._version = version
        self._document = document
        self._policy = _read_policy(document.get("policy", {}))
        self._snapshots = {
            entry["id"]: Snapshot(entry["id"], entry["indexes"])
            for entry in document["snapshots"]
        }
        self._newest = self._snapshots[document["snapshots"][-1]["id"]]
        self._services = {
            name: _read_replicas(name, entry)
            for name, entry in document["services"].items()
        }
        self._replicas = {
            replica.id: replica
            for replicas in self._services.values()
            for replica in replicas
        }
        self._routes = {
            name: QueryRoute(
                name,
                tuple(entry["indexes"]),
                entry["kind"],
                Operation(entry["operation"]),
            )
            for name, entry in document["routes"].items()
        }
        self._kinds = {
            name: QueryKind(Rank.from_name(entry["rank"]), entry["deadline_ms"])
            for name, entry in document["kinds"].items()
        }
        self._shards: dict[tuple[tuple[str, ...], int], tuple] = {}

    def at_sequence(self, sequence: int) -> "Configuration":
        """Return the same version at a later sequence; shares the lookup tables."""
        later = copy(self)
        later._sequence = sequence
        return later

    @property
    def sequence(self) -> int:
        """Sequence number of the last applied log entry."""
        return self._sequence

    @property
    def version(self) -> int:
        """Number of this version."""
        return self._version

    @property
    def document(self) -> Document:
        """The checked document; it must not be modified."""
        return self._document

    @property
    def policy(self) -> Policy:
        """Policy parameters with the defaults filled in."""
        return self._policy

    @property
    def services(self) -> Mapping[str, tuple[Replica, ...]]:
        """Replicas of every service by service name."""
        return MappingProxyType(self._services)

    @property
    def replicas(self) -> Mapping[str, Replica]:
        """All replicas by id."""
        return MappingProxyType(self._replicas)

    @property
    def routes(self) -> Mapping[str, QueryRoute]:
        """All routes by name."""
        return MappingProxyType(self._routes)

    @property
    def kinds(self) -> Mapping[str, QueryKind]:
        """All kinds of query by name."""
        return MappingProxyType(self._kinds)

    def newest_snapshot(self) -> Snapshot:
        """Return the newest snapshot, which new queries read."""
        return self._newest

    def snapshot(self, snapshot_id: int) -> Snapshot | None:
        """Return a snapshot that this version lists."""
        return self._snapshots.get(snapshot_id)

    def service_of(self, snapshot_id: int, index: str, shard: str) -> str | Failure:
        """Return the service that holds a shard in a snapshot.

        Return a ``SNAPSHOT_GONE`` failure if the snapshot is not listed, ``NOT_FOUND``
        if it lacks the shard.
        """
        snapshot = self._snapshots.get(snapshot_id)
        if snapshot is None:
            reason = f"snapshot {snapshot_id} is not listed in version {self._version}"
            return Failure(FailureCode.SNAPSHOT_GONE, reason)
        service = snapshot.indexes.get(index, {}).get(shard)
        if service is None:
            reason = f"snapshot {snapshot_id} has no shard {index}/{shard}"
            return Failure(FailureCode.NOT_FOUND, reason)
        return service

    def replicas_of(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service; none for an unknown service."""
        return self._services.get(service, ())

    def replica(self, replica_id: str) -> Replica | None:
        """Return a replica by its id."""
        return self._replicas.get(replica_id)

    def route(self, name: str) -> QueryRoute | None:
        """Return a route by its name."""
        return self._routes.get(name)

    def kind(self, name: str) -> QueryKind | None:
        """Return a kind of query by its name."""
        return self._kinds.get(name)

    def shards_of(
        self, route: QueryRoute, snapshot: Snapshot
    ) -> tuple[tuple[str, str], ...] | Failure:
        """Return ``(shard name, service)`` of every shard that a route spans.

        Shard names have the form ``index/shard``. An older snapshot may lack an index
        of the route. The result is then a ``NOT_FOUND`` failure, because the shards of
        the other indexes would be taken for all shards of the route.
        """
        for index in route.indexes:
            if index not in snapshot.indexes:
                reason = f"snapshot {snapshot.id} has no index {index}"
                return Failure(FailureCode.NOT_FOUND, reason)
        key = (route.indexes, snapshot.id)
        if key not in self._shards:
            self._shards[key] = tuple(
                (f"{index}/{shard}", service)
                for index in route.indexes
                for shard, service in snapshot.indexes[index].items()
            )
        return self._shards[key]


def _read_replicas(service: str, entry: ServiceSpec) -> tuple[Replica, ...]:
    max_connections = entry["connections"] // len(entry["replicas"])
    return tuple(
        Replica(
            replica_id,
            service,
            replica["address"],
            replica["data_centre"],
            entry["slots"],
            max_connections,
            replica.get("draining", False),
        )
        for replica_id, replica in entry["replicas"].items()
    )


def _read_policy(entry: PolicySpec) -> Policy:
    floors = DEFAULT_FLOORS | entry.get("floors", {})
    return Policy(
        MappingProxyType(
            {Rank.from_name(name): floor for name, floor in floors.items()}
        ),
        entry.get("hedge_quantile", DEFAULT_HEDGE_QUANTILE),
        entry.get("extra_load", DEFAULT_EXTRA_LOAD),
        entry.get("quarantine_ttl_s", DEFAULT_QUARANTINE_TTL_S),
        CanaryMode(entry.get("canary", CanaryMode.ALWAYS)),
    )
