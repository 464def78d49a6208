"""Rendezvous weights, which order hosts in the same way on every host."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from cicadalever.topology import Host


def rendezvous_weight(key: str, host_id: str) -> int:
    """Return the 64-bit weight of a host for ``key``; the highest weight is first."""
    return xxh3_64_intdigest(f"{key}/{host_id}".encode())


def order_by_weight(key: str, hosts: Iterable[Host]) -> list[Host]:
    """Return the hosts by descending weight for ``key``."""
    return sorted(hosts, key=lambda host: (-rendezvous_weight(key, host.id), host.id))
