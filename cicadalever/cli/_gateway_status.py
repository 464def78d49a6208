"""Command ``gateway-status``."""

from collections.abc import Iterable
from typing import Annotated, Any

import typer
import urllib3
from prometheus_client.parser import text_string_to_metric_families

from cicadalever.http_client import CompleteHeadPoolManager

from ._client import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, is_address
from ._exit import ExitCode
from ._output import fail, print_message, print_rows
from ._tables import Column

METRICS_PATH = "/metrics"
PREFIX = "cicadalever_gateway_"
# Fields that are single values, by the name of their metric.
_GAUGES = {
    "configuration_version": "version",
    "platform_age_seconds": "age_s",
    "platform_calls": "platform_calls",
    "replicas": "replicas",
    "loop_lag_seconds": "lag_s",
}
_COLUMNS = (
    Column("host", "address"),
    Column("version", "version"),
    Column("age s", "age_s"),
    Column("replicas", "replicas"),
    Column("requests", "requests"),
    Column("bad", "bad_requests"),
    Column("extra reads", "extra_reads"),
    Column("no budget", "no_allowance"),
    Column("connections", "connections_opened"),
    Column("lag s", "lag_s"),
)
# Ends of requests that callers got neither whole nor in time.
_BAD_ENDS = frozenset(
    (
        "enough_late",
        "too_few",
        "timed_out",
        "outcome_unknown",
        "no_budget",
        "no_memory",
        "not_run",
    )
)


def gateway_status(
    addresses: Annotated[
        list[str], typer.Argument(help="Metrics addresses of gateways, as ip:port.")
    ],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of JSON objects.")
    ] = False,
) -> None:
    """Show what gateways report: version in force, age of their data, requests.

    The address of the metrics of a gateway is that of its callers with port 9464.
    """
    for address in addresses:
        if not is_address(address):
            fail(f"{address!r} is not ip:port", ExitCode.INVALID)
    rows = [_read(address) for address in addresses]
    for row in rows:
        if "error" in row:
            print_message(f"{row['address']}: {row['error']}")
    print_rows(_COLUMNS, rows, as_json)
    if any("error" in row for row in rows):
        raise typer.Exit(ExitCode.UNREACHABLE)


def parse_metrics(text: str) -> dict[str, Any]:
    """Return the fields of a row from metrics in the text format of Prometheus.

    Raises ``ValueError`` if the text has another format.
    """
    row: dict[str, Any] = {}
    requests = bad = extra = 0.0
    for sample in _samples(text):
        name = sample.name.removeprefix(PREFIX)
        if name in _GAUGES:
            row[_GAUGES[name]] = sample.value
        elif name == "requests_total":
            requests += sample.value
            bad += sample.value * (sample.labels.get("end") in _BAD_ENDS)
        elif name == "extra_reads_total":
            if sample.labels.get("cause") == "no_allowance":
                row["no_allowance"] = int(sample.value)
            else:
                extra += sample.value
        elif name == "connections_opened_total":
            row["connections_opened"] = int(sample.value)
    row |= {
        "requests": int(requests),
        "bad_requests": int(bad),
        "extra_reads": int(extra),
    }
    for field in ("version", "replicas", "platform_calls"):
        if field in row:
            row[field] = int(row[field])
    return row


def _samples(text: str) -> Iterable:
    for family in text_string_to_metric_families(text):
        yield from family.samples


def _read(address: str) -> dict[str, Any]:
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
    with CompleteHeadPoolManager(timeout=timeout, retries=False) as pool:
        try:
            response = pool.request("GET", f"http://{address}{METRICS_PATH}")
        except urllib3.exceptions.HTTPError as error:
            return {"address": address, "error": str(error)}
    if response.status != 200:
        return {"address": address, "error": f"status {response.status}"}
    try:
        row = parse_metrics(response.data.decode(errors="replace"))
    except ValueError as error:
        return {"address": address, "error": f"unreadable metrics: {error}"}
    return {"address": address} | row
