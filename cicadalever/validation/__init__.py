"""Validation of external values: schemas as types, failures instead of exceptions."""

from ._errors import format_value, join_errors
from ._types import (
    MAX_INTEGER,
    STRICT,
    Address,
    DeadlineMs,
    IpAddress,
    Name,
    address_key,
    check_address,
)
from ._validator import Validator

__all__ = [
    "MAX_INTEGER",
    "STRICT",
    "Address",
    "DeadlineMs",
    "IpAddress",
    "Name",
    "Validator",
    "address_key",
    "check_address",
    "format_value",
    "join_errors",
]
