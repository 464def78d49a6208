"""Gateways that are all killed forget which request crashes replicas."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import (  # noqa: E402
    CONTACT_S,
    Fleet,
    Record,
    configuration,
    route,
    run_case,
)

HAS_TROUBLE = os.environ.get("TROUBLE") != "0"
ZONES = ["sm-a", "sm-b", "sm-c", "sm-d"]
DEADLY_PATH = "/report/deadly"
DEADLINE_MS = 4000
# Time between two copies of the deadly request, at one gateway after the other.
COPY_PERIOD_S = 1.5
FIRST_COPIES = 6
# Copies that come after each kill, the first when the gateways are in touch again.
LATER_COPIES = 4
KILLS = 2
DOWN_S = 0.9
# What the rule allows later than ``CONTACT_S`` after the third crash.
MAX_RETRIES = 3


class Copies:
    """Sends copies of the deadly request, to one gateway after the other."""

    def __init__(self, record, gateways):
        self._record = record
        self._gateways = gateways
        self._number = 0
        # Request ids, and whether their gateway was in touch when they were sent.
        self.in_touch = {}

    async def send(self, count):
        """Send some copies."""
        for _ in range(count):
            gateway = self._gateways[self._number % len(self._gateways)]
            self._number += 1
            request_id = f"deadly-{self._number}"
            age_s = time.monotonic() - gateway.started_at
            self.in_touch[request_id] = age_s > CONTACT_S
            self._record.note(
                f"caller sends {request_id} to {gateway.node}, "
                f"which has run for {age_s:.1f} s"
            )
            status = await gateway.ask(DEADLY_PATH, request_id, DEADLINE_MS)
            self._record.note(f"caller gets {status} for {request_id}")
            await asyncio.sleep(COPY_PERIOD_S)


async def kill_all(fleet):
    """Kill all gateways at once and wait until they are in touch again."""
    await asyncio.gather(*(each.kill() for each in fleet.gateways))
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(each.start(is_first=False) for each in fleet.gateways))
    await asyncio.gather(*(each.wait_ready() for each in fleet.gateways))
    await asyncio.sleep(CONTACT_S + 0.5)


async def main():
    """Return the exit code of the case."""
    record = Record(FOLDER / "record.txt")
    record.note(f"trouble: {HAS_TROUBLE}")
    fleet = Fleet(record, ZONES)
    replicas = fleet.add_replicas("reports", ZONES)
    routes = [
        route("report", "/report/", "reports", timeout_ms=DEADLINE_MS, target_ms=944)
    ]
    fleet.store.put("op/config", configuration(routes, ["reports"]))

    def choose(path):
        return "crash" if path == DEADLY_PATH else "answer"

    for replica in replicas:
        replica.choose = choose
    async with fleet:
        await fleet.start_gateways()
        await asyncio.sleep(CONTACT_S)
        copies = Copies(record, fleet.gateways)
        await copies.send(FIRST_COPIES)
        for _ in range(KILLS):
            if HAS_TROUBLE:
                await kill_all(fleet)
            else:
                await asyncio.sleep(CONTACT_S)
            await copies.send(LATER_COPIES)
    crashes = sorted(at for replica in replicas for at in replica.crashes)
    counted_from = crashes[2] + CONTACT_S if len(crashes) > 2 else float("inf")
    late = [
        arrival.request_id
        for replica in replicas
        for arrival in replica.arrivals
        if arrival.at > counted_from and copies.in_touch.get(arrival.request_id)
    ]
    retries = len(set(late))
    text = (
        f"{retries} retries reached replicas ({len(late)} arrivals) later than "
        f"ContactMs after the third crash, from gateways in touch; allowed "
        f"{MAX_RETRIES}; {len(crashes)} crashes in all"
    )
    record.note(("BROKEN BUDGET: " if retries > MAX_RETRIES else "held: ") + text)
    print(text)
    return 1 if retries > MAX_RETRIES else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
