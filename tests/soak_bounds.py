"""Checks of the bounds after which a change must be in force at every host.

They compare what clients and replicas have seen with the times of the changes and of
the disruptions. All times are in seconds on the monotonic clock.
"""

from collections import defaultdict
from typing import NamedTuple

# Tolerance for the measured times.
MARGIN_S = 0.1
# Time after which a process must not return to an older version.
ROLLBACK_SLACK_S = 0.25
# A service counts as lost if this many requests in a row fail, over this time.
LOST_REQUESTS = 3
LOST_S = 0.4


class Bounds(NamedTuple):
    """Bounds of a deployment, in seconds; see ``HostSettings``."""

    contact_s: float
    apply_s: float
    drain_s: float


class Version(NamedTuple):
    """A version of the configuration, with the service of each route."""

    number: int
    acknowledged_at: float
    services: dict[str, str]


class Departure(NamedTuple):
    """A replica that the store has acknowledged as draining or gone."""

    replica_id: str
    how: str
    acknowledged_at: float


class Request(NamedTuple):
    """A request of a client, and its answer unless ``status`` is None."""

    id: str
    route: str
    host: int
    # Number of the process of the host that got the request.
    process: int
    sent_at: float
    ended_at: float
    status: int | None


class Arrival(NamedTuple):
    """A request that has reached a replica, which did not answer 421."""

    request_id: str
    replica_id: str
    service: str
    at: float


class Violation(NamedTuple):
    """A violated guarantee and the host that violated it."""

    host: int
    text: str


class Finding(NamedTuple):
    """What is wrong with some requests, and when it should have changed, if it should.

    ``acknowledged_at`` is the time of that change.
    """

    text: str
    acknowledged_at: float | None = None


class Disruptions:
    """Times in which hosts or the store were disrupted.

    >>> disruptions = Disruptions()
    >>> disruptions.add(0, 10.0, 11.0)
    >>> disruptions.is_free(0, 11.5, 12.0), disruptions.is_free(1, 11.5, 12.0)
    (True, True)
    >>> disruptions.is_free(0, 10.9, 12.0)
    False
    """

    # Stands for the store among the hosts.
    STORE = -1

    def __init__(self):
        self._spans = defaultdict(list)

    def add(self, host, since, until):
        """Add a disruption of a host, or of the store."""
        self._spans[host].append((since, until))

    def is_free(self, host, since, until):
        """Return whether a host, or the store, was not disrupted in a time."""
        return not any(
            start <= until and end >= since for start, end in self._spans[host]
        )

    def last_end(self, host, until):
        """Return when a host or the store was last disrupted, from before a time."""
        ends = [
            end
            for each in (host, self.STORE)
            for start, end in self._spans[each]
            if start < until
        ]
        return max(ends, default=float("-inf"))

    def store_start(self, since, until):
        """Return when the store was first disrupted, if in the given time."""
        starts = [
            start
            for start, end in self._spans[self.STORE]
            if start <= until and end >= since
        ]
        return min(starts, default=None)


class BoundsCheck:
    """Finds the violated guarantees of a run, which began at ``origin``."""

    def __init__(self, bounds, versions, departures, disruptions, origin=0.0):
        self.bounds = bounds
        # In the order of their acknowledgement.
        self.versions = versions
        self.departures = departures
        self.disruptions = disruptions
        self.origin = origin

    def is_in_touch(self, host, since, until):
        """Return whether a host had been undisturbed for long enough all the time."""
        start = since - self.bounds.contact_s - MARGIN_S
        return self.disruptions.is_free(host, start, until) and (
            self.disruptions.is_free(Disruptions.STORE, start, until)
        )

    def find_violations(self, requests, arrivals, steady_routes=()):
        """Return the violations; each of ``steady_routes`` can be served all the time.

        Several requests that violate the same guarantee are one violation.
        """
        found = defaultdict(list)
        sent = {request.id: request for request in requests}
        handlings = [
            (arrival.at, sent[arrival.request_id], arrival.service)
            for arrival in arrivals
        ]
        # Replicas never answer 404.
        handlings += [
            (request.ended_at, request, None)
            for request in requests
            if request.status == 404
        ]
        handlings.sort(key=lambda handling: handling[0])
        for at, request, service in handlings:
            finding = self._find_late_version(at, request, service)
            if finding is not None:
                found[request.host, finding].append(request)
        for finding, request in self._find_regressions(handlings):
            found[request.host, finding].append(request)
        for departure in self.departures:
            text = f"DRAIN: {departure.replica_id}, which is {departure.how}"
            finding = Finding(text, departure.acknowledged_at)
            for arrival in arrivals:
                request = sent[arrival.request_id]
                if self._is_too_late(departure, arrival, request):
                    found[request.host, finding].append(request)
        for route in steady_routes:
            for finding, cases in self._find_losses(route, requests):
                found[cases[0].host, finding] += cases
        return [
            Violation(host, self._describe(finding, cases))
            for (host, finding), cases in found.items()
        ]

    def _find_late_version(self, at, request, service):
        """Return what is wrong with the version that handled a request, or None."""
        allowed = self._versions_with(request.route, service, at)
        if not allowed:
            return Finding(f"ROUTE: /{request.route}/ by {service}, in no version yet")
        due_at = request.sent_at - self.bounds.apply_s - MARGIN_S
        due = [v for v in self.versions if v.acknowledged_at < due_at]
        if not due or allowed[-1].acknowledged_at >= due[-1].acknowledged_at:
            return None
        if not self.is_in_touch(request.host, request.sent_at, at):
            return None
        # The version from which on this was wrong.
        first = self.versions[self.versions.index(allowed[-1]) + 1]
        handled = "is unknown" if service is None else f"is run by {service}"
        text = f"CONFIG: /{request.route}/ {handled}, against version {first.number}"
        return Finding(text, first.acknowledged_at)

    def _versions_with(self, route, service, at):
        return [
            version
            for version in self.versions
            if version.acknowledged_at <= at and version.services.get(route) == service
        ]

    def _find_regressions(self, handlings):
        """Yield each return of a process to a version before one that it had used."""
        # Times at which a version or a later one must have been in force.
        effects = defaultdict(list)
        for at, request, service in handlings:
            process = effects[request.host, request.process]
            known_at = request.sent_at - ROLLBACK_SLACK_S - MARGIN_S
            floor = max((n for seen_at, n in process if seen_at < known_at), default=0)
            versions = self._versions_with(request.route, service, at)
            possible = [v.number for v in versions if v.number >= floor]
            if versions and not possible:
                text = (
                    f"CONFIG: /{request.route}/ handled by version "
                    f"{versions[-1].number} after {floor} in the same process"
                )
                yield Finding(text), request
            elif service is None or not possible:
                continue
            elif not process or possible[0] > process[-1][1]:
                process.append((at, possible[0]))

    def _is_too_late(self, departure, arrival, request):
        acknowledged_at = departure.acknowledged_at
        is_store_stable = self.disruptions.is_free(
            Disruptions.STORE, acknowledged_at - self.bounds.contact_s, acknowledged_at
        )
        return (
            arrival.replica_id == departure.replica_id
            and is_store_stable
            and arrival.at > acknowledged_at + self.bounds.drain_s + MARGIN_S
            and self.is_in_touch(request.host, request.sent_at, arrival.at)
        )

    def _find_losses(self, route, requests):
        """Yield each series of requests that a host did not serve though it could.

        While the store is away and until the entries that expired are back, the hosts
        that knew the replicas before go on to use them.
        """
        finding = Finding(f"LOST: /{route}/ is not served")
        failed = defaultdict(list)
        for request in sorted(requests, key=lambda request: request.sent_at):
            if request.route != route:
                continue
            cases = failed[request.host]
            cases.append(request)
            if request.status == 200 or not self._is_calm(request):
                failed[request.host] = []
            elif (
                len(cases) >= LOST_REQUESTS
                and request.sent_at - cases[0].sent_at >= LOST_S
            ):
                yield finding, cases
                failed[request.host] = []

    def _is_calm(self, request):
        """Return whether a host has been undisturbed since it knew the replicas."""
        since = request.sent_at - self.bounds.contact_s - MARGIN_S
        start = self.disruptions.store_start(since, request.ended_at)
        while start is not None and start - self.bounds.contact_s < since:
            since = start - self.bounds.contact_s
            start = self.disruptions.store_start(since, request.ended_at)
        return self.disruptions.is_free(request.host, since, request.ended_at)

    def _describe(self, finding, requests):
        """Return a line on the requests, with times from the end of the trouble."""
        first, last = requests[0], requests[-1]
        end = self.disruptions.last_end(first.host, first.sent_at)
        changed = ""
        if finding.acknowledged_at is not None:
            changed = f", acknowledged at {finding.acknowledged_at - end:+.2f} s"
        statuses = sorted({str(request.status) for request in requests})
        return (
            f"{finding.text}{changed}: {len(requests)} requests, {first.id} sent at "
            f"{first.sent_at - end:+.2f} s to {last.id} at {last.sent_at - end:+.2f} s "
            f"after the end of the trouble at {end - self.origin:.2f} s, answers "
            f"{', '.join(statuses)}"
        )
