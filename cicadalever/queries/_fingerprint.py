"""Fingerprints of requests, which do not depend on the request id."""

import msgspec
import xxhash

_encoder = msgspec.json.Encoder(order="deterministic")


def fingerprint_of(route: str, operation: str, parameters: dict) -> int:
    """Return an unsigned 64-bit hash of route, operation and parameters.

    The order of the keys in ``parameters`` does not matter.
    """
    return xxhash.xxh3_64_intdigest(_encoder.encode([route, operation, parameters]))
