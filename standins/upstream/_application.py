"""The upstreams of one process and their control port."""

import random
from collections.abc import Callable

import msgspec

from standins._http import Connection, HttpRequest, StandinServer

from ._ledger import Ledger
from ._parameters import Parameters, check_parameters
from ._service import Service
from ._upstream import Upstream


class Application:
    """Builds the upstreams from settings and serves their control port.

    Settings: ``control`` (address), ``seed``, ``ledger_capacity``, ``defaults``
    (parameters of every upstream), ``services`` (name to ``{"connections": N}``) and
    ``upstreams`` (name to ``{"service", "address"}`` and further parameters).
    """

    def __init__(self, settings: dict):
        self.settings = settings
        self._ledger = Ledger(settings.get("ledger_capacity", 2_000_000))
        self._services = {
            name: Service(name, value["connections"])
            for name, value in settings["services"].items()
        }
        self._upstreams = {
            name: self._build(name, value)
            for name, value in settings["upstreams"].items()
        }
        self._control = StandinServer(settings["control"], self._handle)
        self._actions: dict[str, Callable[[Upstream], None]] = {
            "drain": Upstream.drain,
            "undrain": Upstream.undrain,
            "crash": Upstream.crash,
            "stop": Upstream.stop,
            "start": Upstream.start,
        }

    def start(self) -> None:
        """Listen on all ports."""
        for upstream in self._upstreams.values():
            upstream.start()
        self._control.start()

    def _build(self, name: str, value: dict) -> Upstream:
        values = dict(self.settings.get("defaults", {}))
        values |= {k: v for k, v in value.items() if k not in ("service", "address")}
        problem = check_parameters(values)
        if problem is not None:
            raise SystemExit(f"upstream {name}: {problem}")
        return Upstream(
            name,
            value["address"],
            self._services[value["service"]],
            Parameters(**values),
            self._ledger,
            random.Random(f"{self.settings.get('seed', 0)}/{name}"),
        )

    def _handle(self, connection: Connection, request: HttpRequest) -> None:
        query = request.query
        match request.method, request.path:
            case b"GET", "/ledger":
                after, limit = int(query.get("after", 0)), query.get("limit")
                value = self._ledger.read(after, int(limit) if limit else None)
                connection.send_json(200, value)
            case b"GET", "/ledger/summary":
                connection.send_json(200, self._ledger.summarize())
            case b"GET", "/connections":
                services = self._services.items()
                value = {name: service.describe() for name, service in services}
                connection.send_json(200, value)
            case b"GET", "/upstreams":
                upstreams = self._upstreams.items()
                value = {name: upstream.describe() for name, upstream in upstreams}
                connection.send_json(200, value)
            case b"POST", "/control":
                self._change(connection, msgspec.json.decode(request.body))
            case _:
                connection.send(404, b"{}")

    def _change(self, connection: Connection, command: dict) -> None:
        problem = self._check_command(command)
        if problem is not None:
            connection.send_json(400, {"error": problem})
            return
        upstreams = self._select(command)
        for upstream in upstreams:
            values = command.get("set", {})
            upstream.parameters = upstream.parameters._replace(**values)
            if "action" in command:
                self._actions[command["action"]](upstream)
        connection.send_json(200, {"changed": [u.name for u in upstreams]})

    def _check_command(self, command: dict) -> str | None:
        action = command.get("action")
        if action is not None and action not in self._actions:
            return f"action must be one of {', '.join(self._actions)}, not {action!r}"
        names = command.get("upstreams", [])
        unknown = [] if names == "*" else set(names) - set(self._upstreams)
        if unknown:
            return f"unknown upstreams {sorted(unknown)}"
        return check_parameters(command.get("set", {}))

    def _select(self, command: dict) -> list[Upstream]:
        names = command.get("upstreams", [])
        services = command.get("services", [])
        return [
            upstream
            for upstream in self._upstreams.values()
            if names == "*"
            or upstream.name in names
            or upstream.service.name in services
        ]


def start(settings: dict) -> None:
    """Start all upstreams of ``settings``."""
    Application(settings).start()
