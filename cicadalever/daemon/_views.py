"""The views of the administration interface, built from the state of a daemon."""

import time
from typing import Any

from cicadalever.api import (
    AuditView,
    HealthState,
    MemberView,
    PatchCheckView,
    QuarantineView,
    RouteView,
    StatusView,
    UpstreamView,
    VersionsView,
)
from cicadalever.configuration import Accepted, apply_patch, check_patch
from cicadalever.outcomes import Failure
from cicadalever.scheduling import Rank
from cicadalever.topology import Replica


class DaemonViews:
    """Builds the views of a ``Daemon`` from the state of its components."""

    def __init__(self, daemon):
        self.daemon = daemon

    def status(self) -> StatusView:
        """Return the state of this host."""
        daemon = self.daemon
        host = daemon.membership.self_host
        admission = daemon.coordinator.admission
        history = daemon.synchronizer.history
        now = time.monotonic()
        return {
            "host_id": host.id,
            "data_centre": host.data_centre,
            "region": host.region,
            "roles": list(host.roles),
            "state": daemon.health(),
            "uptime_s": round(now - daemon.started_at, 3),
            "incarnation": daemon.membership.table.incarnation,
            "version": history.version,
            "sequence": history.sequence,
            "platform_age_s": _finite_or_none(
                daemon.membership.own_platform_contact_age()
            ),
            "queries_running": _by_rank(admission.running),
            "queries_waiting": _by_rank(admission.waiting),
            "admission_windows": _by_rank(admission.windows),
            "owned_replicas": len(daemon.owner_service.replicas),
            "isolated": daemon.membership.prober.is_isolated(now),
            "view_fresh": daemon.membership.is_fresh(),
        }

    def versions(self) -> VersionsView:
        """Return the configuration in force and the latest verdicts."""
        synchronizer = self.daemon.synchronizer
        return {
            "host_id": self.daemon.membership.self_host.id,
            "version": synchronizer.history.version,
            "sequence": synchronizer.history.sequence,
            "source": synchronizer.source,
            "in_force_since_unix": synchronizer.in_force_since_unix,
            "platform_age_s": _finite_or_none(
                self.daemon.membership.own_platform_contact_age()
            ),
            "verdicts": [
                verdict._asdict() for verdict in synchronizer.history.verdicts
            ],
        }

    def members(self) -> list[MemberView]:
        """Return all members that this host knows, including itself."""
        membership = self.daemon.membership
        return [self._member_view(member) for member in membership.table.members()]

    def routes(self) -> list[RouteView]:
        """Return the routes of the configuration in force."""
        configuration = self.daemon.synchronizer.current
        if configuration is None:
            return []
        snapshot = configuration.newest_snapshot()
        views: list[RouteView] = []
        for name in sorted(configuration.document["routes"]):
            route = configuration.route(name)
            kind = configuration.kind(route.kind)
            views.append(
                {
                    "name": name,
                    "operation": route.operation,
                    "kind": route.kind,
                    "rank": Rank(kind.rank).name.lower(),
                    "deadline_ms": kind.deadline_ms,
                    "indexes": list(route.indexes),
                    "shards": len(configuration.shards_of(route, snapshot)),
                    "snapshot": snapshot.id,
                }
            )
        return views

    def upstreams(self) -> list[UpstreamView]:
        """Return all replicas of the configuration in force."""
        configuration = self.daemon.synchronizer.current
        if configuration is None:
            return []
        return [
            self._upstream_view(replica)
            for service in sorted(configuration.document["services"])
            for replica in configuration.replicas_of(service)
        ]

    def audit(self, after: int, kind: str | None, limit: int) -> AuditView:
        """Return the oldest ``limit`` audit events after a sequence number.

        With ``kind``, only events of this kind are returned.
        """
        trail = self.daemon.audit
        events = trail.read(after, kind, limit)
        return {
            "host_id": self.daemon.membership.self_host.id,
            "incarnation": self.daemon.membership.table.incarnation,
            "last_sequence": trail.last_sequence,
            "events": [
                {
                    "sequence": event.sequence,
                    "time_unix": event.time_unix,
                    "kind": str(event.kind),
                    "version": event.version,
                    "details": dict(event.details),
                }
                for event in events
            ],
        }

    def quarantine(self) -> list[QuarantineView]:
        """Return the suspect and the quarantined fingerprints."""
        now = time.monotonic()
        return [
            {
                "fingerprint": f"{entry.fingerprint:016x}",
                "state": str(entry.state),
                "reason": entry.reason,
                "remaining_s": round(entry.remaining_s, 1),
            }
            for entry in self.daemon.quarantine.entries(now)
        ]

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        self.daemon.refresh_metrics()
        return self.daemon.metrics.render()

    def health(self) -> HealthState:
        """Return the state that the load balancer sees."""
        return self.daemon.health()

    def drain(self) -> None:
        """Start the drain, as SIGTERM does; later calls have no effect."""
        self.daemon.begin_drain("administration")

    def check_patch(self, patch: dict[str, Any]) -> PatchCheckView:
        """Return whether ``patch`` would be accepted, without putting it in force."""
        history = self.daemon.synchronizer.history
        verdict: PatchCheckView = {
            "accepted": False,
            "against": patch.get("against"),
            "version": history.version,
            "next_version": None,
            "reason": "",
            "changed": [],
        }
        if history.current is None:
            verdict["reason"] = "no configuration is known yet"
            return verdict
        checked = check_patch(patch)
        if isinstance(checked, Failure):
            verdict["reason"] = checked.reason
            return verdict
        document = history.current.document
        result = apply_patch(document, history.version, checked)
        if isinstance(result, Accepted):
            verdict["accepted"] = True
            verdict["next_version"] = history.version + 1
            paths = {operation["path"] for operation in checked.operations}
            verdict["changed"] = sorted(paths)
        else:
            verdict["reason"] = result.reason
        return verdict

    def _member_view(self, member) -> MemberView:
        membership = self.daemon.membership
        is_self = member.host.id == membership.self_host.id
        digest = membership.prober.digest_of(member.host.id)
        history = self.daemon.synchronizer.history
        return {
            "host_id": member.host.id,
            "address": member.host.address,
            "data_centre": member.host.data_centre,
            "region": member.host.region,
            "roles": list(member.host.roles),
            "state": member.state.name.lower(),
            "incarnation": member.incarnation,
            "listed": member.listed is not None,
            "heard_age_s": None,
            "version": history.version if is_self else digest and digest.version,
            "sequence": history.sequence if is_self else digest and digest.sequence,
            "platform_age_s": (
                _finite_or_none(membership.own_platform_contact_age())
                if is_self
                else digest and _finite_or_none(digest.platform_age_s)
            ),
        }

    def _upstream_view(self, replica: Replica) -> UpstreamView:
        owner_service = self.daemon.owner_service
        owner = self.daemon.membership.owner_of(replica)
        owned = owner_service.replicas.get(replica.id)
        view: UpstreamView = {
            "replica": replica.id,
            "service": replica.service,
            "address": replica.address,
            "data_centre": replica.data_centre,
            "owner": owner.id if owner else None,
            "state": "draining" if replica.draining else "remote",
            "slots": replica.slots,
            "running": None,
            "limit": None,
            "queued": None,
            "connections": None,
            "latency_ms": None,
            "recent_failures": None,
        }
        if owned is None:
            return view
        view["state"] = owned.state_name
        view["running"] = owned.running
        view["limit"] = owned.limit
        view["queued"] = _by_rank(owned.queue_lengths)
        view["connections"] = owner_service.open_connections_of(replica.id)
        view["latency_ms"] = round(owned.service_time_s * 1000, 3)
        view["recent_failures"] = owned.recent_failures
        return view


def _by_rank(values) -> dict[str, float]:
    return {rank.name.lower(): values[rank] for rank in Rank}


def _finite_or_none(seconds: float) -> float | None:
    return None if seconds == float("inf") else round(seconds, 3)
