"""One upstream: its slots, queue, runs, drain and crash."""

import random
import time
from collections import deque
from typing import NamedTuple

import msgspec

from standins._eventlet import eventlet
from standins._http import Connection, ConnectionEnd, HttpRequest, StandinServer
from standins._wait import WakeReason

from . import _ledger
from ._ledger import Ledger
from ._parameters import Parameters
from ._service import Service

DRAINING_HEADER = b"X-Draining: 1\r\n"
# Above this number, an upstream forgets the oldest ids of runs.
MAX_RUN_IDS = 200_000
CANCEL_PREFIX = b"/v1/requests/"
STATUS_OF_REFUSAL = {"snapshot": 410, "shard": 410, "duplicate": 409, "invalid": 400}
# Values of X-Not-Run that differ from the reason by which the ledger counts a refusal.
NOT_RUN_OF_REFUSAL = {"shard": b"snapshot", "cancelled": b"shed"}


class ShardRequest(NamedTuple):
    """A read or run request on one shard.

    ``deadline`` is a monotonic time, ``arrived_unix`` a Unix time; both in seconds.
    """

    request_id: str
    operation: str
    shard: str
    snapshot: str
    deadline: float | None
    parameters: dict
    arrived_unix: float


class Task:
    """A request that waits for a slot or runs.

    ``epoch`` is the number of the upstream's start during which it arrived.
    ``granted`` is set when a queued task gets a slot.
    """

    __slots__ = ("connection", "epoch", "granted", "cancelled")

    def __init__(self, connection: Connection, epoch: int):
        self.connection = connection
        self.epoch = epoch
        self.granted = False
        self.cancelled = False


def parse_shard_request(request: HttpRequest) -> ShardRequest | None:
    """Return the decoded request, or None if it is malformed."""
    headers = request.headers
    try:
        parameters = msgspec.json.decode(request.body) if request.body else {}
        remaining_ms = headers.get(b"x-deadline-ms")
        deadline = remaining_ms and time.monotonic() + float(remaining_ms) / 1000
        shard_request = ShardRequest(
            headers[b"x-request-id"].decode(),
            request.target[4:].decode(),
            headers[b"x-shard"].decode(),
            headers[b"x-snapshot"].decode(),
            deadline or None,
            parameters,
            time.time(),
        )
    except (KeyError, ValueError):
        return None
    return shard_request if isinstance(parameters, dict) else None


class Upstream:
    """Serves the interface of an upstream on one port.

    The service times are drawn from ``rng``, so the n-th run of an upstream takes the
    same time for the same seed.
    """

    def __init__(
        self,
        name: str,
        address: str,
        service: Service,
        parameters: Parameters,
        ledger: Ledger,
        rng: random.Random,
    ):
        self.name = name
        self.service = service
        self.parameters = parameters
        self.ledger = ledger
        self.rng = rng
        self._server = StandinServer(
            address, self._handle, admit=self._admit, released=self._release
        )
        self._epoch = 0
        self._reset_state()
        self._is_up = False
        self._draining_since: float | None = None
        self._health = (0.0, {})

    @property
    def is_up(self) -> bool:
        """Whether the port accepts connections."""
        return self._is_up

    def start(self) -> None:
        """Start to listen, in the cold state; no effect if the upstream is up."""
        if self._is_up:
            return
        self._reset_state()
        self._is_up = True
        self._server.start()
        self.ledger.add_event(self.name, "start")

    def stop(self, kind: str = "stop") -> None:
        """Refuse connections and reset all open ones, as the end of a process does."""
        if not self._is_up:
            return
        self._is_up = False
        self.ledger.add_event(self.name, kind)
        self._server.stop()
        self._server.abort_connections()

    def crash(self) -> None:
        """Stop at once; start again after ``restart_s``, in the cold state."""
        self.stop("crash")
        eventlet.spawn_after(self.parameters.restart_s, self.start)

    def drain(self) -> None:
        """Mark answers as draining; refuse new work after ``drain_refuse_after_s``."""
        self._draining_since = time.monotonic()
        self.ledger.add_event(self.name, "drain")

    def undrain(self) -> None:
        """Take new work again."""
        self._draining_since = None
        self.ledger.add_event(self.name, "undrain")

    def describe(self) -> dict:
        """Return the present state, which ``/v1/health`` reports with a delay."""
        return {
            "state": "draining" if self._draining_since is not None else "ready",
            "is_up": self._is_up,
            "running": self._running,
            "queued": len(self._queue),
            "runs_since_start": self._runs,
        }

    def _reset_state(self) -> None:
        # The epoch keeps tasks of an earlier start from releasing slots of this one.
        self._epoch += 1
        self._running = 0
        self._runs = 0
        self._cold_refused = 0
        self._queue: deque[Task] = deque()
        self._active: dict[str, Task] = {}
        self._run_ids: dict[str, None] = {}

    # Connections

    def _admit(self, connection: Connection) -> bool:
        # Lets the event loop first count the end of earlier connections.
        eventlet.sleep(0)
        if not self.service.try_open():
            return False
        try:
            if self.parameters.connect_s > 0:
                connection.sleep(self.parameters.connect_s)
        except ConnectionEnd:
            self.service.close()
            return False
        if not self._is_up:
            self.service.close()
            connection.abort()
            return False
        return True

    def _release(self, _connection: Connection) -> None:
        self.service.close()

    def _handle(self, connection: Connection, request: HttpRequest) -> None:
        if request.method == b"POST" and request.target in (b"/v1/read", b"/v1/run"):
            self._serve_shard_request(connection, request)
        elif request.method == b"DELETE" and request.target.startswith(CANCEL_PREFIX):
            self._cancel(connection, request.target[len(CANCEL_PREFIX) :].decode())
        elif request.target == b"/v1/health":
            connection.send_json(200, self._cached_health())
        else:
            connection.send(404, b"{}")

    # Requests on shards

    def _serve_shard_request(
        self, connection: Connection, request: HttpRequest
    ) -> None:
        shard_request = parse_shard_request(request)
        if shard_request is None:
            self._refuse(connection, "invalid")
            return
        refusal = self._find_refusal(shard_request)
        if refusal is not None:
            self._refuse(connection, refusal)
            return
        task = Task(connection, self._epoch)
        self._active[shard_request.request_id] = task
        try:
            refusal = self._acquire_slot(task, shard_request)
            if refusal is not None:
                self._refuse(connection, refusal)
                return
            try:
                status = self._run(task, shard_request)
            finally:
                self._release_slot(task)
        finally:
            if self._active.get(shard_request.request_id) is task:
                del self._active[shard_request.request_id]
        self._answer(connection, shard_request, status)

    def _find_refusal(self, shard_request: ShardRequest) -> str | None:
        parameters = self.parameters
        if self._draining_since is not None:
            draining_s = time.monotonic() - self._draining_since
            if draining_s >= parameters.drain_refuse_after_s:
                return "draining"
        shards = parameters.snapshots.get(shard_request.snapshot)
        if shards is None:
            return "snapshot"
        if shard_request.shard not in shards:
            return "shard"
        if (
            shard_request.operation == "run"
            and shard_request.request_id in self._run_ids
        ):
            return "duplicate"
        if self._cold_refused < parameters.cold_refusals:
            self._cold_refused += 1
            return "cold"
        return None

    def _acquire_slot(self, task: Task, shard_request: ShardRequest) -> str | None:
        now = time.monotonic()
        if shard_request.deadline is not None and now >= shard_request.deadline:
            return "deadline"
        if self._running < self.parameters.slots and not self._queue:
            self._running += 1
            return self._register_run_id(task, shard_request)
        if len(self._queue) >= self.parameters.queue_length:
            return "shed"
        wait_s = self.parameters.queue_wait_s
        if shard_request.deadline is not None:
            wait_s = min(wait_s, shard_request.deadline - now)
        return self._wait_for_slot(task, shard_request, now + wait_s)

    def _wait_for_slot(
        self, task: Task, shard_request: ShardRequest, until: float
    ) -> str | None:
        queue = self._queue
        queue.append(task)
        wake = self._wait_until(task, until, awaits_slot=True)
        if not task.granted:
            if task in queue:
                queue.remove(task)
            if wake is WakeReason.ABORTED:
                raise ConnectionEnd
            if wake is WakeReason.NOTIFIED:
                return "cancelled"
            is_expired = (
                shard_request.deadline is not None
                and time.monotonic() >= shard_request.deadline
            )
            return "deadline" if is_expired else "shed"
        if wake is WakeReason.ABORTED:
            self._release_slot(task)
            raise ConnectionEnd
        if task.cancelled:
            self._release_slot(task)
            return "cancelled"
        return self._register_run_id(task, shard_request)

    def _register_run_id(self, task: Task, shard_request: ShardRequest) -> str | None:
        """Register the id of a run that has a slot; release the slot of a duplicate."""
        if shard_request.operation != "run":
            return None
        if shard_request.request_id in self._run_ids:
            self._release_slot(task)
            return "duplicate"
        self._run_ids[shard_request.request_id] = None
        if len(self._run_ids) > MAX_RUN_IDS:
            del self._run_ids[next(iter(self._run_ids))]
        return None

    def _wait_until(
        self, task: Task, until: float, *, awaits_slot: bool = False
    ) -> WakeReason:
        """Wait until a monotonic time; return ``ABORTED`` if the client disconnects.

        Of the notifications, only a cancellation and, with ``awaits_slot``, the grant
        of a slot end the wait; others arrive late and are ignored.
        """
        connection = task.connection
        watches_client = True
        while True:
            remaining_s = max(0.0, until - time.monotonic())
            wake = connection.wait.park(remaining_s, read=watches_client)
            if wake is WakeReason.NOTIFIED:
                if task.cancelled or (awaits_slot and task.granted):
                    return wake
                continue
            if wake is not WakeReason.READABLE:
                return wake
            if connection.is_closed_by_client():
                return WakeReason.ABORTED
            # The client has sent a pipelined request. The socket stays readable, so
            # watching it further would end each wait at once.
            watches_client = False

    def _release_slot(self, task: Task) -> None:
        if task.epoch != self._epoch or not self._is_up:
            return
        self._running -= 1
        while self._queue and self._running < self.parameters.slots:
            task = self._queue.popleft()
            task.granted = True
            self._running += 1
            task.connection.wait.notify()

    def _run(self, task: Task, shard_request: ShardRequest) -> int:
        entry = self.ledger.start(
            self.name,
            shard_request.request_id,
            shard_request.shard,
            int(shard_request.snapshot),
            shard_request.operation,
            shard_request.arrived_unix,
        )
        if shard_request.parameters.get(self.parameters.poison_key):
            self.ledger.finish(entry, _ledger.CRASHED)
            self.crash()
            task.connection.abort()
            raise ConnectionEnd
        until = time.monotonic() + self._draw_service_time_s()
        ends_at_deadline = (
            shard_request.deadline is not None and shard_request.deadline < until
        )
        wake = self._wait_until(
            task, shard_request.deadline if ends_at_deadline else until
        )
        if wake is WakeReason.ABORTED:
            is_same_epoch = self._is_up and task.epoch == self._epoch
            outcome = _ledger.CLIENT_CLOSED if is_same_epoch else _ledger.CRASHED
            self.ledger.finish(entry, outcome)
            raise ConnectionEnd
        if task.cancelled:
            self.ledger.finish(entry, _ledger.CANCELLED)
            return 499
        if ends_at_deadline:
            self.ledger.finish(entry, _ledger.DEADLINE)
            return 504
        self.ledger.finish(entry, _ledger.DONE)
        return 200

    def _draw_service_time_s(self) -> float:
        parameters = self.parameters
        seconds = parameters.service_s * parameters.slow_factor
        seconds *= 1 + parameters.jitter * (2 * self.rng.random() - 1)
        if self.rng.random() < parameters.straggler_fraction:
            seconds *= parameters.straggler_factor
        if self._runs < parameters.cold_requests:
            seconds *= parameters.cold_factor
        self._runs += 1
        return seconds

    # Answers

    def _answer(
        self, connection: Connection, shard_request: ShardRequest, status: int
    ) -> None:
        snapshot = self.parameters.echo_snapshot or int(shard_request.snapshot)
        headers = b"X-Snapshot: %d\r\n" % snapshot
        if self._draining_since is not None:
            headers += DRAINING_HEADER
        if status != 200:
            connection.send(status, b"{}", headers)
            return
        row = {
            "shard": shard_request.shard,
            "snapshot": snapshot,
            "echo": shard_request.parameters.get("echo"),
        }
        connection.send(200, msgspec.json.encode([row]), headers)

    def _refuse(self, connection: Connection, reason: str) -> None:
        self.ledger.count_refusal(self.name, reason)
        status = STATUS_OF_REFUSAL.get(reason, 503)
        headers = DRAINING_HEADER if self._draining_since is not None else b""
        if status in (410, 503):
            not_run = NOT_RUN_OF_REFUSAL.get(reason, reason.encode())
            headers += b"X-Not-Run: %b\r\n" % not_run
        connection.send(status, b"{}", headers)

    def _cancel(self, connection: Connection, request_id: str) -> None:
        task = self._active.get(request_id)
        if task is None:
            connection.send(404, b"{}")
            return
        task.cancelled = True
        task.connection.wait.notify()
        connection.send(200, b"{}")

    def _cached_health(self) -> dict:
        now = time.monotonic()
        computed_at, health = self._health
        if not health or now - computed_at >= self.parameters.health_lag_s:
            health = self._current_health()
            self._health = (now, health)
        return health

    def _current_health(self) -> dict:
        load = self.parameters.reported_load
        if load is None:
            load = (self._running + len(self._queue)) / max(1, self.parameters.slots)
        return {"state": self.describe()["state"], "load": load}
