"""A proxied connection and its two directions."""

import errno
import struct
import time
from collections import deque

from standins._address import split_address
from standins._eventlet import eventlet
from standins._wait import Wait, WakeReason

from ._rules import GroupPair

# ``Wait`` suspends the green threads, so the sockets must be those that eventlet has
# not patched, in non-blocking mode.
socket = eventlet.patcher.original("socket")

RECEIVE_BYTES = 65536
# First byte of struct tcp_info while a connection is established (Linux).
TCP_ESTABLISHED = 1
MAX_QUEUED_BYTES = 4 << 20
FULL_QUEUE_POLL_S = 0.005
# With this value of SO_LINGER (on, 0 s), close() resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkReset(Exception):  # noqa: N818 - control flow of this module, no error
    """The link was reset."""


class Link:
    """A connection from a client and the one to the target, joined by the proxy."""

    def __init__(self, client: socket.socket, target: str, pair: GroupPair):
        self.client = client
        self.target = target
        self.pair = pair
        self._server: socket.socket | None = None
        self._directions: list[Direction] = []
        self._client_wait = Wait(client.fileno())
        self._is_reset = False

    @property
    def is_reset(self) -> bool:
        """Whether both connections end with a reset."""
        return self._is_reset

    def run(self) -> None:
        """Connect to the target and forward until both sides have ended."""
        self.pair.links.add(self)
        try:
            if self._wait_until_allowed() and self._connect():
                self.pair.opened += 1
                self._forward()
        finally:
            self.pair.links.discard(self)
            self._close()

    def reset(self) -> None:
        """End both connections with a reset."""
        if self._is_reset:
            return
        self._is_reset = True
        self.pair.resets += 1
        self._notify(WakeReason.ABORTED)

    def apply_rule(self) -> None:
        """Apply the changed rule of the pair."""
        if self.pair.rule.existing == "reset" and self._server is not None:
            self.reset()
        else:
            self._notify(WakeReason.NOTIFIED)

    def _notify(self, wake: WakeReason) -> None:
        self._client_wait.notify(wake)
        for direction in self._directions:
            direction.notify(wake)

    def _wait_until_allowed(self) -> bool:
        """Wait while new connections are black-holed; return whether to connect."""
        reads = True
        while self.pair.rule.new == "black_hole":
            wake = self._client_wait.park(read=reads)
            if wake is WakeReason.ABORTED or not self._is_client_connected():
                return False
            # Bytes that the client has sent leave the socket readable, so watching it
            # further would end each wait at once.
            reads = reads and wake is not WakeReason.READABLE
        if not self._is_client_connected():
            return False
        if self.pair.rule.new == "refuse":
            self.pair.refused += 1
            self._is_reset = True
            return False
        return True

    def _is_client_connected(self) -> bool:
        """Tell whether the client has neither closed nor reset its connection.

        Unread bytes hide the end of a connection from a read. Without this check, all
        connections that clients gave up during a black hole would open at its end,
        while a real network would not have opened any of them.
        """
        information = self.client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return information[0] == TCP_ESTABLISHED

    def _connect(self) -> bool:
        server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        server.setblocking(False)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server = server
        code = server.connect_ex(split_address(self.target))
        if code == errno.EINPROGRESS:
            Wait(server.fileno()).park(read=False, write=True)
            code = server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._is_reset = True
        return not self._is_reset

    def _forward(self) -> None:
        forward = Direction(self, self.client, self._server, True)
        backward = Direction(self, self._server, self.client, False)
        self._directions = [forward, backward]
        other = eventlet.spawn(backward.run)
        forward.run()
        other.wait()

    def _close(self) -> None:
        for connection in (self.client, self._server):
            if connection is None:
                continue
            if self._is_reset:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            connection.close()


class Direction:
    """Copies bytes from one socket to the other, with the delay of the rule."""

    def __init__(
        self, link: Link, source: socket.socket, sink: socket.socket, is_forward: bool
    ):
        self.link = link
        self.source = source
        self.sink = sink
        self.is_forward = is_forward
        self._read_wait = Wait(source.fileno())
        self._write_wait = Wait(sink.fileno())
        self._queue: deque[tuple[float, bytes]] = deque()
        self._queued_bytes = 0
        self._last_due = 0.0
        self._sender = None

    def notify(self, wake: WakeReason) -> None:
        """End the waits of this direction."""
        self._read_wait.notify(wake)
        self._write_wait.notify(wake)

    def run(self) -> None:
        """Copy until the source ends, or until the link is reset."""
        try:
            while self._copy_chunk():
                pass
            if self._sender is not None:
                self._sender.wait()
        except LinkReset:
            pass
        except OSError:
            self.link.reset()

    def _copy_chunk(self) -> bool:
        self._raise_if_reset(self._read_wait.park())
        self._wait_while_stalled(self._read_wait)
        try:
            data = self.source.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return True
        pair = self.link.pair
        if data and pair.draw_loss():
            self.link.reset()
            return False
        now = time.monotonic()
        due = pair.delivery_time(now, len(data), self.is_forward)
        if due <= now and not self._queue:
            self._send(data)
        else:
            self._enqueue(due, data)
        return bool(data)

    def _enqueue(self, due: float, data: bytes) -> None:
        self._last_due = max(self._last_due, due)
        self._queue.append((self._last_due, data))
        self._queued_bytes += len(data)
        if self._sender is None:
            self._sender = eventlet.spawn(self._send_queue)
        while self._queued_bytes > MAX_QUEUED_BYTES:
            self._raise_if_reset(self._read_wait.park(FULL_QUEUE_POLL_S, read=False))

    def _send_queue(self) -> None:
        try:
            while self._queue:
                due, data = self._queue[0]
                while (delay_s := due - time.monotonic()) > 0:
                    self._raise_if_reset(self._write_wait.park(delay_s, read=False))
                self._wait_while_stalled(self._write_wait)
                self._send(data)
                self._queue.popleft()
                self._queued_bytes -= len(data)
        except LinkReset:
            pass
        except OSError:
            self.link.reset()
        finally:
            self._sender = None

    def _send(self, data: bytes) -> None:
        """Send all bytes; empty ``data`` (end of the source) shuts down the sink."""
        if not data:
            self.sink.shutdown(socket.SHUT_WR)
            return
        self.link.pair.forwarded_bytes += len(data)
        while data:
            try:
                sent = self.sink.send(data)
            except BlockingIOError:
                # The reader of this direction may wait on the source at the same time,
                # so the sink needs a wait of its own.
                self._raise_if_reset(self._write_wait.park(read=False, write=True))
                continue
            data = data[sent:]

    def _wait_while_stalled(self, wait: Wait) -> None:
        """Wait while the rule stalls the pair."""
        while self.link.pair.rule.existing == "stall":
            self._raise_if_reset(wait.park(read=False))

    def _raise_if_reset(self, wake: WakeReason) -> None:
        if wake is WakeReason.ABORTED or self.link.is_reset:
            raise LinkReset
