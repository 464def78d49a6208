"""Accepted requests are never answered after another writer has named an odd address.

The address cannot be read as IP:port. The attempt to connect to it raises an exception
that nothing handles, so the request that was to be sent there is forgotten.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import ask, configuration, main, route  # noqa: E402

SERVICE = "desk"
MACHINES = 3
ENTRIES = 8
# Bytes of an address that were replaced while they were decoded.
ADDRESS = "\ufffd\ufffd.\ufffd.\ufffd:8104"
TIMEOUT_MS = 600
CLIENT_DEADLINE_MS = 2000
RULE_SLACK_S = 0.5
CLIENTS = 12
ORDERS = 40


async def case(deployment, record, trouble):
    """Send orders while such entries are in the store."""
    store = deployment.store
    await deployment.add_replicas([SERVICE])
    order = route("order", Service=SERVICE, Kind="unsafe", TimeoutMs=TIMEOUT_MS)
    store.put("op/config", configuration(3, [order], [SERVICE]))
    await deployment.start_gateways(MACHINES)
    await asyncio.sleep(5.0)
    if trouble:
        sample = deployment.replicas[0].entry(Address=ADDRESS)
        for number in range(ENTRIES):
            store.put(f"servers/w-{number}", sample)
        record.write(f"another writer has written {ENTRIES} entries like {sample}")
    await asyncio.sleep(3.0)
    answers = []

    async def client(number):
        gateway = deployment.gateways[number % MACHINES]
        for turn in range(ORDERS):
            request_id = f"o-{number}-{turn}"
            answer = await ask(
                gateway.host,
                gateway.front,
                f"/order/{request_id}",
                request_id,
                method="POST",
                body=b"two boots",
                deadline_ms=CLIENT_DEADLINE_MS,
                timeout_s=4.0,
            )
            answers.append(answer)
            record.note(
                f"{request_id}: {answer.status} {answer.end} "
                f"after {1000 * answer.seconds:.0f} ms"
            )

    await asyncio.gather(*[client(number) for number in range(CLIENTS)])
    timeout_s = TIMEOUT_MS / 1000
    unanswered = [each for each in answers if each.seconds > timeout_s]
    late = [each for each in unanswered if each.seconds > timeout_s + RULE_SLACK_S]
    never = [each for each in late if each.status is None]
    record.write(
        f"of {len(answers)} orders, {len(unanswered)} had no answer at TimeoutMs, "
        f"{len(late)} had none 0.5 s later, {len(never)} had none 4 s after sending"
    )
    failed = [e for g in deployment.gateways for e in g.events("message")]
    record.note(f"exceptions in the logs: {len(failed)}")
    return bool(unanswered) and len(late) > 0.5 * len(unanswered)


main(case, Path(__file__).resolve().parent)
