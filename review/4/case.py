"""Parts of one request run on more replicas than its route's MaxAttempts.

A large machine gathers queries for small ones. It is killed after it has sent parts
to a second replica, and the small machines send all parts once more.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import ask, configuration, main, route  # noqa: E402

SHARDS = [f"s{number:02}" for number in range(48)]
COPIES = 3
MAX_ATTEMPTS = 2
SMALL_MACHINES = 6
WORK_S = 0.03
# The replicas of six of 48 shards, 12.5 in 100, work 8.5 times as long.
SLOW_SHARDS = SHARDS[:6]
SLOW_FACTOR = 8.5
KILL_AFTER_S = 0.16
# Requests that may exceed the limit according to the rule.
TOLERATED = 3


async def case(deployment, record, trouble):
    """Kill the machine that gathers while queries are in progress."""
    store = deployment.store
    zones = ["zone-a"]
    await deployment.add_replicas(SHARDS, COPIES, zones)
    for replica in deployment.replicas:
        replica.work_s = WORK_S
    search = route(
        "search",
        Gather=SHARDS,
        TopK=5,
        MinShardShare=0.89,
        MaxAttempts=MAX_ATTEMPTS,
        TimeoutMs=1000,
        TargetLatencyMs=400,
    )
    store.put("op/config", configuration(3, [search], SHARDS))
    shares = [0.9, *[0.2] * SMALL_MACHINES]
    await deployment.start_gateways(SMALL_MACHINES + 1, zones, shares)
    large, *small = deployment.gateways
    # The machines know their number after two periods of heartbeats to the seeds.
    await asyncio.sleep(26.0)

    async def ask_all(phase):
        answers = await asyncio.gather(
            *[
                ask(each.host, each.front, "/search/x", f"{phase}-{each.name}")
                for each in small
            ]
        )
        for each, answer in zip(small, answers, strict=True):
            missing = answer.headers.get("x-missing-parts")
            record.write(
                f"{phase}-{each.name}: {answer.status} {answer.end}, "
                f"missing {missing}, {1000 * answer.seconds:.0f} ms"
            )

    await ask_all("before")
    for replica in deployment.replicas:
        if replica.service in SLOW_SHARDS:
            replica.work_s = WORK_S * SLOW_FACTOR
    record.write(f"replicas of {len(SLOW_SHARDS)} of {len(SHARDS)} shards are slow")
    await asyncio.sleep(1.0)
    asking = asyncio.create_task(ask_all("during"))
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        large.process.kill()
        record.write(f"{large.name}, which gathers queries, was killed")
    await asking
    await asyncio.sleep(1.0)
    exceeding = set()
    runs = {}
    for replica in deployment.replicas:
        for _, request_id, _, _ in replica.runs:
            runs.setdefault((request_id, replica.service), []).append(replica.id)
    for (request_id, service), replicas in sorted(runs.items()):
        if len(set(replicas)) > MAX_ATTEMPTS:
            exceeding.add(request_id)
            record.note(f"{request_id} ran for {service} on {sorted(set(replicas))}")
    total = len({request_id for request_id, _ in runs})
    record.write(
        f"requests with a part that ran on more than {MAX_ATTEMPTS} replicas: "
        f"{len(exceeding)} of {total}"
    )
    return len(exceeding) > TOLERATED


main(case, Path(__file__).resolve().parent)
