"""A replica of a service: one upstream process that serves its requests."""

from typing import NamedTuple


class Replica(NamedTuple):
    """One upstream; ``address`` is its ``ip:port``.

    ``slots`` is the number of requests that it runs concurrently. ``connections`` is
    its share of the connection limit of the service; all hosts together open at most
    that many connections to it. A ``draining`` replica is sent no new requests.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    connections: int
    draining: bool = False
