"""Datagrams in which hosts tell each other which requests may crash replicas."""

from collections.abc import Iterable, Iterator

import msgspec

from cicadalever.addresses import is_host_address
from cicadalever.crashes import CrashRecord
from cicadalever.outcomes import Failure, FailureCode, decode_or_fail

# First byte of the datagrams; hosts of older versions ignore them.
CRASH_NEWS_PREFIX = b"K"
# Longest datagram that fits into one packet.
MAX_DATAGRAM_BYTES = 1200
# Bounds of what a datagram may contain.
MAX_ITEMS = 64
MAX_NAME_LENGTH = 200
MAX_AGE_MS = 10**9


class CrashNews(msgspec.Struct, array_like=True, frozen=True):
    """What the host at ``address`` knows of requests that may crash replicas.

    With ``wants_reply`` it asks the receiver for all that this one knows. ``memory_ms``
    is the age of its memory, see ``cicadalever.crashes.SharedMemory``.
    """

    host: str
    address: tuple[str, int]
    wants_reply: bool
    records: list[CrashRecord]
    memory_ms: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CrashNews)


def encode_crash_news(
    host: str,
    address: tuple[str, int],
    records: Iterable[CrashRecord],
    memory_s: float = 0.0,
    *,
    wants_reply: bool = False,
) -> Iterator[bytes]:
    """Yield the datagrams of some records, at least one.

    Only the first one asks for a reply. ``memory_s`` may be infinite.
    """
    pending: list[CrashRecord] = []
    size = 0
    is_first = True
    memory_ms = round(1000 * min(memory_s, MAX_AGE_MS / 1000))

    def encode() -> bytes:
        news = CrashNews(host, address, wants_reply and is_first, pending, memory_ms)
        return CRASH_NEWS_PREFIX + _encoder.encode(news)

    for record in records:
        record_bytes = len(_encoder.encode(record))
        if pending and size + record_bytes > MAX_DATAGRAM_BYTES:
            yield encode()
            pending, size, is_first = [], 0, False
        pending.append(record)
        size += record_bytes
    if pending or is_first:
        yield encode()


def decode_crash_news(data: bytes) -> CrashNews | Failure:
    """Return what a host reports, or a failure for an invalid datagram."""
    payload = data[len(CRASH_NEWS_PREFIX) :]
    news = decode_or_fail(_decoder.decode, payload, "invalid crash news")
    if isinstance(news, Failure):
        return news
    is_valid = (
        _is_name(news.host)
        and is_host_address(news.address)
        and 0 <= news.memory_ms <= MAX_AGE_MS
        and len(news.records) <= MAX_ITEMS
        and all(map(_is_valid, news.records))
    )
    if not is_valid:
        return Failure(FailureCode.INVALID, "invalid crash news: value out of range")
    return news


def _is_valid(record: CrashRecord) -> bool:
    losses = record.losses
    signs = [*record.cleared_services, *record.live_replicas, *record.canaries]
    names = [name for name, _ in signs]
    names += [each.replica_id for each in losses] + [each.service for each in losses]
    ages = [record.active_age_ms, *(age for _, age in signs)]
    ages += [each.age_ms for each in losses]
    return (
        0 <= record.fingerprint < 2**64
        and max(len(losses), len(signs)) <= MAX_ITEMS
        and all(map(_is_name, names))
        and all(0 <= age <= MAX_AGE_MS for age in ages)
    )


def _is_name(name: str) -> bool:
    return len(name) <= MAX_NAME_LENGTH
