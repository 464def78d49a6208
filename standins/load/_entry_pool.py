"""Persistent connections to entries, which are chosen as a load balancer does."""

import random
from collections.abc import Sequence

from standins._client import ConnectionBroken, HttpClient, HttpResponse
from standins._eventlet import eventlet

HEALTH_TIMEOUT_S = 1.0


class EntryPool:
    """Chooses entries as the platform's load balancer does; keeps their connections.

    An entry whose health endpoint does not answer 200 gets no new requests, unless
    none answers so. With a ``health_period_s`` of 0, all count as ready.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        rng: random.Random,
        health_period_s: float,
        source_ip: str | None = None,
    ):
        self.addresses = list(addresses)
        self.rng = rng
        self.health_period_s = health_period_s
        self.source_ip = source_ip
        self._unready: set[str] = set()
        self._idle: dict[str, list[HttpClient]] = {a: [] for a in self.addresses}
        self._probes: list = []

    def start(self) -> None:
        """Start to probe the health of the entries periodically."""
        if self.health_period_s > 0:
            self._probes = [eventlet.spawn(self._probe, a) for a in self.addresses]

    def close(self) -> None:
        """Stop the probes and close idle connections."""
        for probe in self._probes:
            probe.kill()
        for clients in self._idle.values():
            while clients:
                clients.pop().close()

    def choose(self, exclude: Sequence[str] = ()) -> str:
        """Return an entry, preferably ready and not in ``exclude``."""
        ready = [a for a in self.addresses if a not in self._unready]
        ready_untried = [a for a in ready if a not in exclude]
        untried = [a for a in self.addresses if a not in exclude]
        return self.rng.choice(ready_untried or untried or ready or self.addresses)

    def post(
        self, address: str, target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        """Send a request over a pooled connection; raises ``ConnectionBroken``."""
        idle = self._idle[address]
        client = idle.pop() if idle else HttpClient(address, source_ip=self.source_ip)
        client.timeout_s = timeout_s
        headers = {"Content-Type": "application/json"}
        try:
            response = client.request("POST", target, body, headers)
        except ConnectionBroken:
            # If the host is lost, its idle connections are broken as well.
            while idle:
                idle.pop().close()
            raise
        if client.is_open:
            idle.append(client)
        return response

    def _probe(self, address: str) -> None:
        client = HttpClient(
            address, timeout_s=HEALTH_TIMEOUT_S, source_ip=self.source_ip
        )
        while True:
            try:
                is_ready = client.request("GET", "/v1/health").status == 200
            except ConnectionBroken:
                is_ready = False
            if is_ready:
                self._unready.discard(address)
            else:
                self._unready.add(address)
            eventlet.sleep(self.health_period_s)
