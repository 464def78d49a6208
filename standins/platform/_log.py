"""The ordered log of patches with periodic full documents."""

from typing import NamedTuple

from ._patch_rule import PatchRule


class LogCheckpoint(NamedTuple):
    """The document after the log entries up to ``sequence``."""

    sequence: int
    version: int
    document: dict


class PatchLog:
    """Appends patches and makes a checkpoint every ``checkpoint_interval`` entries.

    Readers see the log as it was at ``freeze``, while appends go on, until ``thaw``.
    """

    def __init__(
        self,
        document: dict,
        version: int,
        checkpoint_interval: int,
        patch_rule: PatchRule,
    ):
        self.checkpoint_interval = checkpoint_interval
        self.patch_rule = patch_rule
        self._newest = LogCheckpoint(0, version, document)
        self._checkpoint = self._newest
        self._patches: list[dict] = []
        self._compacted = 0
        self._frozen: tuple[int, LogCheckpoint] | None = None

    @property
    def sequence(self) -> int:
        """Sequence of the last entry."""
        return self._newest.sequence

    @property
    def version(self) -> int:
        """Version after the last entry."""
        return self._newest.version

    @property
    def visible_sequence(self) -> int:
        """Sequence of the last entry that readers see."""
        return self._frozen[0] if self._frozen else self.sequence

    @property
    def visible_checkpoint(self) -> LogCheckpoint:
        """Last checkpoint that readers see."""
        return self._frozen[1] if self._frozen else self._checkpoint

    def append(self, patch: dict) -> tuple[int, bool]:
        """Add an entry; return its sequence and whether the patch was accepted."""
        document, version, accepted = self.patch_rule(
            self._newest.document, self._newest.version, patch
        )
        self._newest = LogCheckpoint(self.sequence + 1, version, document)
        self._patches.append(patch)
        if self.sequence % self.checkpoint_interval == 0:
            self._checkpoint = self._newest
        return self.sequence, accepted

    def read(self, after: int) -> list[dict] | None:
        """Return the visible entries above ``after``; None if some are compacted."""
        if after < self._compacted:
            return None
        patches = self._patches[
            after - self._compacted : self.visible_sequence - self._compacted
        ]
        return [
            {"sequence": sequence, "patch": patch}
            for sequence, patch in enumerate(patches, start=after + 1)
        ]

    def compact(self) -> None:
        """Make a checkpoint of the newest entry and delete the entries up to it.

        While frozen, only entries up to the visible checkpoint are deleted.
        """
        if self._frozen is None:
            self._checkpoint = self._newest
        compacted_through = self.visible_checkpoint.sequence
        del self._patches[: compacted_through - self._compacted]
        self._compacted = compacted_through

    def freeze(self) -> None:
        """Hide all later entries from readers until ``thaw``."""
        if self._frozen is None:
            self._frozen = (self.sequence, self._checkpoint)

    def thaw(self) -> None:
        """Show readers all entries again."""
        self._frozen = None
