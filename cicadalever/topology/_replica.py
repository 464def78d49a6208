"""A replica of a service: the upstream process that answers for it."""

from typing import NamedTuple


class Replica(NamedTuple):
    """One upstream; ``address`` is its ``ip:port``.

    ``slots`` is the number of requests that it runs at once. ``connections`` is its
    share of the connection limit of the service.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    connections: int
    draining: bool = False
