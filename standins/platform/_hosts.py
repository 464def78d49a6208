"""The host list, whose changes readers see with a delay."""

import time


class LaggingHostList:
    """Holds the generations of the host list.

    Readers see each generation ``lag_s`` seconds after it was set.
    """

    def __init__(self, hosts: list[dict], lag_s: float):
        self.lag_s = lag_s
        self._generations = [(float("-inf"), 1, hosts)]
        self._frozen: tuple[int, list[dict]] | None = None

    @property
    def hosts(self) -> list[dict]:
        """The newest list, whether visible or not."""
        return self._generations[-1][2]

    @property
    def generation(self) -> int:
        """The newest generation, whether visible or not."""
        return self._generations[-1][1]

    def change(self, hosts: list[dict]) -> int:
        """Set the list and return its generation number."""
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
        """Return the seconds until the next generation is visible, None without one."""
        if len(self._generations) < 2 or self._frozen is not None:
            return None
        visible_at = self._generations[1][0] + self.lag_s
        return max(0.0, visible_at - time.monotonic())

    def freeze(self) -> None:
        """Hide all later changes from readers until ``thaw``."""
        self._frozen = self.read()

    def thaw(self) -> None:
        """Show readers the newest list again, with its delay."""
        self._frozen = None
