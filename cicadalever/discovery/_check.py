"""Checks of published entries, of which some come from other writers."""

import re

from cicadalever.addresses import MAX_PORT, is_host
from cicadalever.outcomes import Failure, FailureCode

from ._entry import ReplicaEntry

# Requests name the replica in a header, so that its id must be printable and without
# spaces (RFC 9110, section 5.5).
ID_PATTERN = re.compile(r"[!-~]{1,200}")
MAX_TEXT_LENGTH = 200
# A replica takes one request at a time on a connection, and a host has one port for
# each connection.
MAX_SLOTS = 65535
# Whole numbers that all readers of JSON hold exactly (RFC 8259, section 6).
MAX_WHOLE_NUMBER = 2**53 - 1


def check_entry(entry: ReplicaEntry) -> ReplicaEntry | Failure:
    """Return the entry if it names a replica, and the reason if it does not.

    This is the only place where entries are checked: what it returns can be connected
    to, compared, weighed, logged and sent in a header without further precautions.

    >>> sound = ReplicaEntry("i-1", "s", ("10.0.0.1", 80), "a", 2, "ready", 0.0, 1, 1)
    >>> check_entry(sound) is sound
    True
    >>> check_entry(sound._replace(slots=2**200)).reason
    'slots must be in [1, 65535], got a number of 201 bits'
    """
    host, port = entry.address
    if ID_PATTERN.fullmatch(entry.id) is None:
        return _invalid("id", "printable ASCII without spaces", entry.id)
    if not is_host(host):
        return _invalid("address", "the IPv4 address of a host", host)
    for name, value, least, most in (
        ("port", port, 1, MAX_PORT),
        ("slots", entry.slots, 1, MAX_SLOTS),
        ("sequence", entry.sequence, 0, MAX_WHOLE_NUMBER),
        ("started_at_ms", entry.started_at_ms, 1, MAX_WHOLE_NUMBER),
        ("warmup_s", entry.warmup_s, 0.0, MAX_WHOLE_NUMBER / 1000.0),
    ):
        if not least <= value <= most:
            return _invalid(name, f"in [{least}, {most}]", value)
    for name, text in (("service", entry.service), ("data_centre", entry.data_centre)):
        if not (0 < len(text) <= MAX_TEXT_LENGTH and text.isprintable()):
            expected = f"printable text of 1 to {MAX_TEXT_LENGTH} characters"
            return _invalid(name, expected, text)
    return entry


def _invalid(parameter: str, expected: str, value: object) -> Failure:
    if isinstance(value, int) and value.bit_length() > 64:
        # Python refuses to write numbers of thousands of digits.
        shown = f"a number of {value.bit_length()} bits"
    else:
        shown = ascii(value)[:40]
    reason = f"{parameter} must be {expected}, got {shown}"
    return Failure(FailureCode.INVALID, reason)
