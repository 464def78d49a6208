"""Stand-ins for the platform's store and replicas, and a gateway process to test.

The stand-ins implement the published protocol on loopback, in green threads of the test
process. Tests can make them fail in several ways.
"""

import contextlib
import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from collections import Counter
from pathlib import Path
from random import SystemRandom
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import eventlet

ROOT = Path(__file__).parents[1]
GATEWAY = ROOT / "platform" / "gateway.py"
# Ports of gateways, the last one excluded.
GATEWAY_PORTS = (12_000, 32_000)
# Connections after which the queue of a listener without a backlog is full.
FULL_QUEUE = 4
# Modes of ``FaultProxy`` in which no new connection is accepted.
CUT_MODES = ("cut", "refuse", "sever")
# Items per page of a range read.
PAGE_ITEMS = 3
# Timeout of all waits.
WAIT_S = 20.0


_port_rng = SystemRandom()
_returned_ports = set()


def wait_for(condition, what="the condition"):
    """Run the event loop until a condition is true."""
    with eventlet.Timeout(WAIT_S, AssertionError(f"timed out waiting for {what}")):
        while not condition():
            eventlet.sleep(0.005)


def free_port():
    """Return a port that no socket uses, at any address, and that was not returned yet.

    It lies below the ports that Linux gives to outgoing connections, one of which could
    otherwise take it before a gateway does.
    """
    while True:
        port = _port_rng.randrange(*GATEWAY_PORTS)
        if port in _returned_ports:
            continue
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagram,
        ):
            try:
                stream.bind(("0.0.0.0", port))
                datagram.bind(("0.0.0.0", port))
            except OSError:
                continue
        _returned_ports.add(port)
        return port


def read_message(sock, data=b""):
    """Return start line, headers and body of an HTTP message, and the bytes after it.

    ``data`` are bytes that were received before. Return None at the end of the stream.
    """
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return None
        data += more
    head, _, rest = data.partition(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", 0))
    while len(rest) < length:
        more = sock.recv(65536)
        if not more:
            raise ConnectionResetError("the connection ended within a body")
        rest += more
    return start_line, headers, rest[:length], rest[length:]


class _Server:
    def __init__(self, port=0):
        self._listener = eventlet.listen(("127.0.0.1", port))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._sockets = set()
        # Number of connections that were accepted.
        self.connections = 0
        self._threads = [eventlet.spawn(self._accept)]

    @property
    def open_connections(self):
        """Number of accepted connections that neither side has closed."""
        return sum(sock.fileno() >= 0 for sock in self._sockets)

    def stop(self):
        """Close all sockets."""
        for thread in self._threads:
            thread.kill()
        for sock in [self._listener, *self._sockets]:
            sock.close()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self._sockets.add(sock)
            self.connections += 1
            self._threads.append(eventlet.spawn(self._serve, sock))

    def _serve(self, sock):
        rest = b""
        try:
            while (message := read_message(sock, rest)) is not None:
                start_line, headers, body, rest = message
                self.answer(sock, start_line, headers, body)
        except (OSError, EOFError):
            # Also when a crash of the replica closes the socket.
            pass
        sock.close()


class StoreStandIn(_Server):
    """Store with revisions, paged range reads, and watches."""

    def __init__(self):
        # Number of the history, which rises when the store returns to an older state.
        self.era = 1
        self.revision = 1
        self.items = {}
        self.log = []
        self.history_from = 0
        self.is_down = False
        # Whether watches are refused while reads are answered.
        self.refuses_watches = False
        # Status of refusals, and time by which all answers are late.
        self.refusal_status = 503
        self.delay_s = 0.0
        # Whether answers are lost, also those to the watches that wait. A connection
        # on which one was lost stays open, and nothing follows on it.
        self.loses_answers = False
        # Items and revision of the copy that answers reads that may be stale, or None
        # for the current state.
        self.stale_copy = None
        self.calls = Counter()
        super().__init__()

    def put(self, key, value):
        """Write an item; a ``value`` that is not bytes is encoded as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "Key": key,
            "Value": b64encode(raw).decode(),
            "Rev": self.revision,
            "Created": self.revision,
            "Lease": 0,
        }
        self.items[key] = item
        self.log.append(item)

    def delete(self, key):
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self.log.append({"Key": key, "Rev": self.revision, "Deleted": True})

    def restore(self, revision):
        """Return to the state at a revision and forget all changes since then.

        Revisions are given out again from there. Waiting watches are answered when a
        later revision than theirs is given out.
        """
        self.era += 1
        self.revision = revision
        self.history_from = min(self.history_from, revision)
        self.log = [event for event in self.log if event["Rev"] <= revision]
        self.items = {
            event["Key"]: event for event in self.log if "Deleted" not in event
        }
        for event in self.log:
            if "Deleted" in event and self.items[event["Key"]]["Rev"] < event["Rev"]:
                del self.items[event["Key"]]

    def keep_stale_copy(self):
        """Answer reads that may be stale with the present state from now on."""
        self.stale_copy = (dict(self.items), self.revision)

    def forget_history(self):
        """Answer watches from before the current revision with 410."""
        self.history_from = self.revision

    def answer(self, sock, start_line, headers, body):
        """Answer one call of a gateway."""
        self.answer_with(sock, start_line, lambda item: item)

    def answer_with(self, sock, start_line, change):
        """Answer one call with items to which ``change`` was applied."""
        parts = urlsplit(start_line.split()[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name = parts.path.rpartition("/")[2]
        self.calls[name] += 1
        if self.is_down or (self.refuses_watches and name == "kv-watch"):
            status, content = self.refusal_status, {}
        elif name == "kv-range":
            status, content = 200, self._range(query)
        else:
            status, content = self._watch(query)
        if self.delay_s:
            eventlet.sleep(self.delay_s)
        if self.loses_answers:
            _discard(sock)
            raise EOFError
        for name in ("items", "events"):
            if name in content:
                content[name] = [change(item) for item in content[name]]
        data = json.dumps(content).encode()
        sock.sendall(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (status, self.era, len(data), data)
        )

    def _range(self, query):
        after = query.get("after", "")
        items, revision = self.items, self.revision
        if self.stale_copy is not None and "AllowStale" in query:
            items, revision = self.stale_copy
        keys = sorted(
            key
            for key in items
            if key.startswith(query.get("Prefix", "")) and key > after
        )
        page = [items[key] for key in keys[:PAGE_ITEMS]]
        return {"items": page, "HasMore": len(keys) > PAGE_ITEMS, "AsOf": revision}

    def _watch(self, query):
        after = int(query["after"])
        if after > self.revision:
            return 410, {}
        until = time.monotonic() + int(query["WaitMs"]) / 1000.0
        while True:
            if after < self.history_from:
                return 410, {}
            # A change that comes during the pause belongs to the next answer.
            revision = self.revision
            events = [
                event
                for event in self.log
                if event["Rev"] > after
                and event["Key"].startswith(query.get("Prefix", ""))
            ]
            is_over = time.monotonic() >= until
            if events or is_over or self.is_down or self.loses_answers:
                break
            eventlet.sleep(0.005)
        if self.is_down:
            return self.refusal_status, {}
        return 200, {"events": events, "AsOf": revision}


class StoreView(_Server):
    """Another address of a store, which names other addresses of the replicas.

    ``addresses`` maps ids of replicas to these addresses. A gateway that uses the view
    reaches the replicas by links of its own.
    """

    def __init__(self, store, addresses):
        self.store = store
        self.addresses = addresses
        super().__init__()

    def answer(self, sock, start_line, headers, body):
        """Answer one call of a gateway."""
        self.store.answer_with(sock, start_line, self._replace_address)

    def _replace_address(self, item):
        address = self.addresses.get(item["Key"].removeprefix("servers/"))
        if address is None or "Value" not in item:
            return item
        try:
            entry = json.loads(b64decode(item["Value"]))
        except (ValueError, RecursionError):
            # An entry of another writer, which names no address.
            return item
        entry |= {"Address": address}
        return item | {"Value": b64encode(json.dumps(entry).encode()).decode()}


# Time for which a replica that a request has crashed is down.
DOWN_S = 1.5


class Pause(NamedTuple):
    """A pause that a replica asked for in its answer to a request.

    ``answered_at`` is in seconds on the monotonic clock, and ``seconds`` the length.
    """

    request_id: str
    answered_at: float
    seconds: float


class ReplicaStandIn(_Server):
    """Replica whose ``behaviour`` selects how it answers the next requests.

    The behaviours are ``answer``, ``error``, ``busy`` and ``many`` (runs the request
    but answers 500, 503 or 429), ``shed`` (states that it did not run the request),
    ``hang``, ``reset`` (runs the request and closes the connection), ``cut`` (truncates
    the answer), ``foreign`` (sends the answer to another request first) and ``other``
    (answers 421 as if it were another replica).

    ``requests`` are the received requests as start line, headers and body, and
    ``executed_ids`` the ids of those that ran. A replica that ``is_leaving`` says so in
    all its answers, and its answers with status 503 ask for a pause of ``pause_s``
    seconds unless that is None.
    """

    def __init__(self, service, replica_id, record=b"0" * 16):
        self.service = service
        self.id = replica_id
        self.record = record
        self.behaviour = "answer"
        self.delay_s = 0.0
        # Where a ``cut`` answer ends, whether its connection is reset then, and whether
        # the body comes in chunks.
        self.cut_at = -4
        self.cuts_by_reset = False
        self.is_chunked = False
        self._rate_limit = None
        # Time of the first answer that named it, in seconds on the monotonic clock.
        self.limit_named_at = None
        # Time of arrival of each request, in seconds on the monotonic clock.
        self.arrivals = []
        self.is_leaving = False
        # Id and time (monotonic, in seconds) of the answers that said so.
        self.leaving_answers = []
        self.pause_s = None
        self.pauses = []
        # Unix time in milliseconds at which the process of the replica has started.
        self.born = int(time.time() * 1000)
        # Greatest number of requests that it has worked on at a time.
        self.most_in_progress = 0
        self._in_progress = 0
        # Path whose requests crash the replica: all its connections end, and it
        # accepts none for ``down_s`` seconds. Then it is another process.
        self.poison_path = None
        self.down_s = DOWN_S
        # Times of its crashes, in seconds on the monotonic clock.
        self.crash_times = []
        self._is_down = False
        self.executed_ids = []
        self.requests = []
        super().__init__()

    @property
    def rate_limit(self):
        """Requests per second that its answers name as taken from all hosts."""
        return self._rate_limit

    @rate_limit.setter
    def rate_limit(self, limit_per_s):
        self._rate_limit = limit_per_s
        self.limit_named_at = None

    def entry(self, **changes):
        """Return the entry that the replica publishes in the store."""
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "dc-a",
            "Version": "v1",
            "Slots": 2,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Seq": 1,
            "born": self.born,
        }
        return entry | changes

    def _crash(self):
        if self._is_down:
            return
        self._is_down = True
        self.crash_times.append(time.monotonic())
        address = self._listener.getsockname()
        (acceptor, *_) = self._threads
        acceptor.kill()
        for sock in [self._listener, *self._sockets]:
            _abort(sock)
            sock.close()
        eventlet.sleep(self.down_s)
        self.restart()
        self._listener = eventlet.listen(address)
        self._threads[0] = eventlet.spawn(self._accept)
        self._is_down = False

    def restart(self):
        """Become another process, which is not leaving, under the same id."""
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.is_leaving = False

    def answer(self, sock, start_line, headers, body):
        """Answer one request according to the behaviour."""
        self._in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self._in_progress)
        try:
            self._answer(sock, start_line, headers, body)
        finally:
            self._in_progress -= 1

    def _answer(self, sock, start_line, headers, body):
        self.requests.append((start_line, headers, body))
        self.arrivals.append(time.monotonic())
        request_id = headers["x-request-id"].encode()
        behaviour = self.behaviour
        if behaviour == "other" or headers["x-expect-instance"] != self.id:
            sock.sendall(
                b"HTTP/1.1 421 X\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % request_id
            )
            return
        if behaviour == "shed":
            sock.sendall(
                b"HTTP/1.1 503 X\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n"
                b"%sContent-Length: 0\r\n\r\n"
                % (request_id, self._own_lines(503, request_id))
            )
            return
        self.executed_ids.append(headers["x-request-id"])
        if self.delay_s:
            eventlet.sleep(self.delay_s)
        if behaviour == "hang":
            eventlet.sleep(WAIT_S)
        if start_line.split()[1] == self.poison_path:
            self._crash()
        if behaviour == "reset":
            sock.shutdown(socket.SHUT_RDWR)
            return
        if behaviour == "foreign":
            sock.sendall(self._encode(200, b"another", b"9" * 16))
        status = {"error": 500, "busy": 503, "many": 429}.get(behaviour, 200)
        data = self._encode(status, request_id, self.record)
        if behaviour == "cut":
            sock.sendall(data[: self.cut_at])
            if self.cuts_by_reset:
                _abort(sock)
            else:
                sock.shutdown(socket.SHUT_RDWR)
            return
        sock.sendall(data)

    def _encode(self, status, request_id, body):
        signature = f"{self.id}.{request_id.decode()}".encode()
        if self.is_chunked:
            framing = b"Transfer-Encoding: chunked"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        else:
            framing = b"Content-Length: %d" % len(body)
        return (
            b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\n"
            b"Keep-Alive: timeout=15\r\n%s%s\r\n\r\n%s"
            % (
                status,
                request_id,
                signature,
                self._own_lines(status, request_id),
                framing,
                body,
            )
        )

    def _own_lines(self, status, request_id):
        """Return the lines of a head in which the replica speaks of itself."""
        lines = self._limit_line()
        now = time.monotonic()
        if self.is_leaving:
            self.leaving_answers.append((request_id.decode(), now))
            lines += b"Server-Leaving: 1\r\n"
        if status == 503 and self.pause_s is not None:
            self.pauses.append(Pause(request_id.decode(), now, self.pause_s))
            lines += b"Retry-After: %g\r\n" % self.pause_s
        return lines

    def _limit_line(self):
        if self.rate_limit is None:
            return b""
        if self.limit_named_at is None:
            self.limit_named_at = time.monotonic()
        return b"Server-Limit: %.2f\r\n" % self.rate_limit


class FaultProxy(_Server):
    """Proxy that forwards connections to ``target``; ``mode`` selects a fault.

    The modes are ``pass`` (no fault), ``delay`` (50 ms each way), ``reset``
    (connections are reset), ``silence`` (bytes are held back in both directions) and
    ``one_way`` (answers are held back). Bytes that were held back are forwarded when
    the mode changes. In the mode ``cut``, bytes are held back and new connections hang,
    in the mode ``refuse``, open connections work and new ones are refused, and in the
    mode ``sever``, the open ones are reset as well.

    ``mute`` silences open connections for good, and new ones are silenced from the
    start while ``mutes_new`` is true. Both ends stay open, so that the kernel answers
    keep-alive probes. ``muted_at`` has the times, on the monotonic clock, at which
    connections fell silent.
    """

    def __init__(self, target):
        self.target = target
        self._mode = "pass"
        self.mutes_new = False
        self.muted_at = []
        # Sockets of the clients, of those whose connections are silent for good, and
        # of those whose connections will be after half of their next answer.
        self._clients = set()
        self._muted = set()
        self._half_muted = set()
        # Connections that fill the queue of the listener.
        self._fillers = []
        # No outgoing connection can take the port while nobody listens.
        super().__init__(free_port())
        self._own_address = self._listener.getsockname()
        (self._acceptor,) = self._threads

    @property
    def mode(self):
        """The current fault."""
        return self._mode

    @mode.setter
    def mode(self, mode):
        previous, self._mode = self._mode, mode
        if mode in CUT_MODES and previous != mode:
            self._stop_listening()
            if mode == "cut":
                self._listen_in_vain()
        elif previous in CUT_MODES and mode not in CUT_MODES:
            self._stop_listening()
            self._listener = eventlet.listen(self._own_address)
            self._acceptor = eventlet.spawn(self._accept)
        if mode in ("reset", "sever"):
            for sock in list(self._sockets):
                _abort(sock)

    def mute(self, share=1.0, rng=None, *, is_after_half=False):
        """Silence open connections for good, or each with the probability ``share``.

        With ``is_after_half``, a connection works until half of its next answer has
        passed.
        """
        for sock in self._clients - self._muted:
            if rng is not None and rng.random() >= share:
                continue
            if is_after_half:
                self._half_muted.add(sock)
            else:
                self._mute(sock)

    def mute_halved(self):
        """Silence the connections whose next answer has not come yet."""
        for sock in list(self._half_muted):
            self._mute(sock)

    def _mute(self, sock):
        self._half_muted.discard(sock)
        self._muted.add(sock)
        self.muted_at.append(time.monotonic())

    def stop(self):
        """Close all sockets."""
        self._stop_listening()
        super().stop()

    def _stop_listening(self):
        self._acceptor.kill()
        for sock in [self._listener, *self._fillers]:
            sock.close()
        self._fillers = []

    def _listen_in_vain(self):
        """Listen with a full queue, so that the kernel drops new connections."""
        self._listener = eventlet.listen(self._own_address, backlog=0)
        self._fillers = [socket.socket() for _ in range(FULL_QUEUE)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(self._own_address)

    def _serve(self, sock):
        if self._mode == "reset":
            _abort(sock)
            return
        if self.mutes_new:
            self.muted_at.append(time.monotonic())
            _discard(sock)
            sock.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = eventlet.connect((host, int(port)))
        except OSError:
            sock.close()
            return
        self._sockets.add(upstream)
        self._clients.add(sock)
        answers = eventlet.spawn(self._copy, upstream, sock, is_answer=True)
        try:
            self._copy(sock, upstream, is_answer=False)
        finally:
            for group in (self._clients, self._muted, self._half_muted):
                group.discard(sock)
            # Also when ``stop`` ends this thread: a thread that waits on a closed
            # descriptor breaks the next test that gets the same number.
            answers.kill()
            sock.close()
            upstream.close()

    def _copy(self, source, target, *, is_answer):
        try:
            while data := source.recv(65536):
                while self._mode in ("silence", "cut") or (
                    self._mode == "one_way" and is_answer
                ):
                    eventlet.sleep(0.01)
                if self._mode == "delay":
                    eventlet.sleep(0.05)
                if is_answer and target in self._half_muted:
                    target.sendall(data[: len(data) // 2])
                    self._mute(target)
                elif not self._is_muted(source, target):
                    target.sendall(data)
            if not self._is_muted(source, target):
                target.shutdown(socket.SHUT_WR)
        except (OSError, EOFError):
            _abort(source)
            _abort(target)

    def _is_muted(self, *ends):
        return not self._muted.isdisjoint(ends)


def _discard(sock):
    """Read and drop what comes until the other end closes the connection."""
    while sock.recv(65536):
        pass


def _abort(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)


SETTINGS = """Node={node}
Role=gateway
Zone={data_centre}
Region=r
Zones.dc-a=r
Zones.dc-b=r
Listen.Front={host}:{front}
Listen.Ready={host}:{ready}
InternalPorts={peers},{peers}
Seeds={seeds}
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps={link_mbps}
HeartbeatMs=1200
Bounds.GraceS=6
Bounds.ContactMs={contact_ms}
Bounds.ConfigApplyMs={apply_ms}
Bounds.DrainMs={drain_ms}
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.RetrySlack=52
platform.Address={store}
platform.form=read
"""


def encode_request(path, request_id, method, body, deadline_ms):
    """Return the bytes of a request of a caller."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Request-Deadline: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


class GatewayProcess:
    """A gateway process that uses the stand-ins.

    Gateways that should find each other as peers need different addresses (``host``),
    the same ``peer_port``, and the address of at least one of them in ``seeds``.
    """

    def __init__(
        self,
        store,
        *,
        node="host-1",
        host="127.0.0.1",
        peer_port=None,
        seeds="",
        link_mbps=100,
        contact_ms=4000,
        apply_ms=800,
        drain_ms=3000,
        data_centre="dc-a",
        root=ROOT,
        is_started=True,
    ):
        # Folder of the build that is run.
        self.root = root
        self.caller_address = (host, free_port())
        self.readiness_address = (host, free_port())
        self.peer_port = peer_port or free_port()
        settings = SETTINGS.format(
            front=self.caller_address[1],
            ready=self.readiness_address[1],
            peers=self.peer_port,
            node=node,
            host=host,
            seeds=seeds,
            link_mbps=link_mbps,
            contact_ms=contact_ms,
            apply_ms=apply_ms,
            drain_ms=drain_ms,
            data_centre=data_centre,
            store=store.address,
        )
        self.process = None
        self._unread = None
        self.folder = tempfile.TemporaryDirectory()
        self.settings_path = Path(self.folder.name, "boot.conf")
        self.settings_path.write_text(settings)
        self.log_path = Path(self.folder.name, "log")
        self.log = open(self.log_path, "ab")  # noqa: SIM115
        if is_started:
            self.start()

    def restart_with_unread_output(self):
        """Restart the process with a pipe as standard output that is not read."""
        self.process.kill()
        self.process.wait()
        reader, writer = os.pipe()
        self.log.close()
        self.log = open(writer, "ab", buffering=0)  # noqa: SIM115
        # The read end stays open, so that the pipe fills up.
        self._unread = open(reader, "rb", buffering=0)  # noqa: SIM115
        self.start()

    def start(self, command=None, **options):
        """Start the process; it appends to the log.

        ``command`` and ``options`` of ``Popen`` replace the usual ones.
        """
        usual = {
            "cwd": self.root,
            "env": os.environ | {"CICADALEVER_NODE_FILE": str(self.settings_path)},
            "stdout": self.log,
            "stderr": subprocess.STDOUT,
        }
        self.process = subprocess.Popen(
            command or [sys.executable, str(self.root / GATEWAY.relative_to(ROOT))],
            **usual | options,
        )

    def events(self, name=None):
        """Return the events of the log, or those with a given name."""
        # The last line may still be being written.
        complete_lines = self.log_path.read_text().split("\n")[:-1]
        events = [json.loads(line) for line in complete_lines if line.startswith("{")]
        return [e for e in events if name in (None, e["event"])]

    def is_ready(self):
        """Return the result of the readiness check that a load balancer makes."""
        try:
            status, _, _ = self.ask(
                "/cicadalever/readiness", address=self.readiness_address
            )
        except OSError:
            return False
        return status == 200

    def ask(self, path, *, request_id="r1", method="GET", body=b"", **options):
        """Send one request on a new connection; return status, headers and body."""
        sock = eventlet.connect(options.get("address", self.caller_address))
        try:
            return self.ask_on(sock, path, request_id, method, body, **options)
        finally:
            sock.close()

    def send(self, path, *, request_id):
        """Send a GET request on a new connection and return the connection."""
        sock = eventlet.connect(self.caller_address)
        sock.sendall(encode_request(path, request_id, "GET", b"", 2000))
        return sock

    def ask_on(self, sock, path, request_id, method, body, **options):
        """Send one request on a connection."""
        deadline_ms = options.get("deadline_ms", 2000)
        sock.sendall(encode_request(path, request_id, method, body, deadline_ms))
        with eventlet.Timeout(WAIT_S, AssertionError("the gateway did not answer")):
            message = read_message(sock)
        if message is None:
            return None, {}, b""
        start_line, headers, answer, _ = message
        return int(start_line.split()[1]), headers, answer

    def kill(self):
        """Kill the process and keep its files."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def stop(self):
        """Kill the process and remove its files."""
        if self.process is not None:
            self.kill()
        self.log.close()
        if self._unread is not None:
            self._unread.close()
        self.folder.cleanup()
