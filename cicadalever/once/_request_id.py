"""The id of a non-idempotent request."""

import re
from typing import NamedTuple

from cicadalever.outcomes import Failure, FailureCode

MAX_LENGTH = 256

# Host ids may contain dots, so the two numbers are matched from the right. Leading
# zeros are refused, since an id must have only one textual form.
_NUMBER = r"(0|[1-9][0-9]{0,18})"
_PATTERN = re.compile(rf"([!-~]+)\.{_NUMBER}\.{_NUMBER}")


class RequestId(NamedTuple):
    """An id that names the process that issued it.

    ``incarnation`` tells the processes of a host apart: it is the Unix time of the
    start in milliseconds. ``sequence`` counts the ids of that process.

    >>> RequestId.parse("dc1.host-2.1700000000000.15")
    RequestId(host='dc1.host-2', incarnation=1700000000000, sequence=15)
    >>> str(RequestId("host-2", 7, 1))
    'host-2.7.1'
    """

    host: str
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        """Return ``host.incarnation.sequence``."""
        return f"{self.host}.{self.incarnation}.{self.sequence}"

    @classmethod
    def parse(cls, text: str) -> "RequestId | Failure":
        """Return the id with the textual form ``text``, or an ``INVALID`` failure."""
        match = _PATTERN.fullmatch(text) if len(text) <= MAX_LENGTH else None
        if match is None:
            reason = "an id must have the form host.incarnation.sequence"
            return Failure(FailureCode.INVALID, reason)
        host, incarnation, sequence = match.groups()
        return cls(host, int(incarnation), int(sequence))
