"""The listeners of the proxy and its control port."""

import random

import msgspec

from standins._address import split_address
from standins._eventlet import eventlet
from standins._http import LISTEN_BACKLOG, Connection, HttpRequest, StandinServer
from standins._wait import Wait

from ._link import Link
from ._rules import UNKNOWN_SOURCE_GROUP, FaultRule, GroupPair, check_rule

socket = eventlet.patcher.original("socket")


class Proxy:
    """Forwards connections according to the rules of their group pairs.

    Settings: ``control`` (address), ``seed``, ``sources`` (group to prefixes of source
    addresses), ``listeners`` (list of ``{"address", "target", "group"}``) and ``rules``
    (``"source>target"`` to fields of ``FaultRule``; ``*`` stands for every group).
    """

    def __init__(self, settings: dict):
        self.settings = settings
        sources = [*settings.get("sources", {}), UNKNOWN_SOURCE_GROUP]
        targets = sorted({item["group"] for item in settings["listeners"]})
        self._pairs = {
            (source, target): self._build_pair(source, target)
            for source in sources
            for target in targets
        }
        self._control = StandinServer(settings["control"], self._handle)

    def start(self) -> None:
        """Listen on all ports; raises ``SystemExit`` for an invalid rule."""
        problem = self._apply(self.settings.get("rules", {}))
        if problem is not None:
            raise SystemExit(problem)
        for item in self.settings["listeners"]:
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(split_address(item["address"]))
            listener.listen(LISTEN_BACKLOG)
            listener.setblocking(False)
            eventlet.spawn(self._accept_loop, listener, item["target"], item["group"])
        self._control.start()

    def _build_pair(self, source: str, target: str) -> GroupPair:
        name = f"{source}>{target}"
        rng = random.Random(f"{self.settings.get('seed', 0)}/{name}")
        return GroupPair(name, FaultRule(), rng)

    def _accept_loop(self, listener: socket.socket, target: str, group: str) -> None:
        wait = Wait(listener.fileno())
        while True:
            wait.park()
            try:
                client, peer = listener.accept()
            except OSError:
                # The client has closed already, or an earlier wake-up accepted it.
                continue
            client.setblocking(False)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = self._pairs[self._source_of(peer[0]), group]
            eventlet.spawn_n(Link(client, target, pair).run)

    def _source_of(self, ip: str) -> str:
        for group, prefixes in self.settings.get("sources", {}).items():
            if ip.startswith(tuple(prefixes)):
                return group
        return UNKNOWN_SOURCE_GROUP

    def _handle(self, connection: Connection, request: HttpRequest) -> None:
        match request.method, request.path:
            case b"GET", "/pairs":
                pairs = self._pairs.values()
                value = {pair.name: pair.describe() for pair in pairs}
                connection.send_json(200, value)
            case b"POST", "/control":
                self._change(connection, msgspec.json.decode(request.body))
            case _:
                connection.send(404, b"{}")

    def _change(self, connection: Connection, command: dict) -> None:
        """Apply ``rules``, after those of the settings if ``restore`` is true."""
        rules = command.get("rules", {})
        changed = {pair for name in rules for pair in self._select(name)}
        if command.get("restore"):
            changed = set(self._pairs.values())
            for pair in changed:
                pair.rule = FaultRule()
            self._apply(self.settings.get("rules", {}))
        problem = self._apply(rules)
        for pair in changed:
            pair.apply_rule()
        if problem is not None:
            connection.send_json(400, {"error": problem})
            return
        connection.send_json(200, {})

    def _apply(self, rules: dict[str, dict]) -> str | None:
        """Update the rules and return None, or change nothing and return the error."""
        for name, values in rules.items():
            problem = check_rule(values)
            if problem is None and not self._select(name):
                problem = "no such pair of groups"
            if problem is not None:
                return f"rule {name}: {problem}"
        for name, values in rules.items():
            for pair in self._select(name):
                pair.rule = pair.rule._replace(**values)
        return None

    def _select(self, name: str) -> list[GroupPair]:
        source, _, target = name.partition(">")
        return [
            pair
            for key, pair in self._pairs.items()
            if source in ("*", key[0]) and target in ("*", key[1])
        ]


def start(settings: dict) -> None:
    """Start the proxy that ``settings`` describe."""
    Proxy(settings).start()
