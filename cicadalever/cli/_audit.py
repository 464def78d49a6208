"""Reads the audit trail of one host, page by page."""

import time
from collections.abc import Callable, Iterator
from typing import Any

from ._client import Client, NoReply, Reply
from ._tables import format_field

EVENTS_PER_PAGE = 1000


class AuditReader:
    """Reads the audit trail of a host after a sequence number, oldest events first.

    ``kind`` limits it to events of one kind. ``notify`` is called with messages on
    events that cannot be read.
    """

    def __init__(
        self,
        client: Client,
        address: str,
        *,
        after: int = 0,
        kind: str | None = None,
        notify: Callable[[str], None],
        sleep: Callable[[float], None] = time.sleep,
    ):
        self.client = client
        self.address = address
        self.kind = kind
        self.notify = notify
        self.sleep = sleep
        self._after = after
        self._incarnation: int | None = None

    def read_available(self) -> list[dict[str, Any]] | Reply | NoReply:
        """Return all events that the host has now, or the result of a failed call.

        If a call fails after others have returned events, the result is these events;
        the next call reads on after them.
        """
        events: list[dict[str, Any]] = []
        while True:
            page = self._read_page()
            if not isinstance(page, list):
                return events or page
            events += page
            if len(page) < EVENTS_PER_PAGE:
                return events

    def follow(self, interval_s: float) -> Iterator[dict[str, Any]]:
        """Yield events without end; after an error the host is polled again."""
        reachable = True
        while True:
            events = self.read_available()
            if not isinstance(events, list):
                if reachable:
                    reason = f"{events.address}: {events.reason}"
                    self.notify(f"{reason}; trying again every {interval_s:g} s")
                reachable = False
            else:
                reachable = True
                yield from events
            self.sleep(interval_s)

    def _read_page(self) -> list[dict[str, Any]] | Reply | NoReply:
        reply = self._get()
        if isinstance(reply, Reply) and self._has_restarted(reply.body):
            self.notify(
                f"{self.address}: the host restarted; its audit trail starts again"
            )
            self._after = 0
            reply = self._get()
        if isinstance(reply, NoReply) or reply.status >= 400:
            return reply
        events = reply.body.get("events")
        if not _are_events(events):
            return NoReply(self.address, "the answer holds no audit events", True)
        self._incarnation = reply.body.get("incarnation")
        self._report_gap(events)
        self._advance(events, reply.body.get("last_sequence"))
        return events

    def _get(self) -> Reply | NoReply:
        return self.client.get(
            self.address,
            "/v1/audit",
            after=self._after,
            kind=self.kind,
            limit=EVENTS_PER_PAGE,
        )

    def _has_restarted(self, value: dict[str, Any]) -> bool:
        known = self._incarnation is not None
        return known and value.get("incarnation") != self._incarnation

    def _report_gap(self, events: list[dict[str, Any]]) -> None:
        # With a filter, missing sequence numbers may be events of other kinds.
        if self.kind is None and events and self._after > 0:
            lost = events[0]["sequence"] - self._after - 1
            if lost > 0:
                self.notify(f"{lost} events were overwritten before they were read")

    def _advance(self, events: list[dict[str, Any]], last: Any) -> None:
        if events:
            self._after = events[-1]["sequence"]
        # A page that is not full includes all events up to the newest one.
        if len(events) < EVENTS_PER_PAGE and isinstance(last, int):
            self._after = max(self._after, last)


def render_event(event: dict[str, Any]) -> str:
    """Return an event as one line: UTC time, sequence, version, kind, details."""
    seconds = event.get("time_unix")
    timestamp = ""
    if isinstance(seconds, int | float):
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
        timestamp += f".{int(seconds * 1000) % 1000:03d}Z"
    details = event.get("details")
    pairs = details.items() if isinstance(details, dict) else ()
    fields = [format_field(event.get(name)) for name in ("sequence", "version", "kind")]
    text = " ".join(
        f"{format_field(name)}={format_field(value)}" for name, value in pairs
    )
    return "  ".join(
        [format_field(timestamp), fields[0].rjust(6), f"v{fields[1]}", fields[2], text]
    )


def _are_events(events: Any) -> bool:
    return isinstance(events, list) and all(
        isinstance(event, dict) and isinstance(event.get("sequence"), int)
        for event in events
    )
