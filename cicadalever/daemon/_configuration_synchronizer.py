"""Keeps the configuration in force up to date from the platform and from peers."""

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

WATCH_WAIT_S = 2.0
# A host that does not watch reads the host list this often, and the log only when no
# peer of its data centre has heard from the platform for PLATFORM_SILENCE_S.
HOST_LIST_INTERVAL_S = 30.0
PLATFORM_SILENCE_S = 5.0
RETRY_DELAY_S = 0.5
# Log entries kept for peers that are a little behind.
KEPT_ENTRIES = 64
REQUEST_INTERVAL_S = 0.2
# What a host without a configuration says that it has.
NO_SEQUENCE = -1
# The log cannot be read from where this host is; the full document leads past it.
_NEEDS_FULL_DOCUMENT = frozenset(
    {FailureCode.EXPIRED, FailureCode.INVALID, FailureCode.TOO_LARGE}
)


class ConfigurationSynchronizer:
    """Reads the platform's log, catches up from peers and answers peers.

    ``on_change`` is called after a new version came in force.
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
        self.on_change: Callable[[], None] = _ignore
        self._entries: deque[LogEntry] = deque(maxlen=KEPT_ENTRIES)
        self._requested_at = 0.0
        self._hosts_generation = 0
        self._platform_lost = False
        self._source = "none"
        self._in_force_since: float | None = None

    @property
    def current(self) -> Configuration | None:
        """The configuration in force."""
        return self.history.current

    @property
    def source(self) -> str:
        """Where the version in force came from: platform, peer or none."""
        return self._source

    @property
    def in_force_since_unix(self) -> float | None:
        """Unix time at which the version in force was put in force."""
        return self._in_force_since

    @property
    def _known_sequence(self) -> int:
        """Sequence of the configuration in force; a first document may have 0."""
        return NO_SEQUENCE if self.history.current is None else self.history.sequence

    def start(self) -> None:
        """Start the loops that watch the platform."""
        eventlet.spawn(self._watch_log)
        eventlet.spawn(self._watch_hosts)

    def tick(self) -> None:
        """Ask a peer that is ahead for what this host lacks."""
        self.membership.update_digest(self.history.sequence, self.history.version)
        newest = self.membership.prober.newest_peer_digest
        now = time.monotonic()
        if newest is None or newest.digest.version == 0:
            return
        if newest.digest.sequence <= self._known_sequence:
            return
        if now - self._requested_at < REQUEST_INTERVAL_S:
            return
        self._requested_at = now
        self.send(
            newest.address,
            ConfigurationRequest(
                self.membership.self_host.address, self._known_sequence
            ),
        )

    def handle_request(self, message: ConfigurationRequest) -> None:
        """Send a peer what it lacks."""
        if self.history.current is None or message.sequence >= self.history.sequence:
            return
        wanted = range(message.sequence + 1, self.history.sequence + 1)
        kept = {entry.sequence: entry for entry in self._entries}
        if message.sequence >= 0 and all(sequence in kept for sequence in wanted):
            entries = [msgspec.json.encode(tuple(kept[number])) for number in wanted]
            reply = ConfigurationReply(entries, b"")
        else:
            full = self.history.export()
            reply = ConfigurationReply([], msgspec.json.encode(full._asdict()))
        self.send(message.sender, reply)

    def handle_reply(self, message: ConfigurationReply) -> None:
        """Take over what a peer sent; it is checked like what the platform sends."""
        if message.document:
            full = read_full_document(message.document)
            if isinstance(full, Failure):
                logger.warning("dropped the document of a peer: {}", full.reason)
                return
            self._take_full(full, "peer")
        for entry in message.entries:
            sequence, patch = msgspec.json.decode(entry)
            self._take_entries([LogEntry(sequence, patch)], "peer")

    def _watch_log(self) -> None:
        while True:
            if not self._should_read():
                eventlet.sleep(RETRY_DELAY_S * (0.5 + self.rng.random()))
                continue
            failure = self._read_log()
            if failure is not None:
                self._note_platform_failure(failure)
                eventlet.sleep(RETRY_DELAY_S * (0.5 + self.rng.random()))

    def _should_read(self) -> bool:
        if self.history.current is None or self.membership.is_platform_watcher():
            return True
        return self.membership.data_centre_platform_contact_age() > PLATFORM_SILENCE_S

    def _read_log(self) -> Failure | None:
        if self.history.current is None:
            return self._read_full()
        entries = self.reader.fetch_log(self.history.sequence, WATCH_WAIT_S)
        if isinstance(entries, Failure):
            if entries.code in _NEEDS_FULL_DOCUMENT:
                return self._read_full()
            return entries
        self._note_platform_contact()
        self._take_entries(entries, "platform")
        return None

    def _read_full(self) -> Failure | None:
        full = self.reader.fetch_document()
        if isinstance(full, Failure):
            return full
        self._note_platform_contact()
        self._take_full(full, "platform")
        return None

    def _watch_hosts(self) -> None:
        while True:
            wait_s = WATCH_WAIT_S if self.membership.is_platform_watcher() else 0.0
            hosts = self.reader.fetch_hosts(self._hosts_generation, wait_s)
            if isinstance(hosts, Failure):
                eventlet.sleep(RETRY_DELAY_S * (0.5 + self.rng.random()))
                continue
            self._note_platform_contact()
            self._hosts_generation = hosts.generation
            self.membership.merge_host_list(hosts)
            if not self.membership.is_platform_watcher():
                eventlet.sleep(HOST_LIST_INTERVAL_S * (0.5 + self.rng.random()))

    def _note_platform_contact(self) -> None:
        self.membership.record_platform_contact()
        if self._platform_lost:
            self._platform_lost = False
            self.audit.record(AuditKind.PLATFORM_BACK, self.history.version)

    def _note_platform_failure(self, failure: Failure) -> None:
        if not self._platform_lost:
            self._platform_lost = True
            self.audit.record(
                AuditKind.PLATFORM_LOST, self.history.version, reason=failure.reason
            )

    def _take_full(self, full: FullDocument, source: str) -> None:
        self._put_in_force(self.history.load_document, full, source)

    def _take_entries(self, entries: list[LogEntry], source: str) -> None:
        for entry in entries:
            if entry.sequence > self.history.sequence:
                self._entries.append(entry)
            self._put_in_force(self.history.append, entry, source)

    def _put_in_force(self, take: Callable, value: Any, source: str) -> None:
        sequence, version = self.history.sequence, self.history.version
        verdicts = take(value)
        for verdict in verdicts:
            self._record(verdict)
        # The first document may have sequence 0, so its version tells that it is new.
        if (self.history.sequence, self.history.version) == (sequence, version):
            return
        self.membership.update_digest(self.history.sequence, self.history.version)
        self.metrics.set_configuration(self.history.sequence, self.history.version)
        self.membership.announce()
        if self.history.version == version:
            return
        self._source = source
        self._in_force_since = time.time()
        self.audit.record(
            AuditKind.VERSION_IN_FORCE,
            self.history.version,
            sequence=self.history.sequence,
            source=source,
        )
        logger.info("version {} is in force", self.history.version)
        self.on_change()

    def _record(self, verdict: UpdateVerdict) -> None:
        kind = (
            AuditKind.VERSION_ACCEPTED
            if verdict.accepted
            else AuditKind.VERSION_REFUSED
        )
        details = verdict._asdict()
        del details["version"]
        self.audit.record(kind, verdict.version, **details)


def _ignore() -> None:
    """Stand in until the composition root sets a handler."""
