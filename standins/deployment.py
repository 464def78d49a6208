"""Settings of the daemons and stand-ins of the deployments in ``PLANS``.

The sizes are those of docs/design.md, section 1.4.
"""

import json
import random
import socket
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")
HOST_DATA_CENTRES = ("dc1", "dc1", "dc2", "dc2", "dc3", "dc4")
PLATFORM_GROUP = "platform"
SNAPSHOT_ID = 41
PORTS_PER_DEPLOYMENT = 640
# Linux takes the local ports of outgoing connections from 32768 on.
FIRST_PORT = 20_000
LAST_PORT = 32_000
# Offsets of the ports of a deployment from its base port.
(
    PLATFORM_OFFSET,
    PLATFORM_CONTROL_OFFSET,
    UPSTREAM_CONTROL_OFFSET,
    PROXY_CONTROL_OFFSET,
    PLATFORM_PROXY_OFFSET,
) = range(5)
FIRST_HOST_OFFSET = 16
PORTS_PER_HOST = 4
FIRST_UPSTREAM_OFFSET = 100
FIRST_PROXY_OFFSET = 370
FIRST_PEER_PROXY_OFFSET = 620


class ServiceClass(NamedTuple):
    """Services of the same size, which serve one index.

    ``services`` is their number; ``replicas``, ``connections`` and ``shards`` are those
    of each service, ``slots`` and ``connect_s`` those of each replica.
    """

    index: str
    services: int
    replicas: int
    slots: int
    connections: int
    connect_s: float
    shards: int = 1


class Plan(NamedTuple):
    """Sizes and routes of a deployment.

    ``latency_s`` is the one-way latency between data centres. ``routes`` maps
    a route to (indexes, operation, rank, deadline in ms). ``hosts`` holds the data
    centre of each host; the replicas are spread over the same data centres.
    """

    latency_s: float
    classes: tuple[ServiceClass, ...]
    routes: dict[str, tuple[tuple[str, ...], str, str, int]]
    hosts: tuple[str, ...] = HOST_DATA_CENTRES

    @property
    def data_centres(self) -> tuple[str, ...]:
        """The data centres of the hosts, each once."""
        return tuple(dict.fromkeys(self.hosts))


PLANS = {
    "semenanjung": Plan(
        0.0005,
        (
            ServiceClass("storefront", 20, 2, 2, 25, 0.006),
            ServiceClass("wholesale", 30, 2, 2, 25, 0.006),
            ServiceClass("reports", 1, 4, 4, 100, 0.001, shards=4),
            ServiceClass("shipping", 1, 4, 4, 100, 0.001, shards=4),
        ),
        {
            "lookup": (("storefront",), "read", "interactive", 500),
            "stock-check": (("storefront", "wholesale"), "read", "batch", 2000),
            "order": (("shipping",), "run", "interactive", 2000),
            "report": (("reports",), "read", "report", 30_000),
        },
    ),
    "nz-north": Plan(
        0.001,
        (
            ServiceClass("job-app", 20, 2, 2, 25, 0.006),
            ServiceClass("parcel-tracking", 30, 2, 2, 25, 0.006),
            ServiceClass("ticket-printing", 1, 4, 2, 35, 0.001, shards=4),
            ServiceClass("fit-notes", 1, 4, 2, 35, 0.001, shards=4),
        ),
        {
            "lookup": (("job-app",), "read", "interactive", 500),
            "batch-pull": (("job-app", "parcel-tracking"), "read", "batch", 2000),
            "job": (("ticket-printing",), "run", "interactive", 2000),
            "report": (("fit-notes",), "read", "report", 30_000),
        },
    ),
}


class Deployment(NamedTuple):
    """Settings of all processes of a deployment; addresses are ``ip:port``.

    ``daemons`` maps host ids to daemon settings. ``proxy`` is None without a proxy.
    ``entries`` holds the caller addresses, ``admins`` the administration addresses.
    """

    name: str
    document: dict
    hosts: list[dict]
    daemons: dict[str, dict]
    platform: dict
    upstream: dict
    proxy: dict | None
    entries: list[str]
    admins: list[str]

    def write(self, directory: str | Path) -> dict[str, Path]:
        """Write all settings as JSON files; return them by process name."""
        values = {"platform": self.platform, "upstream": self.upstream, **self.daemons}
        if self.proxy is not None:
            values["proxy"] = self.proxy
        paths = {}
        for name, value in values.items():
            paths[name] = Path(directory) / f"{name}.json"
            paths[name].write_text(json.dumps(value, indent=1))
        return paths


def find_base_port(
    rng: random.Random, count: int = PORTS_PER_DEPLOYMENT, tries: int = 50
) -> int:
    """Return the first of ``count`` successive ports that are free now."""
    for _ in range(tries):
        base = rng.randrange(FIRST_PORT, LAST_PORT - count)
        if all(_is_free(port) for port in range(base, base + count)):
            return base
    raise RuntimeError(f"no {count} successive free ports in {tries} tries")


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            # A listener on any local address, such as 127.0.1.1, makes this bind fail.
            probe.bind(("", port))
        except OSError:
            return False
    return True


def build_deployment(
    name: str,
    base_port: int,
    *,
    seed: int = 0,
    with_proxy: bool = False,
    peer_listen_field: str | None = None,
    upstream_defaults: dict | None = None,
    plan: Plan | None = None,
) -> Deployment:
    """Return the settings of ``semenanjung``, ``nz-north`` or a given ``plan``.

    With a proxy, the document names the proxy's listeners instead of the upstreams,
    and the daemons read the platform through it. Messages between daemons pass the
    proxy only when ``peer_listen_field`` names the daemon setting for a listen address
    that differs from the advertised ``peer_address``.
    """
    plan = plan or PLANS[name]
    builder = _Builder(name, plan, base_port, seed, with_proxy, peer_listen_field)
    return builder.build(upstream_defaults or {})


class _Builder:
    """Builds the settings of one ``build_deployment`` call."""

    def __init__(self, name, plan, base_port, seed, with_proxy, peer_listen_field):
        self.name = name
        self.plan = plan
        self.base_port = base_port
        self.seed = seed
        self.with_proxy = with_proxy
        self.peer_listen_field = peer_listen_field if with_proxy else None
        self._listeners: list[dict] = []

    def build(self, upstream_defaults: dict) -> Deployment:
        """Assemble all settings."""
        services, upstreams = self._build_services()
        document = self._build_document(services)
        daemons, hosts = self._build_daemons()
        return Deployment(
            name=self.name,
            document=document,
            hosts=hosts,
            daemons=daemons,
            platform={
                "address": self._address(PLATFORM_OFFSET),
                "control": self._address(PLATFORM_CONTROL_OFFSET),
                "document": document,
                "hosts": hosts,
                "host_lag_s": 1.0,
                "full_every": 50,
            },
            upstream=self._build_upstream(upstreams, document, upstream_defaults),
            proxy=self._build_proxy() if self.with_proxy else None,
            entries=[daemon["caller_address"] for daemon in daemons.values()],
            admins=[daemon["admin_address"] for daemon in daemons.values()],
        )

    def _address(self, offset: int, ip: str = "127.0.0.1") -> str:
        return f"{ip}:{self.base_port + offset}"

    def _add_proxy_listener(self, offset: int, target: str, group: str, ip: str) -> str:
        """Add a proxy listener for ``target`` and return its address."""
        address = self._address(offset, ip)
        listener = {"address": address, "target": target, "group": group}
        self._listeners.append(listener)
        return address

    def _build_services(self) -> tuple[dict, dict]:
        services, upstreams = {}, {}
        for service_class in self.plan.classes:
            for name in _service_names(service_class):
                replicas = {}
                for number in range(service_class.replicas):
                    data_centre = _data_centre_of(
                        len(services), number, self.plan.data_centres
                    )
                    replica = f"{name}-{'abcd'[number]}"
                    position = len(upstreams)
                    address = self._address(FIRST_UPSTREAM_OFFSET + position)
                    upstreams[replica] = {
                        "service": name,
                        "address": address,
                        "slots": service_class.slots,
                        "connect_s": service_class.connect_s,
                    }
                    if self.with_proxy:
                        offset = FIRST_PROXY_OFFSET + position
                        ip = "127.0.0.1"
                        address = self._add_proxy_listener(
                            offset, address, data_centre, ip
                        )
                    replicas[replica] = {
                        "address": address,
                        "data_centre": data_centre,
                        "draining": False,
                    }
                services[name] = {
                    "slots": service_class.slots,
                    "connections": service_class.connections,
                    "replicas": replicas,
                }
        return services, upstreams

    def _build_document(self, services: dict) -> dict:
        indexes = {c.index: _services_by_shard(c) for c in self.plan.classes}
        routes, kinds = {}, {}
        for route, (names, operation, rank, deadline_ms) in self.plan.routes.items():
            routes[route] = {
                "indexes": list(names),
                "kind": route,
                "operation": operation,
            }
            kinds[route] = {"rank": rank, "deadline_ms": deadline_ms}
        return {
            "services": services,
            "snapshots": [{"id": SNAPSHOT_ID, "indexes": indexes}],
            "routes": routes,
            "kinds": kinds,
            "policy": {
                "floors": {"batch": 0.10, "report": 0.05},
                "hedge_quantile": 0.95,
                "extra_load": 0.05,
            },
        }

    def _build_upstream(self, upstreams: dict, document: dict, defaults: dict) -> dict:
        held = {str(s["id"]): shards_by_service(s) for s in document["snapshots"]}
        for upstream in upstreams.values():
            upstream["snapshots"] = {
                snapshot: services.get(upstream["service"], [])
                for snapshot, services in held.items()
            }
        return {
            "control": self._address(UPSTREAM_CONTROL_OFFSET),
            "seed": self.seed,
            "defaults": defaults,
            "services": {
                name: {"connections": service["connections"]}
                for name, service in document["services"].items()
            },
            "upstreams": upstreams,
        }

    def _build_daemons(self) -> tuple[dict, list]:
        daemons, hosts = {}, []
        for number, data_centre in enumerate(self.plan.hosts):
            host_id = f"{self.name}-{number + 1}"
            settings = self._build_daemon(number, host_id, data_centre)
            daemons[host_id] = settings
            hosts.append(
                {
                    "id": host_id,
                    "address": settings["peer_address"],
                    "data_centre": data_centre,
                    "region": settings["region"],
                    "roles": settings["roles"],
                    "state": "live",
                }
            )
        addresses = [host["address"] for host in hosts]
        for settings in daemons.values():
            own_address = settings["peer_address"]
            settings["seeds"] = [a for a in addresses if a != own_address][:2]
        return daemons, hosts

    def _build_daemon(self, number: int, host_id: str, data_centre: str) -> dict:
        ip = source_ip(data_centre, number + 1)
        first = FIRST_HOST_OFFSET + number * PORTS_PER_HOST
        peer_address = self._address(first + 2, ip)
        platform = self._address(PLATFORM_OFFSET)
        if self.with_proxy:
            # One listener serves all hosts, which differ in their source address.
            platform = self._address(PLATFORM_PROXY_OFFSET)
        settings = {
            "host_id": host_id,
            "data_centre": data_centre,
            "region": self.name,
            "roles": ["entry", "owner"],
            "caller_address": self._address(first, ip),
            "admin_address": self._address(first + 1, ip),
            "peer_address": peer_address,
            "source_ip": ip,
            "platform_url": f"http://{platform}",
            "random_seed": self.seed * 1000 + number,
        }
        if self.peer_listen_field:
            settings[self.peer_listen_field] = peer_address
            offset = FIRST_PEER_PROXY_OFFSET + number
            settings["peer_address"] = self._add_proxy_listener(
                offset, peer_address, data_centre, ip
            )
        return settings

    def _build_proxy(self) -> dict:
        target = self._address(PLATFORM_OFFSET)
        self._add_proxy_listener(
            PLATFORM_PROXY_OFFSET, target, PLATFORM_GROUP, "127.0.0.1"
        )
        latency = {"latency_s": self.plan.latency_s}
        data_centres = self.plan.data_centres
        return {
            "control": self._address(PROXY_CONTROL_OFFSET),
            "seed": self.seed,
            "sources": {dc: [source_ip(dc, 0)[:-1]] for dc in data_centres},
            "listeners": self._listeners,
            "rules": {
                f"{source}>{target}": latency
                for source in data_centres
                for target in (*data_centres, PLATFORM_GROUP)
                if source != target
            },
        }


def source_ip(data_centre: str, host_number: int) -> str:
    """Return the loopback source address of a host."""
    return f"127.0.{DATA_CENTRES.index(data_centre) + 1}.{host_number}"


def shards_by_service(snapshot: dict) -> dict[str, list[str]]:
    """Return the names (``index/shard``) of the shards of each service."""
    result: dict[str, list[str]] = {}
    for index, shards in snapshot["indexes"].items():
        for shard, service in shards.items():
            result.setdefault(service, []).append(f"{index}/{shard}")
    return result


def _service_names(service_class: ServiceClass) -> list[str]:
    if service_class.services == 1:
        return [service_class.index]
    numbers = range(1, service_class.services + 1)
    return [f"{service_class.index}-{number:02}" for number in numbers]


def _services_by_shard(service_class: ServiceClass) -> dict[str, str]:
    names = _service_names(service_class)
    services = [name for name in names for _ in range(service_class.shards)]
    return {f"s{position:02}": service for position, service in enumerate(services)}


def _data_centre_of(service: int, replica: int, data_centres: Sequence[str]) -> str:
    """Return the data centre of a replica of the service with number ``service``.

    The replicas are spread so that every pair of data centres shares some services.
    """
    count = len(data_centres)
    step = 1 + (service // count) % (count - 1)
    if replica >= 2:
        # The third and later replicas take the remaining data centres.
        taken = {_data_centre_of(service, number, data_centres) for number in range(2)}
        return [dc for dc in data_centres if dc not in taken][replica - 2]
    return data_centres[(service + replica * step) % count]
