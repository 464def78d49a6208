"""A fleet of gateways in virtual time, to compare policies without a network.

The decisions are those of the product: service, calls, reads, selection, budget and
groups of shards. Only connections, replicas and clock are simulated. The model leaves
out processor time, links, connection limits, membership and the platform.
"""

from ._fleet import Fleet, QueryRecord
from ._site import FleetEvent, FleetSite, Policy, load_site
from ._summary import FleetSummary, summarize

__all__ = [
    "Fleet",
    "FleetEvent",
    "FleetSite",
    "FleetSummary",
    "Policy",
    "QueryRecord",
    "load_site",
    "summarize",
]
