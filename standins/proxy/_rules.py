"""Fault rules per pair of a source group and a target group."""

import random
from typing import Any, NamedTuple

EXISTING_ACTIONS = ("pass", "stall", "reset")
NEW_ACTIONS = ("pass", "refuse", "black_hole")
UNKNOWN_SOURCE_GROUP = "other"


class FaultRule(NamedTuple):
    """The faults of the connections of one pair.

    ``existing`` says what happens to open connections: their bytes ``pass`` or
    ``stall`` until the rule changes, or the connections are reset (``reset``). ``new``
    says what happens to new ones: they ``pass``, are reset (``refuse``) or wait until
    the rule changes (``black_hole``).
    ``latency_s`` is added in each direction, plus a uniform part of ``jitter_s``.
    ``loss`` is the probability that a received chunk resets its connection.
    ``bytes_per_s`` limits each direction of the pair; 0 means no limit.
    """

    existing: str = "pass"
    new: str = "pass"
    latency_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    bytes_per_s: float = 0.0


def check_rule(values: dict[str, Any]) -> str | None:
    """Return the first error in the fields of a rule, or None."""
    for name, value in values.items():
        if name not in FaultRule._fields:
            return f"unknown field {name}, known are {', '.join(FaultRule._fields)}"
        if name in ("existing", "new"):
            choices = EXISTING_ACTIONS if name == "existing" else NEW_ACTIONS
            if value not in choices:
                return f"{name} must be one of {', '.join(choices)}, not {value!r}"
        elif not isinstance(value, int | float) or value < 0:
            return f"{name} must be a number of at least 0, not {value!r}"
    return None


class GroupPair:
    """The rule, connections and counters of a source group and a target group."""

    def __init__(self, name: str, rule: FaultRule, rng: random.Random):
        self.name = name
        self.rule = rule
        self.rng = rng
        self.links: set = set()
        # Monotonic time at which each direction (True: towards the target) has sent all
        # its bytes at ``bytes_per_s``.
        self._free_at = {True: 0.0, False: 0.0}
        self.opened = 0
        self.refused = 0
        self.resets = 0
        self.forwarded_bytes = 0

    def apply_rule(self) -> None:
        """Apply a changed rule to the open connections."""
        for link in list(self.links):
            link.apply_rule()

    def draw_loss(self) -> bool:
        """Draw whether a received chunk resets its connection."""
        return self.rule.loss > 0 and self.rng.random() < self.rule.loss

    def delivery_time(self, now: float, size: int, is_forward: bool) -> float:
        """Return the monotonic time at which to forward a chunk of ``size`` bytes."""
        rule = self.rule
        due = now
        if rule.bytes_per_s > 0:
            start = max(now, self._free_at[is_forward])
            due = start + size / rule.bytes_per_s
            self._free_at[is_forward] = due
        if rule.latency_s > 0 or rule.jitter_s > 0:
            due += rule.latency_s + rule.jitter_s * self.rng.random()
        return due

    def describe(self) -> dict:
        """Return the rule and the counters."""
        return {
            **self.rule._asdict(),
            "open": len(self.links),
            "opened": self.opened,
            "refused": self.refused,
            "resets": self.resets,
            "forwarded_bytes": self.forwarded_bytes,
        }
