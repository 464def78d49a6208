"""Addresses of hosts and replicas, as others name them."""

from ._address import MAX_PORT, is_host, is_host_address

__all__ = ["MAX_PORT", "is_host", "is_host_address"]
