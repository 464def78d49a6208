"""An entry of another writer that cannot be read stops all updates of a machine.

The entry is JSON that is nested too deeply to be decoded.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import BOUNDS, ask, configuration, main, route  # noqa: E402

SERVICES = ["old", "new"]
DEPTH = 20_000
# Requests that are sent to each machine after the bound.
REQUESTS = 30


def unreadable_value():
    """Return bytes that cannot be read as an entry."""
    return b'{"Service": "old", "Note": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"


async def case(deployment, record, trouble):
    """Change the configuration after another writer has written an entry."""
    store = deployment.store
    await deployment.add_replicas(SERVICES)
    store.put("op/config", configuration(3, [route("read", Service="old")], SERVICES))
    await deployment.start_gateways(2)
    await asyncio.sleep(BOUNDS["ContactMs"] / 1000 + 1.0)

    async def ask_all(phase):
        for gateway in deployment.gateways:
            statuses = []
            for number in range(REQUESTS):
                request_id = f"{phase}-{gateway.name}-{number}"
                answer = await ask(
                    gateway.host, gateway.front, "/read/x", request_id, timeout_s=3.0
                )
                record.note(f"{request_id}: {answer.status} {answer.end}")
                statuses.append(answer.status)
            counts = {each: statuses.count(each) for each in set(statuses)}
            record.write(f"{phase}: {gateway.name} answered {counts}")

    await ask_all("before")
    if trouble:
        store.put("servers/note-of-another-writer", unreadable_value())
        record.write("another writer has written an entry that cannot be read")
    await asyncio.sleep(5.0)
    store.put("op/config", configuration(7, [route("read", Service="new")], SERVICES))
    acknowledged_at = time.monotonic()
    record.write("version 7 acknowledged: route read goes to service new")
    await asyncio.sleep(BOUNDS["ConfigApplyMs"] / 1000 + 1.0)
    await ask_all("after")
    due_at = acknowledged_at + BOUNDS["ConfigApplyMs"] / 1000
    late = [run for run in deployment.runs("old") if run[0] > due_at]
    record.write(f"run by service old after the bound: {len(late)}")
    record.write(f"run by service new: {len(deployment.runs('new'))}")
    # What else an operator sees; it does not count for the result.
    gateway = deployment.gateways[0]
    gateway.kill()
    gateway.start()
    is_ready = False
    for _ in range(20):
        await asyncio.sleep(0.5)
        is_ready = is_ready or await gateway.is_ready()
    record.write(f"{gateway.name} is ready within 10 s of a restart: {is_ready}")
    return bool(late)


main(case, Path(__file__).resolve().parent)
