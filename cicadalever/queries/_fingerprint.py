"""Fingerprints: equal for requests that ask the same, whatever their id."""

import msgspec
import xxhash

_encoder = msgspec.json.Encoder(order="deterministic")


def fingerprint_of(route: str, operation: str, parameters: dict) -> int:
    """Return a 64-bit hash of route, operation and parameters."""
    return xxhash.xxh3_64_intdigest(_encoder.encode([route, operation, parameters]))
