"""Requests of callers in the form in which they are sent to replicas and peers."""

from collections.abc import Collection, Sequence
from functools import cached_property
from hashlib import blake2b

from cicadalever.gather import encode_attempts, encode_shards
from cicadalever.notices import Incarnation, encode_leaving
from cicadalever.wire import CallerRequest, Header, HeaderNames, is_hop_by_hop

# Headers of requests between hosts: the configuration version of the sending host, the
# microseconds until it needs the answer, and the shards to read (without it: all). The
# answer to a query for some shards names those that are missing. A request that is
# handed over names its service, unless it is a query over shards, and how many replicas
# may have got it: the most for one shard, and those for each (``encode_attempts``). The
# host that processes it reports the latter in informational responses.
PEER_VERSION = b"x-cicadalever-version"
PEER_ANSWER_US = b"x-cicadalever-answer-us"
PEER_SHARDS = b"x-cicadalever-shards"
PEER_MISSING = b"x-cicadalever-missing"
PEER_SERVICE = b"x-cicadalever-service"
PEER_ATTEMPTS = b"x-cicadalever-attempts"
PEER_SHARD_ATTEMPTS = b"x-cicadalever-shard-attempts"
# Replicas whose answers the peer has used and that have said they are leaving.
PEER_LEAVING = b"x-cicadalever-leaving"
# Why a host has not processed a request of another one.
PEER_REFUSAL = b"x-cicadalever-refusal"
PEER_HEADERS = (
    PEER_VERSION,
    PEER_ANSWER_US,
    PEER_SHARDS,
    PEER_MISSING,
    PEER_SERVICE,
    PEER_ATTEMPTS,
    PEER_SHARD_ATTEMPTS,
    PEER_LEAVING,
    PEER_REFUSAL,
)
# Longer lists of leaving replicas are split over several header lines, because
# receivers limit the length of a line.
LEAVING_PER_LINE = 60

# Least remaining time that is sent to a replica.
MIN_DEADLINE_MS = 1


class OutboundRequest:
    """A request of a caller in the form in which it is sent to replicas and peers.

    Hop-by-hop headers are removed. The caller's headers for the deadline, the expected
    replica and queries between hosts are replaced or removed. ``deadline`` is a
    monotonic time in seconds; the remaining time is computed when the request is sent.
    """

    def __init__(
        self,
        request: CallerRequest,
        names: HeaderNames,
        deadline: float,
        request_id: bytes,
    ):
        self.request_id = request_id
        self.deadline = deadline
        self._request = request
        lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
        replaced = (names.deadline, names.expected_replica, *PEER_HEADERS)
        connection_options = _connection_options(request)
        for name, value in request.headers:
            if (
                not is_hop_by_hop(name)
                and name not in replaced
                and name not in connection_options
            ):
                lines.append(b"%s: %s" % (name, value))
        if request.body or request.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d" % len(request.body))
        self._head = b"\r\n".join(lines)
        self._deadline_name = names.deadline
        self._body = request.body
        self._format = b"%s\r\n%s: %%d\r\n%s: %%s\r\n\r\n%s" % (
            b"%s",
            names.deadline,
            names.expected_replica,
            b"%s",
        )

    @cached_property
    def fingerprint(self) -> int:
        """Unsigned 64-bit hash of what the caller asks for, without the request id."""
        request = self._request
        parts = (
            request.method,
            request.header(b"host") or b"",
            request.target,
            request.body,
        )
        digest = blake2b(b"\0".join(parts), digest_size=8)
        return int.from_bytes(digest.digest(), "big")

    def encode(self, replica_id: str, now: float) -> bytes:
        """Return the bytes of the request to one replica."""
        remaining_ms = max(MIN_DEADLINE_MS, int((self.deadline - now) * 1000))
        return self._format % (
            self._head,
            remaining_ms,
            replica_id.encode(),
            self._body,
        )

    def encode_for_peer(
        self,
        version: int,
        answer_by: float,
        now: float,
        shards: Collection[int] | None = None,
        *,
        service: str | None = None,
        attempts: Sequence[int] = (),
    ) -> bytes:
        """Return the bytes of the request to a peer that reads the answer.

        ``version`` is the version of the configuration in force, ``answer_by`` the
        monotonic time in seconds at which this host needs the answer, and ``shards``
        the shards to read (None for all). ``service`` is that of a request without
        shards, and ``attempts`` the number of replicas that may have got the request,
        for each shard.
        """
        options = b""
        if shards is not None:
            options += b"%s: %s\r\n" % (PEER_SHARDS, encode_shards(shards))
        if service is not None:
            options += b"%s: %s\r\n" % (PEER_SERVICE, service.encode())
        if any(attempts):
            options += b"%s: %d\r\n" % (PEER_ATTEMPTS, max(attempts))
            options += b"%s: %s\r\n" % (
                PEER_SHARD_ATTEMPTS,
                encode_attempts(attempts),
            )
        return b"%s\r\n%s: %d\r\n%s: %d\r\n%s: %d\r\n%s\r\n%s" % (
            self._head,
            self._deadline_name,
            max(MIN_DEADLINE_MS, int((self.deadline - now) * 1000)),
            PEER_VERSION,
            version,
            PEER_ANSWER_US,
            max(0, int((answer_by - now) * 1_000_000)),
            options,
            self._body,
        )


def leaving_headers(replicas: Collection[Incarnation]) -> list[Header]:
    """Return the headers in which a host names leaving replicas to a peer."""
    named = sorted(replicas)
    return [
        (PEER_LEAVING, encode_leaving(named[start : start + LEAVING_PER_LINE]))
        for start in range(0, len(named), LEAVING_PER_LINE)
    ]


def _connection_options(request: CallerRequest) -> set[bytes]:
    value = request.header(b"connection")
    if value is None:
        return set()
    return {name.strip().lower() for name in value.split(b",")}
