"""The connection limit that the replicas of a service share."""


class Service:
    """Counts the open connections of a service; a limit of 0 means no limit."""

    def __init__(self, name: str, limit: int):
        self.name = name
        self.limit = limit
        self._open = 0
        self._max_seen = 0
        self._violations = 0

    def try_open(self) -> bool:
        """Count a new connection; return False if it is above the limit."""
        self._max_seen = max(self._max_seen, self._open + 1)
        if self.limit and self._open >= self.limit:
            self._violations += 1
            return False
        self._open += 1
        return True

    def close(self) -> None:
        """Count the end of an admitted connection."""
        self._open -= 1

    def describe(self) -> dict:
        """Return the counts; ``max_seen`` includes connections above the limit."""
        return {
            "limit": self.limit,
            "open": self._open,
            "max_seen": self._max_seen,
            "violations": self._violations,
        }
