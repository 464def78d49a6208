"""Where most shards of the wide routes have replicas."""

from collections import Counter
from collections.abc import Iterable

# A data centre is left for another one that has replicas of this many more of the
# shards; a hop between data centres costs less than the reads of so many shards.
LOCALITY_GAIN = 0.5
# Data centres that differ by less are equally good.
EQUAL_SHARE = 0.1


def nearest_data_centres(shards: Iterable[set[str]], own: str) -> frozenset[str]:
    """Return the data centres from which the shards should be read.

    ``shards`` has for each shard the data centres of its replicas. It answers the load
    of queries over many shards in a data centre without replicas: read from there, each
    part crosses between data centres; gathered next to the replicas, one answer does.

    >>> sorted(nearest_data_centres([{"a", "b"}, {"a", "b"}], "c"))
    ['a', 'b']
    >>> sorted(nearest_data_centres([{"a"}, {"c"}], "c"))
    ['c']
    """
    shards = list(shards)
    counts = Counter(centre for centres in shards for centre in centres)
    best = max(counts.values(), default=0)
    if best - counts[own] < LOCALITY_GAIN * len(shards) or not shards:
        return frozenset((own,))
    least = best - EQUAL_SHARE * len(shards)
    return frozenset(centre for centre, count in counts.items() if count >= least)
