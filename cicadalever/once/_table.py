"""The table of the request ids that one process issued."""

from collections import OrderedDict
from typing import Any, NamedTuple

from cicadalever.outcomes import Failure, FailureCode

from ._request_id import RequestId


class Begun(NamedTuple):
    """The request was recorded as running; the caller of ``begin`` must run it now."""

    request_id: RequestId


class InProgress(NamedTuple):
    """A copy of the request is running; its result is not known yet."""

    request_id: RequestId


class Finished(NamedTuple):
    """A copy of the request has run and had this result."""

    result: Any


class _StoredResult(NamedTuple):
    body_digest: bytes
    result: Any
    finished_at: float


class OnceTable:
    """Lets each request with an id of this process run at most once.

    An id is unused, running or finished. An unused id expires ``retention_s`` seconds
    after it was issued or its run was abandoned. A result is kept for ``retention_s``
    seconds. A running request does not expire, so each ``Begun`` must be followed by
    one ``finish`` or ``abandon``, at the latest when the deadline passes.

    At most ``capacity`` ids are unused, running or finished. Expired ids take no
    memory: an id that was issued and is in none of these states has expired.

    ``max_ids_per_s`` limits the rate of issued ids, with bursts of up to the same
    number. ``now`` is in seconds; a value below an earlier one counts as that one.

    >>> table = OnceTable("host-1", 7)
    >>> [request_id] = table.issue(1, 0.0)
    >>> table.begin(request_id, b"digest", 1.0)
    Begun(request_id=RequestId(host='host-1', incarnation=7, sequence=1))
    >>> table.finish(request_id, "done", 2.0)
    >>> table.begin(request_id, b"digest", 3.0)
    Finished(result='done')
    """

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        *,
        capacity: int = 100_000,
        retention_s: float = 600.0,
        max_ids_per_s: int = 1000,
    ):
        for name, value in (
            ("capacity", capacity),
            ("retention_s", retention_s),
            ("max_ids_per_s", max_ids_per_s),
        ):
            if value <= 0:
                raise ValueError(f"{name} must be above 0, got {value}")
        self.host_id = host_id
        self.incarnation = incarnation
        self.capacity = capacity
        self.retention_s = retention_s
        self.max_ids_per_s = max_ids_per_s
        self._last_sequence = 0
        self._latest_time = float("-inf")
        # Ids that may be issued now (token bucket).
        self._tokens = float(max_ids_per_s)
        # Both are in the order of expiry, since the time used never decreases.
        self._unused: OrderedDict[int, float] = OrderedDict()
        self._finished: OrderedDict[int, _StoredResult] = OrderedDict()
        self._running: dict[int, bytes] = {}
        self._abandoned: dict[int, bytes] = {}

    def __len__(self) -> int:
        """Return the number of ids that are unused, running or finished."""
        return len(self._unused) + len(self._running) + len(self._finished)

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._running)

    def issue(self, count: int, now: float) -> list[RequestId] | Failure:
        """Return ``count`` new ids, or a failure.

        Its code is ``INVALID`` if ``count`` is not in [1, ``max_ids_per_s``], and
        ``OVERLOAD`` if the table is full or the rate limit is exceeded.
        """
        if not 1 <= count <= self.max_ids_per_s:
            reason = f"count must be in [1, {self.max_ids_per_s}], got {count}"
            return Failure(FailureCode.INVALID, reason)
        self._advance(now)
        if len(self) + count > self.capacity:
            reason = f"the table of {self.capacity} ids is full"
            return Failure(FailureCode.OVERLOAD, reason)
        if count > self._tokens:
            reason = f"more than {self.max_ids_per_s} ids per second"
            return Failure(FailureCode.OVERLOAD, reason)
        self._tokens -= count
        first = self._last_sequence + 1
        self._last_sequence += count
        sequences = range(first, first + count)
        self._unused.update(dict.fromkeys(sequences, self._latest_time))
        return [
            RequestId(self.host_id, self.incarnation, sequence)
            for sequence in sequences
        ]

    def begin(
        self, request_id: RequestId, body_digest: bytes, now: float
    ) -> Begun | InProgress | Finished | Failure:
        """Record the request as running, unless it may have run already.

        The code of a failure is ``UNKNOWN`` if another process issued the id,
        ``INVALID`` if it was never issued, ``EXPIRED`` if it is no longer kept, and
        ``DUPLICATE_ID`` if it was used with another body, even if that run was
        abandoned.
        """
        failure = self._check_issued(request_id)
        if failure is not None:
            return failure
        self._advance(now)
        sequence = request_id.sequence
        first_digest = self._digest_of(sequence)
        if first_digest is not None and first_digest != body_digest:
            reason = f"{request_id} was used with another body"
            return Failure(FailureCode.DUPLICATE_ID, reason)
        if sequence in self._running:
            return InProgress(request_id)
        if sequence in self._finished:
            return Finished(self._finished[sequence].result)
        if self._unused.pop(sequence, None) is None:
            reason = f"{request_id} is no longer kept"
            return Failure(FailureCode.EXPIRED, reason)
        self._abandoned.pop(sequence, None)
        self._running[sequence] = body_digest
        return Begun(request_id)

    def finish(self, request_id: RequestId, result: Any, now: float) -> Failure | None:
        """Record the result of a request that began.

        A late result of an abandoned run is recorded as well, since it shows that the
        request did run. A second result changes nothing and is refused as
        ``DUPLICATE_ID``, one for an id that never began as ``INVALID``.
        """
        failure = self._check_issued(request_id)
        if failure is not None:
            return failure
        self._advance(now)
        sequence = request_id.sequence
        body_digest = self._running.pop(sequence, None)
        if body_digest is None:
            body_digest = self._abandoned.pop(sequence, None)
            if body_digest is None:
                return self._refuse_result(request_id)
            del self._unused[sequence]
        self._finished[sequence] = _StoredResult(body_digest, result, self._latest_time)
        return None

    def abandon(self, request_id: RequestId, now: float) -> Failure | None:
        """Record that a request which began certainly did not run.

        It may begin again with the same body. An id that is not running is refused as
        ``INVALID``.
        """
        failure = self._check_issued(request_id)
        if failure is not None:
            return failure
        self._advance(now)
        sequence = request_id.sequence
        body_digest = self._running.pop(sequence, None)
        if body_digest is None:
            return Failure(FailureCode.INVALID, f"{request_id} does not run")
        self._abandoned[sequence] = body_digest
        self._unused[sequence] = self._latest_time
        return None

    def _check_issued(self, request_id: RequestId) -> Failure | None:
        issuer = (request_id.host, request_id.incarnation)
        if issuer != (self.host_id, self.incarnation):
            reason = f"{request_id} was issued by another process"
            return Failure(FailureCode.UNKNOWN, reason)
        if not 1 <= request_id.sequence <= self._last_sequence:
            return Failure(FailureCode.INVALID, f"{request_id} was never issued")
        return None

    def _digest_of(self, sequence: int) -> bytes | None:
        """Return the digest of the body that the id was first used with, if any."""
        if sequence in self._finished:
            return self._finished[sequence].body_digest
        running = self._running.get(sequence)
        return self._abandoned.get(sequence) if running is None else running

    def _refuse_result(self, request_id: RequestId) -> Failure:
        if request_id.sequence in self._unused:
            return Failure(FailureCode.INVALID, f"{request_id} never began")
        reason = f"{request_id} has a result or expired"
        return Failure(FailureCode.DUPLICATE_ID, reason)

    def _advance(self, now: float) -> None:
        """Set the time to ``now``: refill the rate limit and drop expired ids."""
        if now <= self._latest_time:
            return
        refill = (now - self._latest_time) * self.max_ids_per_s
        self._tokens = min(float(self.max_ids_per_s), self._tokens + refill)
        self._latest_time = now
        cutoff = now - self.retention_s
        while self._unused and next(iter(self._unused.values())) <= cutoff:
            sequence = self._unused.popitem(last=False)[0]
            self._abandoned.pop(sequence, None)
        finished = self._finished
        while finished and next(iter(finished.values())).finished_at <= cutoff:
            finished.popitem(last=False)
