"""Fault rules per pair of a source group and a target group."""

import random
from typing import Any, NamedTuple

EXISTING_ACTIONS = ("pass", "stall", "reset")
NEW_ACTIONS = ("pass", "refuse", "black_hole")
UNKNOWN_SOURCE_GROUP = "other"


class FaultRule(NamedTuple):
    """What happens to the connections of one pair.

    ``existing`` and ``new`` cut open and new connections. ``latency_s`` is added one
    way, plus a uniform part of ``jitter_s``. ``loss`` is the probability that a
    received chunk resets its connection. ``bytes_per_s`` limits each direction of the
    pair; 0 means no limit.
    """

    existing: str = "pass"
    new: str = "pass"
    latency_s: float = 0.0
    jitter_s: float = 0.0
    loss: float = 0.0
    bytes_per_s: float = 0.0


def check_rule(values: dict[str, Any]) -> str | None:
    """Return what is wrong with the fields of a rule, or None."""
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
    """The rule, the connections and the counts of one pair of groups."""

    def __init__(self, name: str, rule: FaultRule, rng: random.Random):
        self.name = name
        self.rule = rule
        self.rng = rng
        self.links: set = set()
        self._free_at = {True: 0.0, False: 0.0}
        self.opened = 0
        self.refused = 0
        self.resets = 0
        self.forwarded_bytes = 0

    def follow_rule(self) -> None:
        """Make the open connections act on a changed rule."""
        for link in list(self.links):
            link.follow_rule()

    def is_lost(self) -> bool:
        """Draw whether the chunk at hand resets its connection."""
        return self.rule.loss > 0 and self.rng.random() < self.rule.loss

    def due_at(self, now: float, size: int, is_forward: bool) -> float:
        """Return when a chunk received now arrives; ``now`` when nothing delays."""
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
        """Return the rule and the counts."""
        return {
            **self.rule._asdict(),
            "open": len(self.links),
            "opened": self.opened,
            "refused": self.refused,
            "resets": self.resets,
            "forwarded_bytes": self.forwarded_bytes,
        }
