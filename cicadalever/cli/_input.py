"""Checks addresses, parameters and files; invalid input ends the command."""

import json
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from ._client import is_address
from ._exit import ExitCode
from ._output import fail


def _split(values: Iterable[str]) -> list[str]:
    """Split texts at commas and spaces, as in environment variables."""
    return [part for value in values for part in value.replace(",", " ").split()]


def read_addresses(
    given: Sequence[str] | None,
    option: str = "--admin",
    variable: str = "CICADALEVER_ADMIN",
) -> list[str]:
    """Return the distinct addresses of an option or its environment variable.

    ``option`` and ``variable`` are their names, for the error message.
    """
    addresses = list(dict.fromkeys(_split(given or ())))
    if not addresses:
        fail(f"no address: give {option} IP:PORT or set {variable}", ExitCode.INVALID)
    for address in addresses:
        if not is_address(address):
            fail(f"{address!r} is not of the form ip:port", ExitCode.INVALID)
    return addresses


def read_address(
    given: str | None, option: str, variable: str, *, require_single: bool = False
) -> str:
    """Return the first address of an option or its environment variable.

    With ``require_single``, more than one address is an error.
    """
    addresses = read_addresses([given] if given else None, option, variable)
    if require_single and len(addresses) > 1:
        text = f"{len(addresses)} addresses given; name one with {option} IP:PORT"
        fail(text, ExitCode.INVALID)
    return addresses[0]


def parse_parameters(given: Sequence[str] | None) -> dict[str, Any]:
    """Return query parameters from the forms K=V and, with a JSON value, K:=V."""
    parameters: dict[str, Any] = {}
    for text in given or ():
        name, equals, value = text.partition("=")
        is_json = name.endswith(":")
        name = name.removesuffix(":")
        if not equals or not name:
            fail(f"--param {text!r} is not of the form K=V or K:=V", ExitCode.INVALID)
        if name in parameters:
            fail(f"--param {name} is given twice", ExitCode.INVALID)
        parameters[name] = _parse_json(value, f"--param {name}") if is_json else value
    return parameters


def _parse_json(text: str | bytes, source: str) -> Any:
    try:
        value = json.loads(text)
        # Refuses NaN and numbers that overflow a float, which JSON cannot represent.
        json.dumps(value, allow_nan=False)
    except (ValueError, RecursionError) as error:
        fail(f"{source}: not JSON: {error}", ExitCode.INVALID)
    return value


def read_object(file: Path) -> dict[str, Any]:
    """Return the JSON object in a file."""
    try:
        content = file.read_bytes()
    except OSError as error:
        fail(f"{file}: {error.strerror}", ExitCode.INVALID)
    value = _parse_json(content, str(file))
    if not isinstance(value, dict):
        fail(f"{file}: must contain a JSON object", ExitCode.INVALID)
    return value
