"""Client for the configuration and the host list that the platform publishes."""

import time
from contextlib import closing
from typing import Annotated, Any, Literal, Protocol, TypeVar
from urllib.parse import urlencode

import urllib3
from pydantic import ConfigDict, Field, with_config
from typing_extensions import TypedDict

from cicadalever.http_client import CompleteHeadPoolManager
from cicadalever.outcomes import Failure, FailureCode
from cicadalever.topology import Host, HostList, HostState, ListedHost
from cicadalever.validation import MAX_INTEGER, Address, Name, Validator

from ._document import MAX_DOCUMENT_BYTES, check_document
from ._history import FullDocument, LogEntry

MAX_ENVELOPE_BYTES = 1_000
"""Largest size of a document reply in addition to the document."""

MAX_LOG_BYTES = 16_000_000
MAX_HOSTS_BYTES = 1_000_000
CHUNK_BYTES = 65_536
MAX_KEPT_CONNECTIONS = 4
"""Kept open: one for long polls of the log, one for the host list, two for reads."""

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_SERVER_ERROR = 500

# Replies of a later version of the platform may have more fields.
IGNORE_UNKNOWN_FIELDS = ConfigDict(extra="ignore", strict=True)

T = TypeVar("T")
Count = Annotated[int, Field(ge=0, le=MAX_INTEGER)]


@with_config(IGNORE_UNKNOWN_FIELDS)
class DocumentReply(TypedDict):
    """Body of ``/v1/document``."""

    sequence: Count
    version: Count
    document: Any


@with_config(IGNORE_UNKNOWN_FIELDS)
class EntryReply(TypedDict):
    """One entry of the log; the patch is checked when it is applied."""

    sequence: Annotated[int, Field(ge=1, le=MAX_INTEGER)]
    patch: Any


@with_config(IGNORE_UNKNOWN_FIELDS)
class LogReply(TypedDict):
    """Body of ``/v1/log``."""

    entries: list[EntryReply]


@with_config(IGNORE_UNKNOWN_FIELDS)
class HostReply(TypedDict):
    """One host of the host list."""

    id: Name
    address: Address
    data_centre: Name
    region: Name
    roles: list[Literal["entry", "owner"]]
    state: Literal["live", "leaving"]


@with_config(IGNORE_UNKNOWN_FIELDS)
class HostsReply(TypedDict):
    """Body of ``/v1/hosts``."""

    generation: Count
    hosts: list[HostReply]


_document_validator: Validator[DocumentReply] = Validator(
    DocumentReply, "document reply"
)
_log_validator: Validator[LogReply] = Validator(LogReply, "log reply")
_hosts_validator: Validator[HostsReply] = Validator(HostsReply, "hosts reply")


class PlatformReader(Protocol):
    """Source of the configuration and the host list.

    ``wait_s`` is the time for which the platform may hold a request until there is
    something new (long poll).
    """

    def fetch_document(self) -> FullDocument | Failure:
        """Return the published document."""

    def fetch_log(self, after: int, wait_s: float) -> list[LogEntry] | Failure:
        """Return the log entries after a sequence, ``EXPIRED`` if compacted."""

    def fetch_hosts(self, after_generation: int, wait_s: float) -> HostList | Failure:
        """Return the host list; wait until it is newer or ``wait_s`` has passed."""


def read_full_document(body: bytes) -> FullDocument | Failure:
    """Return the checked full document in a body of ``/v1/document``."""
    reply = _document_validator.read(body, MAX_DOCUMENT_BYTES + MAX_ENVELOPE_BYTES)
    if isinstance(reply, Failure):
        return reply
    document = check_document(reply["document"])
    if isinstance(document, Failure):
        return document
    return FullDocument(reply["sequence"], reply["version"], document)


class HttpPlatformReader:
    """Reads the platform over HTTP with connections that are kept open.

    ``timeout_s`` bounds a call, in addition to the time that a long poll waits.
    Exceptions of the HTTP library are returned as failures.
    """

    def __init__(
        self, base_url: str, *, source_ip: str | None = None, timeout_s: float
    ):
        self.base_url = base_url
        self.source_ip = source_ip
        self.timeout_s = timeout_s
        self._pool = CompleteHeadPoolManager(
            maxsize=MAX_KEPT_CONNECTIONS,
            retries=False,
            source_address=(source_ip, 0) if source_ip else None,
        )

    def fetch_document(self) -> FullDocument | Failure:
        """Return the published document."""
        body = self._get("/v1/document", MAX_DOCUMENT_BYTES + MAX_ENVELOPE_BYTES)
        return body if isinstance(body, Failure) else read_full_document(body)

    def fetch_log(self, after: int, wait_s: float) -> list[LogEntry] | Failure:
        """Return the entries after a sequence.

        The code of a failure is ``EXPIRED`` if the platform has compacted the entries,
        and ``INVALID`` or ``TOO_LARGE`` if the reply cannot be read. The full document
        includes such entries.
        """
        body = self._get("/v1/log", MAX_LOG_BYTES, after, wait_s)
        if isinstance(body, Failure):
            return body
        reply = _log_validator.read(body, MAX_LOG_BYTES)
        if isinstance(reply, Failure):
            return reply
        return [
            LogEntry(entry["sequence"], entry["patch"]) for entry in reply["entries"]
        ]

    def fetch_hosts(self, after_generation: int, wait_s: float) -> HostList | Failure:
        """Return the host list; wait until it is newer or ``wait_s`` has passed."""
        body = self._get("/v1/hosts", MAX_HOSTS_BYTES, after_generation, wait_s)
        if isinstance(body, Failure):
            return body
        reply = _hosts_validator.read(body, MAX_HOSTS_BYTES)
        if isinstance(reply, Failure):
            return reply
        hosts = tuple(_read_host(entry) for entry in reply["hosts"])
        if len({listed.host.id for listed in hosts}) < len(hosts):
            return Failure(FailureCode.INVALID, "hosts reply: an id is listed twice")
        return HostList(reply["generation"], hosts)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def _get(
        self, path: str, max_bytes: int, after: int | None = None, wait_s: float = 0.0
    ) -> bytes | Failure:
        query = (
            "" if after is None else "?" + urlencode({"after": after, "wait": wait_s})
        )
        try:
            return self._exchange(
                path, path + query, max_bytes, self.timeout_s + wait_s
            )
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return _describe_error(path, error)

    def _exchange(
        self, path: str, target: str, max_bytes: int, timeout_s: float
    ) -> bytes | Failure:
        deadline = time.monotonic() + timeout_s
        response = self._pool.request(
            "GET",
            self.base_url + target,
            timeout=urllib3.Timeout(connect=self.timeout_s, read=timeout_s),
            redirect=False,
            preload_content=False,
        )
        # A reply that was read to its end has returned its connection to the pool.
        # Closing any other reply closes its connection, which has unread bytes.
        with closing(response):
            body = _read_body(path, response, max_bytes, deadline)
        if isinstance(body, bytes) and response.status != HTTP_OK:
            return _describe_status(path, response.status)
        return body


def _read_body(
    path: str, response: urllib3.BaseHTTPResponse, max_bytes: int, deadline: float
) -> bytes | Failure:
    body = bytearray()
    while chunk := response.read1(CHUNK_BYTES, decode_content=False):
        body += chunk
        if len(body) > max_bytes:
            reason = f"{path}: the reply is longer than {max_bytes} bytes"
            return Failure(FailureCode.TOO_LARGE, reason)
        if time.monotonic() > deadline:
            return Failure(FailureCode.TIMEOUT, f"{path}: the reply is too slow")
    return bytes(body)


def _describe_status(path: str, status: int) -> Failure:
    reason = f"{path}: status {status}"
    if status == HTTP_GONE:
        return Failure(FailureCode.EXPIRED, reason)
    if status == HTTP_NOT_FOUND:
        return Failure(FailureCode.NOT_FOUND, reason)
    if status >= HTTP_SERVER_ERROR:
        return Failure(FailureCode.UNAVAILABLE, reason)
    return Failure(FailureCode.INVALID, reason)


def _describe_error(path: str, error: Exception) -> Failure:
    reason = f"{path}: {error}"
    if isinstance(
        error,
        urllib3.exceptions.ConnectTimeoutError | urllib3.exceptions.NewConnectionError,
    ):
        return Failure(FailureCode.UNREACHABLE, reason)
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return Failure(FailureCode.TIMEOUT, reason)
    if isinstance(error, ValueError):
        return Failure(FailureCode.INVALID, reason)
    return Failure(FailureCode.LOST, reason)


def _read_host(entry: HostReply) -> ListedHost:
    host = Host(
        entry["id"],
        entry["address"],
        entry["data_centre"],
        entry["region"],
        tuple(entry["roles"]),
    )
    return ListedHost(host, HostState(entry["state"]))
