"""Puts changed settings into force in a running gateway."""

from typing import TYPE_CHECKING, NamedTuple

from cicadalever.freshness import WatchTiming

from ._adapter import HostSettings
from ._follower import PlatformFollower

if TYPE_CHECKING:
    from ._daemon import GatewayComponents

# Settings on which open sockets or what other hosts know of this one depend, and limits
# that the platform sets for a process.
RESTART_FIELDS = (
    "host_id",
    "data_centre",
    "caller_address",
    "readiness_address",
    "peer_address",
    "capacity",
    "memory_bytes",
    "max_descriptors",
)


class SettingsChange(NamedTuple):
    """Names of settings that differ.

    ``changed`` differ from the ones before, and ``needs_restart`` from those at the
    start although they cannot change while the process runs.
    """

    changed: list[str]
    needs_restart: list[str]


def apply_settings(
    components: "GatewayComponents",
    follower: PlatformFollower,
    settings: HostSettings,
    previous: HostSettings,
) -> SettingsChange:
    """Put ``settings`` into force instead of the ``previous`` ones."""
    runner, contact = components.runner, components.contact
    if settings.platform_address != previous.platform_address:
        follower.restart(components.adapter.connect(settings.platform_address))
    if settings.seeds != previous.seeds:
        components.link.peer_table.set_seeds(settings.seeds)
    follower.timing = WatchTiming.plan(
        settings.contact_s, settings.apply_s, settings.drain_s
    )
    runner.notices.drain_s = settings.drain_s
    budget = runner.retry_budget
    budget.ratio, budget.window_s = settings.retries.ratio, settings.retries.window_s
    # The share of this host is computed again soon.
    budget.slack = min(budget.slack, settings.retries.slack)
    contact.has_other_data_centres = settings.data_centres > 1
    return SettingsChange(
        _find_differences(settings, previous, HostSettings._fields),
        _find_differences(settings, components.settings, RESTART_FIELDS),
    )


def _find_differences(
    settings: HostSettings, other: HostSettings, names: tuple[str, ...]
) -> list[str]:
    return [name for name in names if getattr(settings, name) != getattr(other, name)]
