"""Stand-ins of the second review: store, replicas, gateways and callers on loopback.

They need the standard library only. A case starts them in one event loop, and the
gateways as separate processes with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
GATEWAY_COMMAND = ("python3", "platform/gateway.py")
HOST_NAME = "shop.example"
# Settings of the small deployment on the users' page.
CONTACT_S = 4.0
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
RETRY_SLACK = 52
START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 8.0
# Ports below those that Linux gives to outgoing connections.
PORTS = (12_000, 32_000)

SETTINGS = """Node={node}
Role=gateway
MachineClass=front
Serves=front,control
Ip={ip}
Zone={zone}
Region=r
Zones.sm-a=r
Zones.sm-b=r
Zones.sm-c=r
Zones.sm-d=r
Listen.Front={ip}:{front}
Listen.Ready={ip}:{ready}
Listen.Control={ip}:{control}
InternalPorts={peers},{peers_end}
Seeds={seeds}
Bootstrap={bootstrap}
InTolerance=false
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,scatter,platform
FaultTolerance.Machines=2
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.ContactMs=4000
Bounds.AckMs=5000
Bounds.CatchUpS=4
Bounds.DrainMs=3000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=3000
Bounds.RollbackSlackMs=250
Bounds.MaxSkewMs=12000
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.RetrySlack=52
Bounds.RecoverS=12
platform.Address={store}
platform.form=read
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.HistoryS=20
platform.ValueBytes=1048576
platform.MinTtlMs=1000
"""


class Record:
    """Lines of ``record.txt``, with the seconds since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_at = time.monotonic()

    def note(self, text):
        """Write one line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:9.4f} {text}\n")
        self._file.flush()


def free_port():
    """Return a port that no socket uses on the first loopback address."""
    while True:
        port = random.randrange(*PORTS)
        with (
            contextlib.suppress(OSError),
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind(("127.0.0.1", port))
            datagram.bind(("127.0.0.1", port))
            return port


async def read_message(reader):
    """Return start line, headers and body, or None at the end of the stream.

    Header names are in lower case.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start_line, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return start_line, headers, body


class _Server:
    """Listens on a loopback address and serves HTTP/1.1 connections."""

    def __init__(self):
        self.port = free_port()
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """Address as text."""
        return f"127.0.0.1:{self.port}"

    async def start(self):
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )

    def stop(self):
        """Reset all connections and accept none."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.answer(writer, *message):
                    break
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store(_Server):
    """The platform's store: items, range reads and watches."""

    def __init__(self):
        super().__init__()
        self._revision = 1
        self._items = {}
        self._log = []
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item."""
        self._revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "Key": key,
            "Value": data,
            "Rev": self._revision,
            "Created": self._revision,
            "Lease": 0,
        }
        self._items[key] = item
        self._log.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, writer, start_line, headers, body):
        """Answer one call."""
        parts = urlsplit(start_line.split()[1])
        query = {name: each[0] for name, each in parse_qs(parts.query).items()}
        if parts.path.endswith("/kv-range"):
            content = self._range(query)
        else:
            content = await self._watch(query)
        data = json.dumps(content).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(data), data)
        )
        await writer.drain()
        return True

    def _range(self, query):
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        items = [self._items[key] for key in keys[:500]]
        return {"items": items, "HasMore": len(keys) > 500, "AsOf": self._revision}

    async def _watch(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000.0
        while True:
            changed, revision = self._changed, self._revision
            events = [each for each in self._log if each["Rev"] > after]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0.0:
                return {"events": events, "AsOf": revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


class Link(_Server):
    """A way of one gateway to one replica, which passes all bytes on.

    While it refuses, open connections live on and new ones are refused.
    """

    def __init__(self, target_port):
        super().__init__()
        self._target_port = target_port

    def refuse(self):
        """Refuse new connections."""
        self._server.close()
        self._server = None

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            ends = await asyncio.open_connection("127.0.0.1", self._target_port)
            await asyncio.gather(_pass_on(reader, ends[1]), _pass_on(ends[0], writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _pass_on(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    finally:
        writer.close()


class StoreView(Store):
    """A store at another address, which names other addresses of the replicas.

    ``addresses`` maps names of replicas to these.
    """

    def __init__(self, store, addresses):
        super().__init__()
        self._store = store
        self._addresses = addresses

    def _change(self, content):
        for name in ("items", "events"):
            if name in content:
                content[name] = [self._replace(item) for item in content[name]]
        return content

    def _replace(self, item):
        address = self._addresses.get(item["Key"].removeprefix("servers/"))
        if address is None:
            return item
        entry = json.loads(base64.b64decode(item["Value"])) | {"Address": address}
        data = base64.b64encode(json.dumps(entry).encode()).decode()
        return item | {"Value": data}

    def _range(self, query):
        return self._change(self._store._range(query))

    async def _watch(self, query):
        return self._change(await self._store._watch(query))


class Arrival:
    """A request that a replica has received."""

    def __init__(self, at, replica, request_id, path, has_run):
        self.at = at
        self.replica = replica
        self.request_id = request_id
        self.path = path
        self.has_run = has_run


class Replica(_Server):
    """A replica of a service.

    ``choose`` gets the path of a request and returns what becomes of it: ``answer``,
    ``error`` (status 500 after it ran), or ``crash``: all connections are reset and
    none is accepted for ``down_s`` seconds, then it is another process.
    """

    def __init__(self, record, service, name, zone, *, slots=4, work_s=0.004):
        super().__init__()
        self.record = record
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.choose = lambda path: "answer"
        self.down_s = 2.5
        self.on_restart = lambda: None
        self.arrivals = []
        self.crashes = []

    def entry(self, sequence=1):
        """Return what the replica publishes of itself."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Seq": sequence,
            "born": self.born,
        }

    async def answer(self, writer, start_line, headers, body):
        """Answer one request; return whether the connection stays open."""
        path = start_line.split()[1]
        request_id = headers.get("x-request-id", "")
        is_own = headers.get("x-expect-instance", self.name) == self.name
        arrival = Arrival(time.monotonic(), self.name, request_id, path, is_own)
        self.arrivals.append(arrival)
        fate = self.choose(path) if is_own else "misdirected"
        self.record.note(f"replica {self.name} gets {request_id} {path}: {fate}")
        if fate == "crash":
            self.crashes.append(arrival.at)
            asyncio.get_running_loop().create_task(self._crash())
            await asyncio.sleep(self.down_s)
            return False
        status = {"answer": 200, "error": 500, "misdirected": 421}[fate]
        if is_own:
            await asyncio.sleep(self.work_s)
        data = b"0" * 16 if status == 200 else b""
        stamp = f"X-Server-Stamp: {self.name}.{request_id}\r\n" if is_own else ""
        writer.write(
            f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{stamp}"
            f"Keep-Alive: timeout=15\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        return True

    async def _crash(self):
        self.stop()
        await asyncio.sleep(self.down_s)
        self.born = int(time.time() * 1000)
        await self.start()
        self.record.note(f"replica {self.name} is back as another process")
        self.on_restart()


class Gateway:
    """One gateway process; ``ip`` is a loopback address of its own."""

    def __init__(self, record, store, folder, *, node, ip, zone, ports, seeds):
        self.record = record
        self.node = node
        self.ip = ip
        self.zone = zone
        self.ports = ports
        self._fields = {
            "node": node,
            "ip": ip,
            "zone": zone,
            "seeds": seeds,
            "store": store.address,
            **ports,
        }
        self._settings = Path(folder, f"{node}.conf")
        self._log_path = Path(folder, f"{node}.log")
        self._process = None
        # Monotonic time at which the process was last started.
        self.started_at = 0.0

    def use_store(self, store):
        """Have the process read another store, from its next start on."""
        self._fields["store"] = store.address

    async def start(self, *, is_first=True):
        """Start the process with the command of the deploy file."""
        fields = self._fields | {"bootstrap": str(is_first).lower()}
        self._settings.write_text(SETTINGS.format(**fields))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["CICADALEVER_NODE_FILE"] = str(self._settings)
        with open(self._log_path, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *GATEWAY_COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at = time.monotonic()
        self.record.note(f"gateway {self.node} is started")

    async def kill(self):
        """Kill the process with SIGKILL."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            self.record.note(f"gateway {self.node} is killed")
        if self._process is not None:
            await self._process.wait()

    async def wait_ready(self):
        """Wait until the readiness check succeeds."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ports["ready"]
                )
                writer.write(b"GET /cicadalever/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                message = await read_message(reader)
                writer.close()
                if message is not None and " 200 " in message[0]:
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"gateway {self.node} is not ready")

    async def connect(self):
        """Open a connection of a caller."""
        return await asyncio.open_connection(self.ip, self.ports["front"])

    async def ask(self, path, request_id, deadline_ms):
        """Send one GET request on a new connection; return the status, or None."""
        try:
            reader, writer = await self.connect()
        except OSError:
            return None
        try:
            writer.write(encode_request("GET", path, request_id, deadline_ms))
            message = await asyncio.wait_for(read_message(reader), ANSWER_TIMEOUT_S)
        except (OSError, EOFError):
            return None
        finally:
            writer.close()
        return None if message is None else int(message[0].split()[1])


def encode_request(method, path, request_id, deadline_ms, lines=(), body=b""):
    """Return the bytes of a request of a caller; ``lines`` are further headers."""
    extra = "".join(f"{line}\r\n" for line in lines)
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Request-Deadline: {deadline_ms}\r\n"
        f"{extra}{length}\r\n"
    ).encode() + body


def route(name, prefix, service, *, kind="safe", timeout_ms=1000, target_ms=100):
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": target_ms,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
    }


def configuration(routes, services, max_connections=96):
    """Return a configuration."""
    return {
        "Version": 7,
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConns": max_connections}
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


class Fleet:
    """A store and gateways in zones; an asynchronous context manager."""

    def __init__(self, record, zones):
        self.record = record
        self.store = Store()
        self._folder = tempfile.TemporaryDirectory()
        ports = {name: free_port() for name in ("front", "ready", "control", "peers")}
        ports["peers_end"] = ports["peers"]
        ips = [f"127.0.{random.randrange(1, 250)}.{n + 10}" for n in range(len(zones))]
        seeds = ",".join(f"{ip}:{ports['control']}" for ip in ips[:3])
        self.gateways = [
            Gateway(
                record,
                self.store,
                self._folder.name,
                node=f"front-{zone}-{number}",
                ip=ip,
                zone=zone,
                ports=ports,
                seeds=seeds,
            )
            for number, (ip, zone) in enumerate(zip(ips, zones, strict=True))
        ]
        self.replicas = []

    def add_replicas(self, service, zones, **options):
        """Add one replica of a service in each of some zones."""
        added = [
            Replica(self.record, service, f"i-{service}-{number}", zone, **options)
            for number, zone in enumerate(zones)
        ]
        self.replicas += added
        return added

    def publish(self, replica, sequence=1):
        """Write the entry of a replica."""
        self.store.put(f"servers/{replica.name}", replica.entry(sequence))

    async def __aenter__(self):
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            self.publish(replica)
            replica.on_restart = lambda replica=replica: self.publish(replica, 2)
        return self

    async def __aexit__(self, *details):
        for gateway in self.gateways:
            await gateway.kill()
        self.store.stop()
        for replica in self.replicas:
            replica.stop()
        self._folder.cleanup()

    async def start_gateways(self):
        """Start all gateways and wait until they are ready."""
        await asyncio.gather(*(each.start() for each in self.gateways))
        await asyncio.gather(*(each.wait_ready() for each in self.gateways))


def run_case(main):
    """Run a case and return its exit code, 2 if it could not run.

    SIGTERM, which a time limit sends, ends the processes of the case as well.
    """

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main()

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        return 2
