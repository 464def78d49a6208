"""Evidence whether this host reaches its upstreams: probes and reports of others."""

from collections.abc import Callable, Collection
from functools import partial
from itertools import count

from cicadalever.contact import (
    MAX_PROBE_AGE_S,
    PROBE_PERIOD_S,
    ContactMonitor,
    ContactState,
)
from cicadalever.peers import ContactQuery, ContactReport
from cicadalever.wire import ReplicaConnection

from ._events import EventLog
from ._peers import PeerLink
from ._reads import ReadRunner

# Time between two checks, and while connections may fail.
CALM_CHECK_S = 0.1
CHECK_S = 0.03
# Time between two questions to other hosts.
QUERY_PERIOD_S = 0.2
# Replicas that are probed for each question of another host, and most probes for other
# hosts at a time.
PROBES_PER_QUERY = 3
MAX_WITNESS_PROBES = 64
# Questions whose answers are still accepted.
MAX_OPEN_QUERIES = 16
# Time for which replicas count as reached elsewhere after a report.
OUTAGE_MEMORY_S = 1.0


class UpstreamContact:
    """Opens the connections that ``ContactMonitor`` asks for, and asks other hosts.

    A host that is asked connects to some of the replicas itself, whether or not it has
    traffic for them. ``on_change`` is called when the state becomes or ceases to be cut
    off, and ``on_doubt`` when another host has reached a replica that this one has not.
    ``has_other_data_centres`` tells whether the hosts are spread over several ones.
    """

    def __init__(
        self,
        runner: ReadRunner,
        link: PeerLink,
        events: EventLog,
        *,
        has_other_data_centres: bool = False,
    ):
        self.runner = runner
        self.has_other_data_centres = has_other_data_centres
        self.link = link
        self.events = events
        self.loop = runner.loop
        self.on_change: Callable[[], None] = lambda: None
        self.on_doubt: Callable[[], None] = lambda: None
        self._monitor = ContactMonitor(self.loop.now())
        self._asked_at = float("-inf")
        self._query_numbers = count(1)
        self._query_times: dict[int, float] = {}
        self._heard_at = float("-inf")
        # When another host has last reached a replica that this one lacks.
        self._reached_elsewhere_at = float("-inf")
        self._asked_about: set[str] = set()
        self._witness_probes = 0
        self._logged_state = ContactState.CONNECTED

    @property
    def is_cut_off(self) -> bool:
        """Whether this host has lost its links while others reach the replicas."""
        return self._monitor.is_cut_off

    @property
    def is_doubtful(self) -> bool:
        """Whether this host may have lost its links to the replicas."""
        return self._monitor.state is not ContactState.CONNECTED

    @property
    def suspected_since(self) -> float | None:
        """Time since when connections may fail, or None while they do not."""
        return self._monitor.suspected_since

    @property
    def has_witness(self) -> bool:
        """Whether a host that can tell an outage has answered the last questions.

        Hosts of the own data centre may be behind the same partition, so that they
        cannot, unless there is no other data centre.
        """
        return self.loop.now() - self._heard_at <= 2.0 * QUERY_PERIOD_S + CALM_CHECK_S

    def is_outage_shared(self) -> bool:
        """Return whether other hosts do not reach the missing upstreams either."""
        elsewhere_age_s = self.loop.now() - self._reached_elsewhere_at
        return self.has_witness and elsewhere_age_s > OUTAGE_MEMORY_S

    def ask_about(self, replica_ids: Collection[str]) -> None:
        """Ask other hosts about replicas that this one lacks, if that is due."""
        if self.loop.now() - self._asked_at >= QUERY_PERIOD_S:
            self._ask(replica_ids)

    def has_live_connections(self) -> bool:
        """Return whether open connections bring answers while new ones fail."""
        since = self.suspected_since
        return since is not None and self.runner.answered_at > since

    def start(self) -> None:
        """Begin to watch the links."""
        self.runner.on_handshake = self._observe_handshake
        self.runner.on_silence = self.suspect
        self.link.on_contact_query = self._probe_for_host
        self.link.on_contact_report = self._record_report
        self.loop.call_later(CALM_CHECK_S, self._check)

    def suspect(self, sent_at: float) -> None:
        """Note that no replica has answered a query in the usual time."""
        if self.runner.answered_at < sent_at:
            self._monitor.suspect(sent_at)
            self._act()

    def _check(self) -> None:
        self.loop.run_guarded(self._act)
        is_calm = not self.is_doubtful and not self._monitor.unreached_replicas
        self.loop.call_later(CALM_CHECK_S if is_calm else CHECK_S, self._check)

    def _act(self) -> None:
        """Start the probes and ask the questions that are due."""
        now = self.loop.now()
        monitor = self._monitor
        replicas = self.runner.probed_replicas()
        monitor.known_replicas = len(replicas)
        due = monitor.count_due_probes(now)
        if due > 0:
            unreached = monitor.unreached_replicas
            fresh = [each for each in replicas if each.id not in unreached]
            pool = fresh if len(fresh) >= due else replicas
            rng = self.runner.selector.rng
            for replica in rng.sample(pool, min(due, len(pool))):
                self._probe(replica.id)
        for replica_id in monitor.replicas_to_recheck():
            self._probe(replica_id)
        urgent = monitor.replicas_to_confirm()
        ask_s = CHECK_S if urgent else QUERY_PERIOD_S
        if self.is_doubtful and now - self._asked_at >= ask_s:
            unreached = () if self.is_cut_off else monitor.unreached_replicas
            self._ask(urgent or unreached)
        self._log_state(now)

    def _ask(self, replica_ids: Collection[str]) -> None:
        self._asked_at = self.loop.now()
        self._asked_about.update(replica_ids)
        number = next(self._query_numbers)
        self._query_times[number] = self._asked_at
        if len(self._query_times) > MAX_OPEN_QUERIES:
            del self._query_times[next(iter(self._query_times))]
        self.link.ask_contact(replica_ids, number)

    def _probe(self, replica_id: str) -> None:
        replica = self.runner.directory.get(replica_id)
        now = self.loop.now()
        self._monitor.record_start(replica_id, now)
        if replica is None:
            self._monitor.record_gone(replica_id)
            return
        self.runner.probe(
            replica, MAX_PROBE_AGE_S, partial(self._record_probe, replica_id, now)
        )

    def _record_probe(
        self, replica_id: str, started_at: float, is_reached: bool
    ) -> None:
        now = self.loop.now()
        if is_reached:
            self._monitor.record_success(replica_id, now)
        else:
            self._monitor.record_failure(replica_id, started_at, now)
            if self._monitor.replicas_to_confirm():
                self._act()
        self._log_state(now)

    def _observe_handshake(
        self, replica_id: str, connection: ReplicaConnection
    ) -> None:
        """Record a connection that was opened for a read."""
        self._record_probe(replica_id, connection.started_at, connection.is_connected)

    def forget_outage(self) -> None:
        """Forget what other hosts have reached, once this host lacks nothing."""
        self._asked_about.clear()

    def _probe_for_host(self, query: ContactQuery) -> None:
        """Connect to replicas that another host cannot reach, and tell it which."""
        probes = 0
        for replica_id in query.replicas:
            replica = self.runner.directory.get(replica_id)
            is_full = self._witness_probes >= MAX_WITNESS_PROBES
            if replica is None or is_full or probes >= PROBES_PER_QUERY:
                continue
            if replica.service not in self.runner.named_services:
                continue
            probes += 1
            self._witness_probes += 1
            on_end = partial(
                self._end_witness_probe, replica_id, query, self.loop.now()
            )
            self.runner.probe(replica, MAX_PROBE_AGE_S, on_end)

    def _end_witness_probe(
        self, replica_id: str, query: ContactQuery, started_at: float, is_reached: bool
    ) -> None:
        self._witness_probes -= 1
        self._record_probe(replica_id, started_at, is_reached)
        if is_reached:
            self.link.report_contact(query, [replica_id])

    def _record_report(self, report: ContactReport) -> None:
        now = self.loop.now()
        asked_at = self._query_times.get(report.number)
        if asked_at is None:
            return
        if not self.has_other_data_centres or self._is_remote(report):
            self._heard_at = now
        reached = report.reached
        if self._asked_about.intersection(reached):
            self._reached_elsewhere_at = now
        if reached and self.is_doubtful:
            self._monitor.record_report(reached, asked_at, now)
            self._act()
            self.on_doubt()

    def _is_remote(self, report: ContactReport) -> bool:
        return report.heartbeat.data_centre != self.runner.selector.data_centre

    def _log_state(self, now: float) -> None:
        state = self._monitor.state
        if state is self._logged_state:
            return
        was_cut_off = self._logged_state is ContactState.CUT_OFF
        self._logged_state = state
        evidence = self._monitor.evidence(now)
        self.events.emit_detail(
            "contact_changed",
            state=state,
            connected_age_s=round(evidence.age_s, 2),
            failed=evidence.failed,
            confirmed=evidence.confirmed,
        )
        if state is ContactState.CUT_OFF:
            self.runner.guard.void_own(self.suspected_since - PROBE_PERIOD_S)
        if was_cut_off or state is ContactState.CUT_OFF:
            self.on_change()
