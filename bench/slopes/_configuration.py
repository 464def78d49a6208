"""Cost of a configuration change against the size of the document."""

import time

import msgspec

from cicadalever.configuration import (
    ConfigurationHistory,
    FullDocument,
    LogEntry,
    check_document,
)
from cicadalever.outcomes import Failure
from cicadalever.transport import ConfigurationReply, encode

from ._fit import Slope

DOCUMENT_SIZES_KB = (50, 100, 200, 400, 800)
CHANGE_REPEATS = 5
REPLICA_COUNTS = (400, 800, 1600, 3200)


def build_document(services: int) -> dict:
    """Return a configuration with two replicas and one shard per service."""
    return {
        "services": {f"catalogue-{n:04}": _build_service(n) for n in range(services)},
        "snapshots": [
            {
                "id": 41,
                "indexes": {
                    "catalogue": {
                        f"s{n:04}": f"catalogue-{n:04}" for n in range(services)
                    }
                },
            }
        ],
        "routes": {
            "scan": {"indexes": ["catalogue"], "kind": "scan", "operation": "read"}
        },
        "kinds": {"scan": {"rank": "interactive", "deadline_ms": 500}},
        "policy": {
            "floors": {"batch": 0.10, "report": 0.05},
            "hedge_quantile": 0.95,
            "extra_load": 0.05,
        },
    }


def measure_configuration() -> list[Slope]:
    """Measure the CPU time of a change and the bytes that bring it to a peer."""
    cpu_points, entry, full = [], [], []
    for size_kb in DOCUMENT_SIZES_KB:
        history = _load_history(size_kb)
        size = _document_size(history) / 1000
        cpu_points.append((size, _time_change(history)))
        entry_json = msgspec.json.encode(tuple(_build_entry(history)))
        entry.append((size, len(encode(ConfigurationReply([entry_json], b"")))))
        document = msgspec.json.encode(history.export()._asdict())
        full.append((size, len(encode(ConfigurationReply([], document)))))
    unit = "KB of document"
    return [
        Slope("configuration-change", unit, "CPU s per change and host", cpu_points),
        Slope("configuration-entry-bytes", unit, "bytes to a peer one behind", entry),
        Slope("configuration-full-bytes", unit, "bytes to a new peer", full),
    ]


def measure_document() -> list[Slope]:
    """Measure the size of the document for several numbers of replicas."""
    points = [
        (count, len(msgspec.json.encode(build_document(count // 2))))
        for count in REPLICA_COUNTS
    ]
    return [Slope("document-bytes", "replicas, two a service", "bytes", points)]


def _build_service(number: int) -> dict:
    return {
        "slots": 2,
        "connections": 25,
        "replicas": {
            f"catalogue-{number:04}-{letter}": {
                "address": f"10.{position}.{number // 200}.{number % 200}:9001",
                "data_centre": f"dc{(number + position) % 11:02}",
                "draining": False,
            }
            for position, letter in enumerate("ab")
        },
    }


def _load_history(size_kb: int) -> ConfigurationHistory:
    service_bytes = len(msgspec.json.encode(build_document(100))) / 100
    document = check_document(build_document(int(1000 * size_kb / service_bytes)))
    if isinstance(document, Failure):
        raise RuntimeError(document.reason)
    history = ConfigurationHistory()
    history.load_document(FullDocument(1, 1, document))
    return history


def _document_size(history: ConfigurationHistory) -> int:
    return len(msgspec.json.encode(history.current.document))


def _build_entry(history: ConfigurationHistory) -> LogEntry:
    number = history.sequence
    path = f"/services/catalogue-{number:04}/replicas/catalogue-{number:04}-a/draining"
    patch = {
        "id": f"patch-{number}",
        "against": history.version,
        "author": "operator",
        "operations": [{"op": "replace", "path": path, "value": True}],
    }
    return LogEntry(number + 1, patch)


def _time_change(history: ConfigurationHistory) -> float:
    """Return the smallest CPU time in seconds of ``CHANGE_REPEATS`` changes."""
    times = []
    for _ in range(CHANGE_REPEATS):
        entry = _build_entry(history)
        started = time.process_time()
        [verdict] = history.append(entry)
        times.append(time.process_time() - started)
        if not verdict.accepted:
            raise RuntimeError(verdict.reason)
    return min(times)
