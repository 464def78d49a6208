"""Sends one lookup as a caller: ``python examples/ask_lookup.py IP:PORT SKU``."""

import sys
import uuid

import urllib3

DEADLINE_MS = 500
TIMEOUT_S = 2.0


def main(entry: str, sku: str) -> int:
    """Print the rows, the missing shards and the outcome; return 0 if complete."""
    request = {
        "id": uuid.uuid4().hex,
        "route": "lookup",
        "deadline_ms": DEADLINE_MS,
        "parameters": {"key": sku},
    }
    url = f"http://{entry}/v1/queries"
    try:
        reply = urllib3.request(
            "POST", url, json=request, timeout=TIMEOUT_S, retries=False
        )
        answer = reply.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        print(f"{entry}: {error}", file=sys.stderr)
        return 1
    if "outcome" not in answer:
        print(f"status {reply.status}: {answer}", file=sys.stderr)
        return 1
    for shard, rows in answer.get("rows", {}).items():
        for row in rows:
            print(shard, row)
    for missing in answer.get("coverage", {}).get("missing", []):
        print(f"missing {missing['shard']}: {missing['reason']}", file=sys.stderr)
    print(answer["outcome"], answer.get("reason", ""), file=sys.stderr)
    return 0 if answer["outcome"] == "complete" else 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
