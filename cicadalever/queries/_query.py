"""The state of one query: its pinned snapshot, its reads and its coverage."""

from typing import NamedTuple

from cicadalever.outcomes import Failure, FailureCode, is_not_run
from cicadalever.transport import ReadAnswer, ReadMode


class ShardRead(NamedTuple):
    """A read that was sent to an owner.

    ``number`` is unique in the query, ``owner`` is a peer address, and ``sent_at`` is a
    time of ``time.monotonic`` in seconds.
    """

    number: int
    shard: str
    replica: str
    owner: str
    sent_at: float
    mode: ReadMode


class MissingShard(NamedTuple):
    """A shard that the answer does not cover, and why.

    ``code`` is a ``FailureCode``. It is ``DEADLINE`` also if a read was not answered
    before the deadline of the query; that read may have run.
    """

    shard: str
    code: str
    reason: str


class Coverage(NamedTuple):
    """Which shards the answer covers, out of the ``total`` that the query needs."""

    total: int
    covered: tuple[str, ...]
    missing: tuple[MissingShard, ...]

    @property
    def fraction(self) -> float:
        """Covered shards as a fraction of ``total``; 0.0 if ``total`` is 0."""
        return len(self.covered) / self.total if self.total else 0.0


class Query:
    """Reads, rows and failures of one query against one pinned snapshot.

    ``shards`` maps each needed shard to its service and is fixed when the query begins.
    Rows are accepted only for a read that this query sent, only once per shard, and
    only from the pinned snapshot.
    """

    def __init__(self, query_id: str, snapshot: int, shards: dict[str, str]):
        self.query_id = query_id
        self.snapshot = snapshot
        self.shards = shards
        self._rows: dict[str, bytes] = {}
        self._failures: dict[str, Failure] = {}
        self._outstanding: dict[int, ShardRead] = {}
        self._tries: dict[str, int] = dict.fromkeys(shards, 0)
        self._tried_replicas: dict[str, set[str]] = {}
        self._pending_reads: dict[str, int] = dict.fromkeys(shards, 0)
        self._next_number = 0
        self._may_have_run = False

    @property
    def outstanding(self) -> dict[int, ShardRead]:
        """Reads that have neither ended nor been given up, by number."""
        return self._outstanding

    @property
    def rows(self) -> dict[str, bytes]:
        """Rows of each covered shard, as JSON."""
        return self._rows

    @property
    def is_complete(self) -> bool:
        """Whether every shard is covered."""
        return len(self._rows) == len(self.shards)

    @property
    def may_have_run(self) -> bool:
        """Whether any read of this query ran or may have run on an upstream."""
        return self._may_have_run or bool(self._rows) or bool(self._outstanding)

    def tries(self, shard: str) -> int:
        """Return the number of reads that were sent for ``shard``."""
        return self._tries[shard]

    def tried_replicas(self, shard: str) -> set[str]:
        """Return the ids of the replicas to which reads of ``shard`` were sent."""
        return self._tried_replicas.get(shard, set())

    def needs_read(self, shard: str) -> bool:
        """Tell whether ``shard`` has neither rows nor an outstanding read."""
        return shard not in self._rows and not self._pending_reads[shard]

    def is_covered(self, shard: str) -> bool:
        """Tell whether rows of ``shard`` were accepted."""
        return shard in self._rows

    def start_read(
        self, shard: str, replica: str, owner: str, mode: ReadMode, now: float
    ) -> ShardRead:
        """Record a read of ``shard`` as outstanding and return it."""
        read = ShardRead(self._next_number, shard, replica, owner, now, mode)
        self._next_number += 1
        self._outstanding[read.number] = read
        self._tries[shard] += 1
        self._pending_reads[shard] += 1
        self._tried_replicas.setdefault(shard, set()).add(replica)
        return read

    def accept(self, answer: ReadAnswer) -> tuple[ShardRead, Failure | None] | None:
        """Record an answer; return its read, and why it failed if it did.

        Return None for an answer to a read that is not outstanding.
        """
        read = self._outstanding.pop(answer.number, None)
        if read is None:
            return None
        self._pending_reads[read.shard] -= 1
        failure = self._failure_of(answer)
        if failure is None:
            self._may_have_run = True
            self._rows.setdefault(read.shard, answer.rows)
            return read, None
        self.fail(read, failure)
        return read, failure

    def give_up(self, read: ShardRead, failure: Failure) -> None:
        """Stop waiting for ``read``; an answer that still arrives is dropped."""
        if self._outstanding.pop(read.number, None) is not None:
            self._pending_reads[read.shard] -= 1
        self.fail(read, failure)

    def fail(self, read: ShardRead, failure: Failure) -> None:
        """Record why ``read`` returned no rows."""
        self._failures[read.shard] = failure
        if not is_not_run(failure.code):
            self._may_have_run = True

    def redundant_reads(self, shard: str) -> list[ShardRead]:
        """Return the outstanding reads of a covered shard."""
        if not self._pending_reads[shard]:
            return []
        return [read for read in self._outstanding.values() if read.shard == shard]

    def drop_rows(self, shard: str, failure: Failure) -> None:
        """Remove the rows of ``shard`` from the answer and record why."""
        del self._rows[shard]
        self._may_have_run = True
        self._failures[shard] = failure

    def fail_shard(self, shard: str, failure: Failure) -> None:
        """Record why no read was sent for ``shard``."""
        self._failures[shard] = failure

    def coverage(self) -> Coverage:
        """Return which of the pinned shards are covered and why others are not."""
        covered = tuple(shard for shard in self.shards if shard in self._rows)
        missing = tuple(
            self._missing_shard(shard)
            for shard in self.shards
            if shard not in self._rows
        )
        return Coverage(len(self.shards), covered, missing)

    def _missing_shard(self, shard: str) -> MissingShard:
        failure = self._failures.get(shard)
        if failure is None:
            failure = Failure(FailureCode.DEADLINE, "no answer before the deadline")
        return MissingShard(shard, str(failure.code), failure.reason)

    def _failure_of(self, answer: ReadAnswer) -> Failure | None:
        if answer.code:
            return Failure(FailureCode(answer.code), answer.reason)
        if answer.snapshot != self.snapshot:
            return Failure(
                FailureCode.UNKNOWN,
                f"rows of snapshot {answer.snapshot}, wanted {self.snapshot}",
            )
        return None
