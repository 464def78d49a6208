"""The host list that readers see late."""

import time


class LaggingHostList:
    """Keeps the generations of the host list; each is visible ``lag_s`` after it."""

    def __init__(self, hosts: list[dict], lag_s: float):
        self.lag_s = lag_s
        self._generations = [(float("-inf"), 1, hosts)]
        self._frozen: tuple[int, list[dict]] | None = None

    @property
    def hosts(self) -> list[dict]:
        """The true list."""
        return self._generations[-1][2]

    @property
    def generation(self) -> int:
        """The true generation."""
        return self._generations[-1][1]

    def change(self, hosts: list[dict]) -> int:
        """Set the list and return its generation."""
        self._generations.append((time.monotonic(), self.generation + 1, hosts))
        return self.generation

    def read(self) -> tuple[int, list[dict]]:
        """Return the newest visible (generation, hosts)."""
        if self._frozen is not None:
            return self._frozen
        limit = time.monotonic() - self.lag_s
        while len(self._generations) > 1 and self._generations[1][0] <= limit:
            del self._generations[0]
        _, generation, hosts = self._generations[0]
        return generation, hosts

    def next_change_s(self) -> float | None:
        """Return the seconds until the next generation is visible, if one waits."""
        if len(self._generations) < 2 or self._frozen is not None:
            return None
        visible_at = self._generations[1][0] + self.lag_s
        return max(0.0, visible_at - time.monotonic())

    def freeze(self) -> None:
        """Keep what readers see."""
        self._frozen = self.read()

    def thaw(self) -> None:
        """Let readers see the list with its lag again."""
        self._frozen = None
