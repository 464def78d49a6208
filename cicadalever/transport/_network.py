"""Sockets between daemons: one that receives, and one per peer that sends."""

import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import eventlet
import pynng
from eventlet import patcher
from eventlet.hubs import trampoline
from loguru import logger

from cicadalever.outcomes import Failure, FailureCode

from ._codec import decode, encode

# nng calls pynng's pipe callbacks on its own threads. With eventlet's monkey patching,
# the lock in pynng would be a green lock, which deadlocks when two native threads
# acquire it at once: a host then receives nothing from its peers after a network
# partition has ended.
pynng.nng.threading = patcher.original("threading")
pynng.nng.logger.disabled = True

SEND_BUFFER_MESSAGES = 1024
RECEIVE_BUFFER_MESSAGES = 4096
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
# Messages that are handled before other green threads run.
MESSAGES_PER_TURN = 64
# Time in seconds that connecting or reconnecting may take before the peer counts as
# unreachable.
CONNECT_GRACE_S = 0.3


class PeerNetwork:
    """Sends messages to peers by address and passes received ones to ``handler``.

    Addresses are ``ip:port``. Sending never blocks: a message to a peer that cannot
    be reached waits in a bounded buffer, and is refused when the buffer is full.
    Delivery is at most once and not guaranteed.
    """

    def __init__(
        self,
        listen_address: str,
        handler: Callable[[Any], None],
        *,
        source_ip: str | None = None,
    ):
        self.listen_address = listen_address
        self.handler = handler
        self.source_ip = source_ip
        self._receiver: pynng.Pull0 | None = None
        self._senders: dict[str, pynng.Push0] = {}
        self._disconnected_since: dict[str, float] = {}
        self._sent_bytes: Counter[str] = Counter()
        self._received_bytes: Counter[str] = Counter()

    @property
    def sent_bytes(self) -> Counter[str]:
        """Bytes sent so far by message type name."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> Counter[str]:
        """Bytes received so far by message type name."""
        return self._received_bytes

    def start(self) -> None:
        """Listen and start the receive loop."""
        self._receiver = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_MESSAGES)
        self._receiver.listen(f"tcp://{self.listen_address}")
        eventlet.spawn(self._receive_loop)

    def send(self, address: str, message: Any) -> Failure | None:
        """Queue ``message`` for the peer at ``address``; never blocks."""
        frame = encode(message)
        sender = self._senders.get(address) or self._dial(address)
        try:
            sender.send(frame, block=False)
        except pynng.exceptions.NNGException as error:
            return Failure(FailureCode.UNREACHABLE, f"peer {address}: {error}")
        self._sent_bytes[type(message).__name__] += len(frame)
        return None

    def is_reachable(self, address: str) -> bool:
        """Tell whether messages to ``address`` can be expected to arrive.

        False when the connection has been down for ``CONNECT_GRACE_S``. A peer that
        was never dialled counts as reachable.
        """
        since = self._disconnected_since.get(address)
        return since is None or time.monotonic() - since < CONNECT_GRACE_S

    def poll_connections(self) -> list[str]:
        """Check all connections; return the addresses lost since the last call."""
        lost = []
        now = time.monotonic()
        for address, sender in self._senders.items():
            if sender.pipes:
                self._disconnected_since.pop(address, None)
            elif address not in self._disconnected_since:
                self._disconnected_since[address] = now
                lost.append(address)
        return lost

    def disconnect(self, address: str) -> None:
        """Close the socket to a peer and drop the messages in its buffer."""
        sender = self._senders.pop(address, None)
        self._disconnected_since.pop(address, None)
        if sender is not None:
            sender.close()

    def close(self) -> None:
        """Close all sockets."""
        for address in list(self._senders):
            self.disconnect(address)
        if self._receiver is not None:
            self._receiver.close()
            self._receiver = None

    def _dial(self, address: str) -> pynng.Push0:
        sender = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        source = f"{self.source_ip};" if self.source_ip else ""
        sender.dial(f"tcp://{source}{address}", block=False)
        self._senders[address] = sender
        self._disconnected_since[address] = time.monotonic()
        return sender

    def _receive_loop(self) -> None:
        receiver = self._receiver
        handled = 0
        while self._receiver is not None:
            try:
                frame = receiver.recv(block=False)
            except pynng.TryAgain:
                handled = 0
                trampoline(receiver.recv_fd, read=True)
                continue
            except pynng.Closed:
                return
            self._handle_frame(frame)
            handled += 1
            if handled % MESSAGES_PER_TURN == 0:
                eventlet.sleep(0)

    def _handle_frame(self, frame: bytes) -> None:
        message = decode(frame)
        if isinstance(message, Failure):
            logger.warning("dropped an invalid peer message: {}", message.reason)
            return
        self._received_bytes[type(message).__name__] += len(frame)
        self.handler(message)
