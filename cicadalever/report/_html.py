"""The report as one HTML file without references to others."""

from collections import Counter
from datetime import UTC, datetime
from html import escape
from io import StringIO

from cicadalever.outcomes import Failure, FailureCode

from ._aggregate import LogSummary, Outcome

# Rows of the list of events; more are summed up by their text.
MAX_EVENT_ROWS = 200
PLOT_SIZE_INCHES = (10.0, 3.0)
_STYLE = (
    "body{font-family:sans-serif;max-width:70em;margin:2em auto;padding:0 1em}"
    "table{border-collapse:collapse}td,th{padding:.2em .6em;text-align:left;"
    "border-bottom:1px solid #ccc;vertical-align:top}svg{max-width:100%;height:auto}"
)


def render_report(summary: LogSummary) -> str | Failure:
    """Return the HTML text, or a failure if matplotlib is not installed."""
    try:
        plots = _plot(summary)
    except ImportError as error:
        reason = f"{error.name} is missing: install cicadalever[report]"
        return Failure(FailureCode.UNAVAILABLE, reason)
    requests = sum(sum(each.outcomes.values()) for each in summary.seconds.values())
    parts = [
        "<!doctype html><meta charset='utf-8'><title>cicadalever report</title>",
        f"<style>{_STYLE}</style><h1>Gateway report</h1>",
        f"<p>{requests} requests in {summary.lines} lines",
        f", {_clock(min(summary.seconds))} to {_clock(max(summary.seconds))} UTC"
        if summary.seconds
        else "",
        "</p>",
        _damaged(summary),
        "<h2>Requests by outcome</h2>",
        plots,
        "<h2>Latency by rank</h2>",
        _latency_table(summary),
        "<h2>Worst seconds</h2>",
        _worst_table(summary),
        "<h2>Hosts and configuration</h2>",
        _event_table(summary),
    ]
    return "\n".join(parts)


def _clock(time: float) -> str:
    return datetime.fromtimestamp(time, UTC).strftime("%Y-%m-%d %H:%M:%S")


def _damaged(summary: LogSummary) -> str:
    if not summary.damaged:
        return ""
    names = ", ".join(f"{escape(k)}: {n}" for k, n in sorted(summary.damaged.items()))
    return f"<p>Lines that could not be read: {names}</p>"


def _table(header: list[str], rows: list[list[str]]) -> str:
    head = "".join(f"<th>{escape(cell)}</th>" for cell in header)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def _latency_table(summary: LogSummary) -> str:
    rows = []
    for rank, sketch in sorted(summary.latencies.items()):
        values = [sketch.get_quantile_value(q) for q in (0.5, 0.9, 0.99)]
        rows.append(
            [str(rank), str(int(sketch.count)), *(f"{value:.1f}" for value in values)]
        )
    return _table(["rank", "requests", "p50 ms", "p90 ms", "p99 ms"], rows)


def _worst_table(summary: LogSummary) -> str:
    rows = []
    for time, second in summary.worst_seconds():
        total = sum(second.outcomes.values())
        reasons = ", ".join(f"{k} {n}" for k, n in second.reasons.most_common(4))
        services = ", ".join(k for k, _ in second.missing_services.most_common(6))
        rows.append(
            [
                _clock(time),
                f"{second.bad} of {total}",
                reasons,
                services,
                " ".join(second.ids),
            ]
        )
    header = ["time", "bad", "ended as", "missing services", "ids for explain"]
    return _table(header, rows)


def _event_table(summary: LogSummary) -> str:
    events = sorted(summary.state_events)
    if len(events) <= MAX_EVENT_ROWS:
        rows = [[_clock(time), host, text] for time, host, text in events]
        return _table(["time", "host", "event"], rows)
    counts = Counter((int(time), text) for time, _, text in events)
    rows = [
        [_clock(time), f"{count} hosts", text]
        for (time, text), count in sorted(counts.items())[:MAX_EVENT_ROWS]
    ]
    return _table(["time", "hosts", "event"], rows)


def _plot(summary: LogSummary) -> str:
    from matplotlib.backends.backend_svg import FigureCanvasSVG
    from matplotlib.figure import Figure

    times = sorted(summary.seconds)
    start = times[0] if times else 0
    seconds = [time - start for time in times]
    figure = Figure(figsize=PLOT_SIZE_INCHES)
    FigureCanvasSVG(figure)
    axes = figure.add_subplot()
    series = [
        [summary.seconds[time].outcomes[outcome] for time in times]
        for outcome in Outcome
    ]
    if times:
        axes.stackplot(seconds, series, labels=list(Outcome))
        axes.legend(loc="upper right", fontsize="small")
    axes.set_xlabel("seconds since the first request")
    axes.set_ylabel("requests a second")
    more = Figure(figsize=PLOT_SIZE_INCHES)
    FigureCanvasSVG(more)
    axes = more.add_subplot()
    extra = [summary.seconds[time].extra_reads for time in times]
    missing = [
        100.0 * summary.seconds[time].missing_shards / summary.seconds[time].shards
        if summary.seconds[time].shards
        else 0.0
        for time in times
    ]
    axes.plot(seconds, extra, label="extra reads a second")
    axes.plot(seconds, missing, label="missing shards (%)")
    axes.legend(loc="upper right", fontsize="small")
    axes.set_xlabel("seconds since the first request")
    return _svg(figure) + _svg(more)


def _svg(figure) -> str:
    text = StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight", metadata={"Date": None})
    image = text.getvalue()
    return image[image.index("<svg") :]
