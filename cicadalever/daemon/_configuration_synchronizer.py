"""Updates the configuration in force from the platform and from peers."""

import random
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from loguru import logger

from cicadalever.audit import AuditKind, AuditTrail
from cicadalever.configuration import (
    Configuration,
    ConfigurationHistory,
    FullDocument,
    LogEntry,
    PlatformReader,
    UpdateVerdict,
    read_full_document,
)
from cicadalever.metrics import Metrics
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.transport import ConfigurationReply, ConfigurationRequest

from ._membership_service import MembershipService

# Time for which the platform may hold a request (long poll).
LONG_POLL_S = 2.0
# A host that is not a platform watcher reads the host list this often. It reads the log
# only when the platform has answered no host of its data centre for
# MAX_PLATFORM_CONTACT_AGE_S; otherwise it gets new entries from peers.
HOST_LIST_INTERVAL_S = 30.0
MAX_PLATFORM_CONTACT_AGE_S = 5.0
# Mean time to the next attempt after a failure, and to the next check whether to read
# the log.
RETRY_DELAY_S = 0.5
# Log entries kept for peers that lack only the latest ones.
MAX_RECENT_ENTRIES = 64
# Shortest time between two requests to peers.
REQUEST_INTERVAL_S = 0.2
# Sequence number in the requests of a host without a configuration.
NO_SEQUENCE = -1
# Failures after which the log cannot be read from the sequence number of this host. The
# full document includes the entries in question.
_FULL_DOCUMENT_CODES = frozenset(
    {FailureCode.EXPIRED, FailureCode.INVALID, FailureCode.TOO_LARGE}
)


class ConfigurationSynchronizer:
    """Gets new log entries from the platform or from peers, and sends them to peers.

    The platform watchers of a data centre read the log of the platform; the other hosts
    request from a peer what they lack. ``on_change`` is called after a new version has
    come into force.
    """

    def __init__(
        self,
        history: ConfigurationHistory,
        reader: PlatformReader,
        membership: MembershipService,
        send: Callable[[str, Any], Failure | None],
        audit: AuditTrail,
        metrics: Metrics,
        rng: random.Random,
    ):
        self.history = history
        self.reader = reader
        self.membership = membership
        self.send = send
        self.audit = audit
        self.metrics = metrics
        self.rng = rng
        self.on_change: Callable[[], None] = _do_nothing
        self._recent_entries: deque[LogEntry] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._last_request_at = 0.0
        self._hosts_generation = 0
        self._platform_lost = False
        self._source = "none"
        self._in_force_since_unix: float | None = None

    @property
    def current(self) -> Configuration | None:
        """The configuration in force."""
        return self.history.current

    @property
    def source(self) -> str:
        """The source of the version in force: ``platform``, ``peer`` or ``none``."""
        return self._source

    @property
    def in_force_since_unix(self) -> float | None:
        """Unix time in seconds since which this host has the version in force."""
        return self._in_force_since_unix

    @property
    def _known_sequence(self) -> int:
        """Sequence of the configuration in force, or ``NO_SEQUENCE`` without one.

        ``NO_SEQUENCE`` is not 0, because the first document may have the sequence 0.
        """
        return NO_SEQUENCE if self.history.current is None else self.history.sequence

    def start(self) -> None:
        """Start the loops that read the platform's log and host list."""
        eventlet.spawn(self._watch_log)
        eventlet.spawn(self._watch_hosts)

    def tick(self) -> None:
        """Request missing entries from the live peer with the highest sequence."""
        self.membership.update_digest(self.history.sequence, self.history.version)
        newest = self.membership.prober.newest_peer_digest
        now = time.monotonic()
        if newest is None or newest.digest.version == 0:
            return
        if newest.digest.sequence <= self._known_sequence:
            return
        if now - self._last_request_at < REQUEST_INTERVAL_S:
            return
        self._last_request_at = now
        self.send(
            newest.address,
            ConfigurationRequest(
                self.membership.self_host.address, self._known_sequence
            ),
        )

    def handle_request(self, message: ConfigurationRequest) -> None:
        """Send a peer the entries that it lacks, or else the full document."""
        if self.history.current is None or message.sequence >= self.history.sequence:
            return
        wanted = range(message.sequence + 1, self.history.sequence + 1)
        recent = {entry.sequence: entry for entry in self._recent_entries}
        if message.sequence >= 0 and all(sequence in recent for sequence in wanted):
            entries = [msgspec.json.encode(tuple(recent[number])) for number in wanted]
            reply = ConfigurationReply(entries, b"")
        else:
            full = self.history.export()
            reply = ConfigurationReply([], msgspec.json.encode(full._asdict()))
        self.send(message.sender, reply)

    def handle_reply(self, message: ConfigurationReply) -> None:
        """Apply what a peer sent, with the checks that replies of the platform get."""
        if message.document:
            full = read_full_document(message.document)
            if isinstance(full, Failure):
                logger.warning(
                    "ignored an invalid document from a peer: {}", full.reason
                )
                return
            self._load_document(full, "peer")
        for entry in message.entries:
            try:
                sequence, patch = msgspec.json.decode(entry, type=tuple[int, dict])
            except msgspec.MsgspecError as error:
                # The platform has the entry too, so the log does not stay behind.
                logger.warning("ignored an invalid log entry from a peer: {}", error)
                return
            self._append_entries([LogEntry(sequence, patch)], "peer")

    def _watch_log(self) -> None:
        while True:
            if not self._should_read_log():
                eventlet.sleep(RETRY_DELAY_S * (0.5 + self.rng.random()))
                continue
            failure = self._read_log()
            if failure is not None:
                self._record_platform_failure(failure)
                eventlet.sleep(RETRY_DELAY_S * (0.5 + self.rng.random()))

    def _should_read_log(self) -> bool:
        if self.history.current is None or self.membership.is_platform_watcher():
            return True
        return (
            self.membership.data_centre_platform_contact_age()
            > MAX_PLATFORM_CONTACT_AGE_S
        )

    def _read_log(self) -> Failure | None:
        if self.history.current is None:
            return self._read_document()
        entries = self.reader.fetch_log(self.history.sequence, LONG_POLL_S)
        if isinstance(entries, Failure):
            if entries.code in _FULL_DOCUMENT_CODES:
                return self._read_document()
            return entries
        self._record_platform_contact()
        self._append_entries(entries, "platform")
        return None

    def _read_document(self) -> Failure | None:
        full = self.reader.fetch_document()
        if isinstance(full, Failure):
            return full
        self._record_platform_contact()
        self._load_document(full, "platform")
        return None

    def _watch_hosts(self) -> None:
        while True:
            wait_s = LONG_POLL_S if self.membership.is_platform_watcher() else 0.0
            hosts = self.reader.fetch_hosts(self._hosts_generation, wait_s)
            if isinstance(hosts, Failure):
                eventlet.sleep(RETRY_DELAY_S * (0.5 + self.rng.random()))
                continue
            self._record_platform_contact()
            self._hosts_generation = hosts.generation
            self.membership.merge_host_list(hosts)
            if not self.membership.is_platform_watcher():
                eventlet.sleep(HOST_LIST_INTERVAL_S * (0.5 + self.rng.random()))

    def _record_platform_contact(self) -> None:
        self.membership.record_platform_contact()
        if self._platform_lost:
            self._platform_lost = False
            self.audit.record(AuditKind.PLATFORM_BACK, self.history.version)

    def _record_platform_failure(self, failure: Failure) -> None:
        if not self._platform_lost:
            self._platform_lost = True
            self.audit.record(
                AuditKind.PLATFORM_LOST, self.history.version, reason=failure.reason
            )

    def _load_document(self, full: FullDocument, source: str) -> None:
        self._put_in_force(self.history.load_document, full, source)

    def _append_entries(self, entries: list[LogEntry], source: str) -> None:
        for entry in entries:
            if entry.sequence > self.history.sequence:
                self._recent_entries.append(entry)
            self._put_in_force(self.history.append, entry, source)

    def _put_in_force(self, apply_update: Callable, value: Any, source: str) -> None:
        sequence, version = self.history.sequence, self.history.version
        verdicts = apply_update(value)
        for verdict in verdicts:
            self._record_verdict(verdict)
        # The first document may have the sequence 0, which is also that of a history
        # without a document, so the versions are compared too.
        if (self.history.sequence, self.history.version) == (sequence, version):
            return
        self.membership.update_digest(self.history.sequence, self.history.version)
        self.metrics.set_configuration(self.history.sequence, self.history.version)
        self.membership.announce()
        if self.history.version == version:
            return
        self._source = source
        self._in_force_since_unix = time.time()
        self.audit.record(
            AuditKind.VERSION_IN_FORCE,
            self.history.version,
            sequence=self.history.sequence,
            source=source,
        )
        logger.info("configuration version {} is in force", self.history.version)
        self.on_change()

    def _record_verdict(self, verdict: UpdateVerdict) -> None:
        kind = (
            AuditKind.VERSION_ACCEPTED
            if verdict.accepted
            else AuditKind.VERSION_REFUSED
        )
        details = verdict._asdict()
        del details["version"]
        self.audit.record(kind, verdict.version, **details)


def _do_nothing() -> None:
    """Do nothing; the default of the callback."""
