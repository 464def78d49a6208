"""The replicas on which an unproven request is tried."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from cicadalever.topology import Replica


def trial_order(fingerprint: int, replicas: Iterable[Replica]) -> list[Replica]:
    """Return the replicas that are not draining in the order of their trials.

    The first runs the canary, the second the exclusive trial. The order depends only
    on the fingerprint and the replica ids, so that copies of a request meet on one
    replica whichever hosts they come from. A replica that joins or leaves does not
    reorder the others.

    Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    1998 (rendezvous hashing).
    """
    prefix = f"{fingerprint}/".encode()

    def weight(replica: Replica) -> tuple[int, str]:
        return xxh3_64_intdigest(prefix + replica.id.encode()), replica.id

    live = [replica for replica in replicas if not replica.draining]
    return sorted(live, key=weight, reverse=True)
