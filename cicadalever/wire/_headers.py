"""Names of the headers that the gateway reads and writes."""

from typing import NamedTuple

# RFC 9110, section 7.6.1, and the headers that delimit a message.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def is_hop_by_hop(name: bytes) -> bool:
    """Return whether a header applies to one connection only.

    ``name`` is in lower case.
    """
    return name in _HOP_BY_HOP


class HeaderNames(NamedTuple):
    """Header names of a deployment, in lower case.

    - ``request_id``: identifies the request; a replica copies it into its answer.
    - ``deadline``: the milliseconds that remain for the request.
    - ``signature``: what a replica adds to each answer that it computed.
    - ``expected_replica``: the only replica that may run the request.
    - ``not_run``: says that the replica did not run the request.
    - ``signatures`` and ``missing_shards``: the coverage of a query over many shards.
    - ``rate_limit``: the requests per second that a replica takes from all hosts.
    - ``leaving``: says with the value 1 that the replica is leaving.
    """

    request_id: bytes
    deadline: bytes
    signature: bytes
    expected_replica: bytes
    not_run: bytes
    signatures: bytes
    missing_shards: bytes
    rate_limit: bytes
    leaving: bytes
