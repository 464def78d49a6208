"""A host's share of the rate limit that a replica names for all hosts together."""

from cicadalever.placement import HostCounts

# What a replica accepts in any window of ``WINDOW_S`` seconds, according to the
# platform: ``OVERRUN_RATIO`` times its limit, and ``OVERRUN_REQUESTS`` more.
WINDOW_S = 4.0
OVERRUN_RATIO = 1.5
OVERRUN_REQUESTS = 5.0
# Share of a limit that the hosts use together. Hosts do not know when the others read.
# In a small fleet that cannot exceed the bound even if all read at the same moments; in
# a large one only the mean is certain, and the rest is left for chance.
SMALL_FLEET_SHARE = 0.8
LARGE_FLEET_SHARE = 0.4
# Share of that for the hosts that gather queries, at replicas that are read for them.
GATHERER_SHARE = 0.8
# Hosts that are assumed while their number is unknown.
ASSUMED_HOSTS = 1000
# A smaller limit counts as this one: without any read, its end could not be noticed.
MIN_LIMIT_PER_S = 0.05
# Least rate of a seed, of which there are at most three: while nobody knows the number
# of hosts, the seeds notice the end of a limit. The interval is longer than a window
# and the validity of a permit, so that each seed adds at most one request to a window.
MIN_SEED_RATE_PER_S = 1.0 / 6.0
# Time within which a read must follow the opening of its permit.
PERMIT_VALIDITY_S = 1.0


def compute_share(
    limit_per_s: float,
    counts: HostCounts | None,
    *,
    is_gathered: bool,
    is_gatherer: bool,
    is_seed: bool = False,
) -> float:
    """Return how many requests per second this host may send to a limited replica.

    ``limit_per_s`` is the limit for all hosts together. A replica that is read for
    queries over shards (``is_gathered``) is read mostly by the hosts that gather them,
    which get most of the limit. ``counts`` is None until they are known.

    The shares of all hosts add up to at most the limit without any agreement, as long
    as each host counts at least the hosts that also use their share. A host that has
    just started does not know the others, and assumes ``ASSUMED_HOSTS`` of them. A seed
    (``is_seed``) gets at least ``MIN_SEED_RATE_PER_S``.

    >>> compute_share(2.0, HostCounts(8, 8), is_gathered=False, is_gatherer=True)
    0.2
    >>> compute_share(10.0, HostCounts(100, 10), is_gathered=True, is_gatherer=True)
    0.32
    """
    share_per_s = _divide(
        max(MIN_LIMIT_PER_S, limit_per_s),
        counts,
        is_gathered=is_gathered,
        is_gatherer=is_gatherer,
    )
    return max(share_per_s, MIN_SEED_RATE_PER_S) if is_seed else share_per_s


def _divide(
    limit_per_s: float,
    counts: HostCounts | None,
    *,
    is_gathered: bool,
    is_gatherer: bool,
) -> float:
    hosts = ASSUMED_HOSTS if counts is None else max(1, counts.hosts)
    usable_per_s = _used_share(limit_per_s, hosts) * limit_per_s
    if counts is None or not is_gathered:
        return usable_per_s / hosts
    if not is_gatherer:
        return (1.0 - GATHERER_SHARE) * usable_per_s / hosts
    if counts.gatherers >= hosts:
        return usable_per_s / max(1, counts.gatherers)
    return GATHERER_SHARE * usable_per_s / max(1, counts.gatherers)


def _used_share(limit_per_s: float, hosts: int) -> float:
    """Return the share of a limit that ``hosts`` hosts use together."""
    # Each host reads at most once more than its rate allows in a window, to which the
    # permits belong that opened shortly before it.
    extended_s = WINDOW_S + PERMIT_VALIDITY_S
    mean_requests = SMALL_FLEET_SHARE * limit_per_s * extended_s
    allowed = OVERRUN_RATIO * limit_per_s * WINDOW_S + OVERRUN_REQUESTS
    is_small = mean_requests + hosts <= allowed
    return SMALL_FLEET_SHARE if is_small else LARGE_FLEET_SHARE
