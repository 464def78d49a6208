"""Rendezvous hashing: every host computes the same order of hosts for a key."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from cicadalever.topology import Host


def rendezvous_weight(key: str, host_id: str) -> int:
    """Return the 64-bit weight of a host for ``key``; a higher weight is preferred."""
    return xxh3_64_intdigest(f"{key}/{host_id}".encode())


def order_by_weight(key: str, hosts: Iterable[Host]) -> list[Host]:
    """Return the hosts by descending weight for ``key``."""
    return sorted(hosts, key=lambda host: (-rendezvous_weight(key, host.id), host.id))
