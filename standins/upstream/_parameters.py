"""Parameters of one upstream; each can be changed at run time."""

from typing import Any, NamedTuple


class Parameters(NamedTuple):
    """How one upstream behaves; times are in seconds.

    ``snapshots`` maps a snapshot id (as text) to the names of the shards that the
    upstream serves in it. A new connection is served after ``connect_s``.

    A service time is ``service_s`` times a uniform factor between ``1 - jitter`` and
    ``1 + jitter``, times ``straggler_factor`` for a ``straggler_fraction`` of the runs,
    times ``cold_factor`` for the first ``cold_requests`` runs after a start, times
    ``slow_factor``. At most ``queue_length`` requests wait for a slot, each for at most
    ``queue_wait_s``.

    The first ``cold_refusals`` requests after a start are refused as cold. A request
    with a true parameter ``poison_key`` crashes the upstream, which starts again after
    ``restart_s``. A draining upstream refuses requests ``drain_refuse_after_s`` after
    the drain began. The health endpoint repeats an answer for ``health_lag_s``; its
    load is ``reported_load`` unless that is None. A non-zero ``echo_snapshot`` is named
    in answers and rows instead of the requested snapshot.
    """

    slots: int = 2
    queue_length: int = 4
    queue_wait_s: float = 0.05
    connect_s: float = 0.006
    service_s: float = 0.005
    jitter: float = 0.2
    straggler_fraction: float = 0.0
    straggler_factor: float = 20.0
    slow_factor: float = 1.0
    cold_requests: int = 0
    cold_factor: float = 4.0
    cold_refusals: int = 0
    drain_refuse_after_s: float = 5.0
    health_lag_s: float = 2.0
    reported_load: float | None = None
    poison_key: str = "poison"
    restart_s: float = 1.0
    echo_snapshot: int = 0
    snapshots: dict[str, tuple[str, ...]] = {}


def check_parameters(values: dict[str, Any]) -> str | None:
    """Return the first error in the names and types of ``values``, or None."""
    defaults = Parameters()
    for name, value in values.items():
        if name not in Parameters._fields:
            return f"unknown parameter {name}, known are {', '.join(defaults._fields)}"
        default = getattr(defaults, name)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if isinstance(default, int | float) and not (is_number and value >= 0):
            return f"{name} must be a number of at least 0, not {value!r}"
        if isinstance(default, dict) and not isinstance(value, dict):
            return f"{name} must be an object, not {value!r}"
    return None
