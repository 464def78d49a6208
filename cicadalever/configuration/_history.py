"""Configuration history: applies the platform's log on one host."""

from collections import deque
from typing import Any, NamedTuple

from ._configuration import Configuration
from ._document import Document
from ._patch import Accepted, Patch, apply_patch

MAX_VERDICTS = 1000
MAX_PENDING_ENTRIES = 256
"""Entries kept while an earlier one is missing; dropped ones are fetched again."""


class LogEntry(NamedTuple):
    """One entry of the log; ``patch`` is unchecked JSON or a ``Patch``."""

    sequence: int
    patch: Any


class FullDocument(NamedTuple):
    """A checked document; ``sequence`` is that of the last log entry it includes."""

    sequence: int
    version: int
    document: Document


class UpdateVerdict(NamedTuple):
    """Whether a patch was accepted, or a full document if ``patch_id`` is empty.

    ``against`` is the version to which the patch applies, ``version`` the version in
    force after the verdict. ``reason`` is empty for an accepted patch.
    """

    sequence: int
    patch_id: str
    author: str
    against: int
    accepted: bool
    version: int
    reason: str


class ConfigurationHistory:
    """Applies log entries and full documents; sequence and version never decrease.

    Entries may arrive repeatedly or out of order. An entry is kept until all entries
    before it have been applied.
    """

    def __init__(
        self,
        *,
        max_verdicts: int = MAX_VERDICTS,
        max_pending: int = MAX_PENDING_ENTRIES,
    ):
        self.max_pending = max_pending
        self._current: Configuration | None = None
        self._pending: dict[int, LogEntry] = {}
        self._verdicts: deque[UpdateVerdict] = deque(maxlen=max_verdicts)

    @property
    def current(self) -> Configuration | None:
        """The configuration in force; None before the first full document."""
        return self._current

    @property
    def sequence(self) -> int:
        """Sequence number of the last applied entry; 0 at the start."""
        return self._current.sequence if self._current else 0

    @property
    def version(self) -> int:
        """The version in force; 0 at the start."""
        return self._current.version if self._current else 0

    @property
    def verdicts(self) -> tuple[UpdateVerdict, ...]:
        """The latest verdicts, oldest first."""
        return tuple(self._verdicts)

    @property
    def pending_entries(self) -> int:
        """Number of entries that are kept until an earlier one arrives."""
        return len(self._pending)

    def load_document(self, full: FullDocument) -> list[UpdateVerdict]:
        """Put a full document in force if it is newer; return the new verdicts."""
        if self._current is not None and full.sequence <= self.sequence:
            return []
        if full.version < self.version:
            reason = f"version {full.version} is below {self.version} in force"
            return [self._record_document(full, False, reason)]
        start = self.sequence
        against = self.version
        self._current = Configuration(*full)
        reason = f"full document, log folded up to {full.sequence} from {start}"
        verdict = self._record_document(full, True, reason, against)
        return [verdict, *self._apply_pending()]

    def append(self, entry: LogEntry) -> list[UpdateVerdict]:
        """Apply an entry, or keep it until the missing ones arrive; return verdicts."""
        self._pending.setdefault(entry.sequence, entry)
        verdicts = self._apply_pending()
        if len(self._pending) > self.max_pending:
            del self._pending[max(self._pending)]
        return verdicts

    def export(self) -> FullDocument | None:
        """Return the document in force; None before the first full document."""
        current = self._current
        if current is None:
            return None
        return FullDocument(current.sequence, current.version, current.document)

    def _apply_pending(self) -> list[UpdateVerdict]:
        if self._current is None:
            return []
        for sequence in [key for key in self._pending if key <= self.sequence]:
            del self._pending[sequence]
        verdicts = []
        while entry := self._pending.pop(self.sequence + 1, None):
            verdicts.append(self._apply(entry))
        return verdicts

    def _apply(self, entry: LogEntry) -> UpdateVerdict:
        current = self._current
        result = apply_patch(current.document, current.version, entry.patch)
        accepted = isinstance(result, Accepted)
        if accepted:
            self._current = Configuration(entry.sequence, *result)
        else:
            self._current = current.at_sequence(entry.sequence)
        verdict = UpdateVerdict(
            entry.sequence,
            *_identify(entry.patch),
            accepted,
            self.version,
            "" if accepted else result.reason,
        )
        self._verdicts.append(verdict)
        return verdict

    def _record_document(
        self, full: FullDocument, accepted: bool, reason: str, against: int = 0
    ) -> UpdateVerdict:
        verdict = UpdateVerdict(
            full.sequence, "", "", against, accepted, self.version, reason
        )
        self._verdicts.append(verdict)
        return verdict


def _identify(patch: Any) -> tuple[str, str, int]:
    """Return id, author and base version; empty or 0 where a patch lacks them."""
    fields = patch._asdict() if isinstance(patch, Patch) else patch
    fields = fields if isinstance(fields, dict) else {}
    patch_id, author, against = map(fields.get, ("id", "author", "against"))
    return (
        patch_id[:128] if isinstance(patch_id, str) else "",
        author[:128] if isinstance(author, str) else "",
        against if type(against) is int else 0,
    )
