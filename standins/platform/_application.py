"""The HTTP interface of the platform and its control port."""

import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from standins._eventlet import eventlet
from standins._http import Connection, ConnectionEnd, HttpRequest, StandinServer
from standins._wait import WakeReason

from ._hosts import LaggingHostList
from ._log import PatchLog
from ._patch_rule import PatchRule, apply_or_keep

MAX_WAIT_S = 60.0
MODES = ("up", "refuse", "hang")


class Platform:
    """Serves the log of patches, the full documents and the host list.

    Settings: ``address``, ``control`` (address), ``document``, ``hosts``, ``version``
    (default 1), ``host_lag_s`` (delay until readers see a change of the host list,
    default 1) and ``full_every`` (log entries per full document, default 50).
    """

    def __init__(self, settings: dict, patch_rule: PatchRule = apply_or_keep):
        self.settings = settings
        self._log = PatchLog(
            settings["document"],
            settings.get("version", 1),
            settings.get("full_every", 50),
            patch_rule,
        )
        self._hosts = LaggingHostList(
            settings.get("hosts", []), settings.get("host_lag_s", 1.0)
        )
        self._server = StandinServer(settings["address"], self._handle)
        self._control = StandinServer(settings["control"], self._handle_control)
        self._mode = "up"
        self._is_stale = False
        self._reads: Counter[str] = Counter()
        self._waiting: set[Connection] = set()
        self._max_waiting = 0

    def start(self) -> None:
        """Listen on both ports."""
        self._server.start()
        self._control.start()

    # Requests of hosts

    def _handle(self, connection: Connection, request: HttpRequest) -> None:
        if self._mode == "hang":
            self._hang(connection)
        query = request.query
        match request.method, request.path:
            case b"GET", "/v1/document":
                self._reads["document"] += 1
                connection.send_json(200, self._log.visible_checkpoint._asdict())
            case b"GET", "/v1/log":
                self._reads["log"] += 1
                after = int(query.get("after", 0))
                self._answer_long_poll(connection, query, lambda: self._read_log(after))
            case b"GET", "/v1/hosts":
                self._reads["hosts"] += 1
                after = int(query.get("after", 0))
                self._answer_long_poll(
                    connection, query, lambda: self._read_hosts(after)
                )
            case b"POST", "/v1/patches":
                self._append(connection, request)
            case _:
                connection.send(404, b"{}")

    def _read_log(self, after: int) -> tuple[int, dict, bool]:
        entries = self._log.read(after)
        if entries is None:
            return 410, {"error": f"sequence {after} is compacted away"}, True
        return 200, {"entries": entries}, bool(entries)

    def _read_hosts(self, after: int) -> tuple[int, dict, bool]:
        generation, hosts = self._hosts.read()
        value = {"generation": generation, "hosts": hosts}
        return 200, value, generation > after

    def _answer_long_poll(
        self,
        connection: Connection,
        query: dict[str, str],
        read: Callable[[], tuple[int, Any, bool]],
    ) -> None:
        """Answer once ``read`` has something new or the wait of the query is over."""
        until = time.monotonic() + min(float(query.get("wait", 0)), MAX_WAIT_S)
        status, value, is_new = read()
        while not is_new and (remaining_s := until - time.monotonic()) > 0:
            self._wait_for_change(connection, remaining_s)
            status, value, is_new = read()
        connection.send_json(status, value)

    def _wait_for_change(self, connection: Connection, seconds: float) -> None:
        self._waiting.add(connection)
        self._max_waiting = max(self._max_waiting, len(self._waiting))
        try:
            wake = connection.wait.park(seconds)
        finally:
            self._waiting.discard(connection)
        if wake is WakeReason.ABORTED:
            raise ConnectionEnd
        if wake is WakeReason.READABLE and connection.is_closed_by_client():
            raise ConnectionEnd
        if self._mode == "hang":
            self._hang(connection)

    def _hang(self, connection: Connection) -> None:
        while True:
            connection.sleep(MAX_WAIT_S)

    def _notify_waiting_readers(self) -> None:
        for connection in self._waiting:
            connection.wait.notify()

    # Requests of operators

    def _append(self, connection: Connection, request: HttpRequest) -> None:
        try:
            patch = msgspec.json.decode(request.body)
        except msgspec.DecodeError:
            patch = None
        if not isinstance(patch, dict):
            connection.send_json(400, {"error": "the body must be a JSON object"})
            return
        sequence, accepted = self._log.append(patch)
        self._notify_waiting_readers()
        value = {"sequence": sequence, "accepted": accepted}
        connection.send_json(200, value | {"version": self._log.version})

    # Control port

    def _handle_control(self, connection: Connection, request: HttpRequest) -> None:
        match request.method, request.path:
            case b"GET", "/counters":
                connection.send_json(200, self._describe())
            case b"POST", "/v1/patches":
                self._append(connection, request)
            case b"POST", "/control":
                self._change(connection, msgspec.json.decode(request.body))
            case _:
                connection.send(404, b"{}")

    def _describe(self) -> dict:
        return {
            "reads": self._reads,
            "waiting": len(self._waiting),
            "max_waiting": self._max_waiting,
            "sequence": self._log.sequence,
            "version": self._log.version,
            "visible_sequence": self._log.visible_sequence,
            "host_generation": self._hosts.generation,
            "visible_host_generation": self._hosts.read()[0],
            "mode": self._mode,
            "stale": self._is_stale,
        }

    def _change(self, connection: Connection, command: dict) -> None:
        """Apply the fields of ``command``.

        They are ``mode``, ``stale``, ``host_lag_s``, ``hosts``, ``host_states`` and
        ``compact``. ``host_states`` maps a host id to ``live``, ``leaving`` or null,
        which takes the host off the list.
        """
        known = {"mode", "stale", "host_lag_s", "hosts", "host_states", "compact"}
        unknown = set(command) - known
        if unknown or command.get("mode", "up") not in MODES:
            error = f"unknown fields {sorted(unknown)} or mode not in {MODES}"
            connection.send_json(400, {"error": error})
            return
        if "host_lag_s" in command:
            self._hosts.lag_s = command["host_lag_s"]
        if "hosts" in command:
            self._change_hosts(command["hosts"])
        if "host_states" in command:
            self._change_hosts(self._hosts_with_states(command["host_states"]))
        if "stale" in command:
            self._set_stale(command["stale"])
        if command.get("compact"):
            self._log.compact()
        if "mode" in command:
            self._set_mode(command["mode"])
        self._notify_waiting_readers()
        connection.send_json(200, self._describe())

    def _hosts_with_states(self, states: dict[str, str | None]) -> list[dict]:
        hosts = []
        for host in self._hosts.hosts:
            state = states.get(host["id"], host["state"])
            if state is not None:
                hosts.append(host | {"state": state})
        return hosts

    def _change_hosts(self, hosts: list[dict]) -> None:
        self._hosts.change(hosts)
        eventlet.spawn_after(self._hosts.lag_s, self._notify_waiting_readers)

    def _set_stale(self, is_stale: bool) -> None:
        self._is_stale = is_stale
        for source in (self._log, self._hosts):
            if is_stale:
                source.freeze()
            else:
                source.thaw()

    def _set_mode(self, mode: str) -> None:
        previous, self._mode = self._mode, mode
        if mode == previous:
            return
        if mode == "refuse":
            self._server.stop()
            self._server.abort_connections()
        elif previous == "refuse":
            self._server.start()
        elif mode == "up":
            # Requests that arrived in the mode hang are never answered: the reset makes
            # their readers connect again.
            self._server.abort_connections()


def start(settings: dict) -> None:
    """Start the platform with the patch rule that the hosts apply."""
    Platform(settings).start()
