"""The event log: one JSON object per line on standard output."""

import contextlib
import os
import time
from collections import Counter
from typing import Any

import msgspec
from loguru import logger

# Sustained rate of the log, and the most lines in a burst. A line has about 250 bytes.
LINES_PER_S = 100.0
MAX_BURST_LINES = 400.0
# Part of the burst that only decisions may use, see ``EventLog``.
RESERVED_LINES = 200.0
STDOUT_FD = 1


class EventLog:
    """Structured log with a limited rate that never blocks.

    A token bucket limits the rate. An event is either a decision, such as how a request
    ended, or a detail of one, such as a single failed read. Details are dropped first.
    The number of dropped events of each kind is written with the next line.
    """

    def __init__(self, host_id: str, lines_per_s: float = LINES_PER_S):
        self.host_id = host_id
        self.lines_per_s = lines_per_s
        self._tokens = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped: Counter[str] = Counter()
        self._partial_line = b""

    def start(self) -> None:
        """Send the output of loguru to standard output, in non-blocking mode."""
        with contextlib.suppress(OSError):
            os.set_blocking(STDOUT_FD, False)
        logger.remove()
        logger.add(self._write, format="{message}", level="INFO", catch=False)

    def emit(self, event: str, **fields: Any) -> None:
        """Log a decision, unless the rate limit is exceeded."""
        self._emit(event, fields, 0.0)

    def emit_detail(self, event: str, **fields: Any) -> None:
        """Log a detail, unless the remaining burst is reserved for decisions."""
        self._emit(event, fields, RESERVED_LINES)

    def _emit(self, event: str, fields: dict[str, Any], reserve: float) -> None:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self.lines_per_s
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0 + reserve:
            self._dropped[event] += 1
            return
        self._tokens -= 1.0
        logger.bind(event=event, fields=fields).info(event)

    def _write(self, message: Any) -> None:
        record = message.record
        extra = record["extra"]
        line = {
            "time": round(record["time"].timestamp(), 4),
            "host": self.host_id,
            "event": extra.get("event", "message"),
        }
        if "event" not in extra:
            line["level"] = record["level"].name
            line["text"] = record["message"]
            if record["exception"] is not None:
                line["error"] = str(message)
        for name, value in extra.get("fields", {}).items():
            line[name] = value.decode("latin-1") if isinstance(value, bytes) else value
        if self._dropped:
            line["left_out"] = dict(self._dropped)
        data = self._partial_line + _encode(line) + b"\n"
        try:
            written = os.write(STDOUT_FD, data)
        except BlockingIOError:
            self._dropped[line["event"]] += 1
            return
        except OSError:
            # Standard output is closed; there is no other place to report this.
            return
        self._dropped.clear()
        self._partial_line = data[written:]


def _encode(line: dict[str, Any]) -> bytes:
    """Return a line as JSON; values that JSON cannot hold are written as text."""
    try:
        return msgspec.json.encode(line, enc_hook=str)
    except (ValueError, TypeError, OverflowError, RecursionError):
        # Such as integers of more than 64 bits and halves of surrogate pairs.
        return msgspec.json.encode({name: ascii(each) for name, each in line.items()})
