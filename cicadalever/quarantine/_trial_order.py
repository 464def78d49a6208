"""The order in which the replicas of a shard are used for trials."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from cicadalever.topology import Replica


def trial_order(fingerprint: int, replicas: Iterable[Replica]) -> list[Replica]:
    """Return the replicas that are not draining, in the order of use for trials.

    The order depends only on the fingerprint and the replica ids, so that all hosts
    send copies of a request to the same replica. A replica that joins or leaves does
    not reorder the others.

    Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    1998 (rendezvous hashing).
    """
    prefix = f"{fingerprint}/".encode()

    def weight(replica: Replica) -> tuple[int, str]:
        return xxh3_64_intdigest(prefix + replica.id.encode()), replica.id

    accepting = [replica for replica in replicas if not replica.draining]
    return sorted(accepting, key=weight, reverse=True)
