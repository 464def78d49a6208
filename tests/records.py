"""A record of the load tool, of which tests make variants."""

from standins.load import Record

RECORD = Record(
    id="c-lookup-1.1",
    kind="lookup",
    route="lookup",
    rank="interactive",
    idempotent=True,
    sent_unix=100.0,
    latency_s=0.1,
    status=200,
    outcome="complete",
    reason="",
    snapshot=41,
    version=1,
    total=4,
    covered=("x/s0", "x/s1", "x/s2", "x/s3"),
    missing=(),
    rows_own=True,
    rows_one_snapshot=True,
    rows_match_coverage=True,
    tries=1,
    entry="e1",
    host="h1",
)
