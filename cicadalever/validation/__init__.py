"""Checks of values from outside: schemas as types, failures instead of exceptions."""

from ._errors import format_value, join_faults
from ._reader import Reader
from ._types import (
    MAX_INTEGER,
    STRICT,
    Address,
    DeadlineMs,
    IpNumber,
    Name,
    address_key,
    check_address,
)

__all__ = [
    "MAX_INTEGER",
    "STRICT",
    "Address",
    "DeadlineMs",
    "IpNumber",
    "Name",
    "Reader",
    "address_key",
    "check_address",
    "format_value",
    "join_faults",
]
