"""Bounded set of connections to one upstream."""

from cicadalever.budgets import MemoryBudget

from ._connection import DEFAULT_MAX_ANSWER_BYTES, UpstreamConnection


class ConnectionPool:
    """Holds at most ``max_connections`` connections to one upstream.

    Of the idle connections, the most recently used one is acquired first.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        *,
        source_ip: str | None = None,
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
        memory: MemoryBudget | None = None,
    ):
        self.address = address
        self.max_connections = max_connections
        self.source_ip = source_ip
        self.max_answer_bytes = max_answer_bytes
        self.memory = memory
        self._idle: list[UpstreamConnection] = []
        self._in_use = 0

    @property
    def open_connections(self) -> int:
        """Number of connections that are open or about to be opened."""
        return self._in_use + sum(connection.is_open for connection in self._idle)

    def acquire(self) -> UpstreamConnection | None:
        """Return a connection for exclusive use, or None if all are in use."""
        if self._in_use >= self.max_connections:
            return None
        self._in_use += 1
        if self._idle:
            return self._idle.pop()
        return UpstreamConnection(
            self.address,
            source_ip=self.source_ip,
            max_answer_bytes=self.max_answer_bytes,
            memory=self.memory,
        )

    def release(self, connection: UpstreamConnection) -> None:
        """Make a connection available again after use."""
        self._in_use -= 1
        self._idle.append(connection)

    def close_idle(self) -> None:
        """Close all connections that are not in use."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
