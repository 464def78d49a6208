"""Description of a simulated fleet and its load."""

import json
from enum import StrEnum
from pathlib import Path
from typing import Literal, NamedTuple


class Policy(StrEnum):
    """What hosts do for each other.

    - ``ALONE``: each host reads all shards itself and learns alone.
    - ``SHARED``: hosts also tell each other which replicas are late.
    - ``GROUPS``: hosts also read shards for hosts of other data centres.
    """

    ALONE = "alone"
    SHARED = "shared"
    GROUPS = "groups"


class FleetEvent(NamedTuple):
    """Trouble at a ``share`` of the replicas from ``at_s`` for ``for_s`` seconds.

    ``slow`` multiplies the time of each read by ``factor``, and ``dark`` replicas
    answer nothing. The replicas are drawn from all shards. With ``cut``, a share of the
    hosts loses the links to all replicas instead.
    """

    kind: Literal["slow", "dark", "cut"]
    at_s: float
    for_s: float
    share: float
    factor: float = 1.0


class FleetSite(NamedTuple):
    """Hosts, replicas and load; times are in seconds.

    Each data centre has ``hosts`` hosts that gather queries. The replicas of a shard
    lie in different data centres, run ``slots`` reads each and pause for ``pause_s``
    every ``pause_period_s``. A read takes ``work_s`` on average.
    """

    data_centres: int = 4
    hosts: int = 3
    shards: int = 90
    replicas: int = 3
    slots: int = 2
    queries_per_s: float = 36.0
    length_s: float = 10.0
    work_s: float = 0.0165
    target_s: float = 0.12
    timeout_s: float = 1.0
    min_shard_share: float = 0.95
    one_way_s: float = 0.0005
    pause_s: float = 0.12
    pause_period_s: float = 3.0
    retry_slack: int = 220
    events: tuple[FleetEvent, ...] = ()


def load_site(path: str | Path) -> FleetSite:
    """Return the site that a JSON file describes.

    Raises ``ValueError`` for a field that does not exist.
    """
    fields = json.loads(Path(path).read_text())
    unknown = set(fields) - set(FleetSite._fields)
    if unknown:
        raise ValueError(f"{path}: unknown fields {sorted(unknown)}")
    events = tuple(FleetEvent(**event) for event in fields.pop("events", ()))
    return FleetSite(**fields, events=events)
