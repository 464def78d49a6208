"""The fold of the platform's log on one host."""

from collections import deque
from typing import Any, NamedTuple

from ._configuration import Configuration
from ._document import Document
from ._patch import Accepted, Patch, apply_patch

MAX_VERDICTS = 1000
MAX_WAITING = 256
"""Entries kept beyond a gap; the reader fetches dropped ones again."""


class LogEntry(NamedTuple):
    """One entry of the log; ``patch`` is unchecked JSON or a ``Patch``."""

    sequence: int
    patch: Any


class FullDocument(NamedTuple):
    """A checked document with the sequence up to which the log is folded into it."""

    sequence: int
    version: int
    document: Document


class UpdateVerdict(NamedTuple):
    """What became of a patch, or of a full document if ``patch_id`` is empty.

    ``version`` is the version in force after the verdict.
    """

    sequence: int
    patch_id: str
    author: str
    against: int
    accepted: bool
    version: int
    reason: str


class ConfigurationHistory:
    """Folds log entries and full documents; its sequence and version never decrease.

    Entries may arrive repeated or out of order. An entry beyond a gap waits until the
    gap is filled.
    """

    def __init__(
        self, *, max_verdicts: int = MAX_VERDICTS, max_waiting: int = MAX_WAITING
    ):
        self.max_waiting = max_waiting
        self._current: Configuration | None = None
        self._waiting: dict[int, LogEntry] = {}
        self._verdicts: deque[UpdateVerdict] = deque(maxlen=max_verdicts)

    @property
    def current(self) -> Configuration | None:
        """The configuration in force; None before the first full document."""
        return self._current

    @property
    def sequence(self) -> int:
        """Sequence number of the last folded entry; 0 at the start."""
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
    def waiting(self) -> int:
        """Number of entries that wait beyond a gap."""
        return len(self._waiting)

    def load_document(self, full: FullDocument) -> list[UpdateVerdict]:
        """Put a full document in force if it is ahead; return the new verdicts."""
        if self._current is not None and full.sequence <= self.sequence:
            return []
        if full.version < self.version:
            reason = f"version {full.version} is below {self.version} in force"
            return [self._note_full(full, False, reason)]
        start = self.sequence
        against = self.version
        self._current = Configuration(*full)
        reason = f"full document, log folded up to {full.sequence} from {start}"
        verdict = self._note_full(full, True, reason, against)
        return [verdict, *self._fold_waiting()]

    def append(self, entry: LogEntry) -> list[UpdateVerdict]:
        """Fold an entry, or keep it until the gap before it is filled."""
        self._waiting.setdefault(entry.sequence, entry)
        verdicts = self._fold_waiting()
        if len(self._waiting) > self.max_waiting:
            del self._waiting[max(self._waiting)]
        return verdicts

    def export(self) -> FullDocument | None:
        """Return what is in force as a full document; None at the start."""
        current = self._current
        if current is None:
            return None
        return FullDocument(current.sequence, current.version, current.document)

    def _fold_waiting(self) -> list[UpdateVerdict]:
        if self._current is None:
            return []
        for sequence in [key for key in self._waiting if key <= self.sequence]:
            del self._waiting[sequence]
        verdicts = []
        while entry := self._waiting.pop(self.sequence + 1, None):
            verdicts.append(self._fold(entry))
        return verdicts

    def _fold(self, entry: LogEntry) -> UpdateVerdict:
        current = self._current
        result = apply_patch(current.document, current.version, entry.patch)
        accepted = isinstance(result, Accepted)
        if accepted:
            self._current = Configuration(entry.sequence, *result)
        else:
            self._current = current.at_sequence(entry.sequence)
        verdict = UpdateVerdict(
            entry.sequence,
            *_label(entry.patch),
            accepted,
            self.version,
            "" if accepted else result.reason,
        )
        self._verdicts.append(verdict)
        return verdict

    def _note_full(
        self, full: FullDocument, accepted: bool, reason: str, against: int = 0
    ) -> UpdateVerdict:
        verdict = UpdateVerdict(
            full.sequence, "", "", against, accepted, self.version, reason
        )
        self._verdicts.append(verdict)
        return verdict


def _label(patch: Any) -> tuple[str, str, int]:
    """Return id, author and base version, as far as a malformed patch has them."""
    fields = patch._asdict() if isinstance(patch, Patch) else patch
    fields = fields if isinstance(fields, dict) else {}
    patch_id, author, against = map(fields.get, ("id", "author", "against"))
    return (
        patch_id[:128] if isinstance(patch_id, str) else "",
        author[:128] if isinstance(author, str) else "",
        against if type(against) is int else 0,
    )
