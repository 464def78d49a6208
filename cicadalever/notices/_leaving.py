"""Header in which hosts name to each other the replicas that are leaving."""

from collections.abc import Iterable

from ._notices import Incarnation

# Most replicas that are read from the headers of one answer.
MAX_NAMED = 1024
# Longest id, and most digits of a Unix time in milliseconds.
MAX_ID_BYTES = 200
MAX_DIGITS = 16


def encode_leaving(replicas: Iterable[Incarnation]) -> bytes:
    """Return the value that names some replicas.

    Ids have no spaces (``discovery.check_entry``).

    >>> encode_leaving([Incarnation("i-1", 1700000000000), Incarnation("i=2", 5)])
    b'1700000000000=i-1 5=i=2'
    """
    return " ".join(f"{each.started_at_ms}={each.id}" for each in replicas).encode()


def decode_leaving(value: bytes) -> list[Incarnation]:
    """Return the replicas that a peer names; what cannot be read is left out.

    >>> decode_leaving(b"x= =y 1700000000000=i-1 -5=z")
    [Incarnation(id='i-1', started_at_ms=1700000000000)]
    """
    replicas = []
    for item in value.split()[:MAX_NAMED]:
        digits, _, replica_id = item.partition(b"=")
        is_time = digits.isdigit() and len(digits) <= MAX_DIGITS
        if is_time and 0 < len(replica_id) <= MAX_ID_BYTES and replica_id.isascii():
            replicas.append(Incarnation(replica_id.decode(), int(digits)))
    return replicas
