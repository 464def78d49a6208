"""Value of the header in which a replica asks for a pause."""

import re

from cicadalever.outcomes import Failure, FailureCode

# Longer pauses are cut to this. A replica in need of a longer one says so again.
MAX_PAUSE_S = 3600.0
# Seconds, whole or with a fraction. RFC 9110, section 10.2.3, allows whole ones only.
_SECONDS = re.compile(rb"[0-9]{1,400}(?:\.[0-9]{0,400})?")


def parse_pause(value: bytes) -> float | Failure:
    """Return the seconds for which a replica wants no requests, at most an hour.

    ``value`` is that of Retry-After; the values of a repeated field are joined by
    commas, and the longest one counts. The result is a failure if none of them is a
    number of seconds, as with the date that the RFC also allows: the clocks of host and
    replica may differ.

    >>> parse_pause(b"1.5"), parse_pause(b"2, 0.5"), parse_pause(b"9" * 400)
    (1.5, 2.0, 3600.0)
    >>> parse_pause(b"-1").reason
    "pause must be a number of seconds, got b'-1'"
    """
    items = [item.strip() for item in value.split(b",")]
    pauses_s = [float(item) for item in items if _SECONDS.fullmatch(item)]
    if not pauses_s:
        reason = f"pause must be a number of seconds, got {value[:40]!r}"
        return Failure(FailureCode.INVALID, reason)
    return min(MAX_PAUSE_S, max(pauses_s))
