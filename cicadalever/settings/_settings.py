"""Schema and reader of the settings file of a daemon."""

from os import PathLike
from typing import Annotated, Any, Literal, NotRequired

from pydantic import AfterValidator, Field, with_config
from typing_extensions import TypedDict

from cicadalever.outcomes import Failure, FailureCode
from cicadalever.validation import (
    MAX_INTEGER,
    STRICT,
    Address,
    IpAddress,
    Name,
    Validator,
    address_key,
    check_address,
)

MAX_FILE_BYTES = 1_000_000
URL_PREFIX = "http://"
LISTEN_ADDRESSES = ("caller_address", "admin_address", "peer_address")


def check_url(url: str) -> str:
    """Return ``url`` if it is ``http://ip:port``; raise ValueError otherwise."""
    if not url.startswith(URL_PREFIX):
        raise ValueError("does not start with http://")
    check_address(url.removeprefix(URL_PREFIX))
    return url


def check_unique(items: list[str]) -> list[str]:
    """Return ``items`` if no two are equal; raise ValueError otherwise."""
    if len(set(items)) < len(items):
        raise ValueError("contains an item twice")
    return items


Role = Literal["entry", "owner"]
BYTES_UNIT = {"unit": "bytes"}
SECONDS_UNIT = {"unit": "s"}


@with_config(STRICT)
class Settings(TypedDict):
    """Settings of one daemon.

    ``check_settings`` fills in the defaults, so checked settings have all fields.
    Addresses are ``ip:port``.

    - ``roles``: ``entry`` to answer callers, ``owner`` to run reads on upstreams.
    - ``caller_address`` and ``admin_address``: where the daemon listens for callers and
      operators.
    - ``peer_address``: the address that peers connect to. The daemon listens there
      unless ``peer_listen_address`` is given, as is needed behind address translation.
    - ``source_ip``: local address of connections to upstreams, peers and the platform.
    - ``seeds``: peer addresses of hosts to contact before the host list is known.
    - ``policy``: ``baseline`` is for comparison in measurements.
    - ``linger_s``: how long a leaving daemon accepts requests, until the load balancer
      has noticed.
    - ``max_body_bytes`` and ``max_answer_bytes``: limits of the body of a request and
      of the rows in its answer.
    - ``audit_capacity``: how many audit events are kept.
    - ``random_seed``: makes random choices repeatable; None seeds from the system.
    """

    host_id: Name
    data_centre: Name
    region: Name
    roles: NotRequired[
        Annotated[
            list[Role],
            AfterValidator(check_unique),
            Field(min_length=1, default_factory=lambda: ["entry", "owner"]),
        ]
    ]
    caller_address: Address
    admin_address: Address
    peer_address: Address
    peer_listen_address: NotRequired[Annotated[Address | None, Field(default=None)]]
    source_ip: NotRequired[Annotated[IpAddress | None, Field(default=None)]]
    platform_url: Annotated[str, AfterValidator(check_url)]
    seeds: NotRequired[
        Annotated[list[Address], Field(max_length=64, default_factory=list)]
    ]
    policy: NotRequired[
        Annotated[Literal["current", "baseline"], Field(default="current")]
    ]
    linger_s: NotRequired[
        Annotated[
            float, Field(ge=0, le=600, default=5.0, json_schema_extra=SECONDS_UNIT)
        ]
    ]
    max_body_bytes: NotRequired[
        Annotated[
            int,
            Field(ge=1024, le=2**24, default=2**20, json_schema_extra=BYTES_UNIT),
        ]
    ]
    max_answer_bytes: NotRequired[
        Annotated[
            int,
            Field(ge=1024, le=2**30, default=2**26, json_schema_extra=BYTES_UNIT),
        ]
    ]
    audit_capacity: NotRequired[
        Annotated[int, Field(ge=1, le=1_000_000, default=10_000)]
    ]
    log_json: NotRequired[Annotated[bool, Field(default=False)]]
    log_level: NotRequired[
        Annotated[
            Literal["TRACE", "DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL"],
            Field(default="INFO"),
        ]
    ]
    random_seed: NotRequired[
        Annotated[
            Annotated[int, Field(ge=0, le=MAX_INTEGER)] | None, Field(default=None)
        ]
    ]


_validator: Validator[Settings] = Validator(Settings, "settings")


def check_settings(value: Any) -> Settings | Failure:
    """Return complete settings, or a failure that names every wrong parameter."""
    return _check_addresses(_validator.check(value))


def load_settings(path: str | PathLike[str]) -> Settings | Failure:
    """Return the checked settings of a JSON file, or a failure with the reason."""
    try:
        with open(path, "rb") as file:
            body = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        cause = getattr(error, "strerror", None) or error
        return Failure(FailureCode.INVALID, f"{path}: {cause}")
    settings = _check_addresses(_validator.read(body, MAX_FILE_BYTES))
    if isinstance(settings, Failure):
        return settings._replace(reason=f"{path}: {settings.reason}")
    return settings


def _check_addresses(settings: Settings | Failure) -> Settings | Failure:
    if isinstance(settings, Failure):
        return settings
    keys = {address_key(settings[name]) for name in LISTEN_ADDRESSES}
    if len(keys) < len(LISTEN_ADDRESSES):
        given = ", ".join(f"{name} {settings[name]}" for name in LISTEN_ADDRESSES)
        return Failure(FailureCode.INVALID, f"two addresses are the same: {given}")
    return settings
