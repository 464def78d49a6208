"""HTTP client for hosts; errors are returned, not raised."""

import json
import re
from http.client import BadStatusLine, RemoteDisconnected
from typing import Any, NamedTuple

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from cicadalever.http_client import CompleteHeadPoolManager

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 10.0
ADDRESS_PATTERN = re.compile(r"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9.-]+):([0-9]{1,5})")
MAX_PORT = 65535


class Reply(NamedTuple):
    """An HTTP response whose body is a JSON object."""

    address: str
    status: int
    body: dict[str, Any]

    @property
    def reason(self) -> str:
        """The reason for an error that the host gave, or the HTTP status."""
        error = self.body.get("error")
        source = error if isinstance(error, dict) else self.body
        return str(source.get("reason") or f"status {self.status}")


class NoReply(NamedTuple):
    """The reason why a call has no usable response, as a value that is falsy.

    ``sent`` is False only if the request certainly did not reach the host, because no
    connection could be opened or an earlier call failed.
    """

    address: str
    reason: str
    sent: bool

    def __bool__(self) -> bool:
        """Return False, so that callers can write ``if not reply``."""
        return False

    def __str__(self) -> str:
        """Return one line with the address and the reason."""
        return f"{self.address}: {self.reason}"


def is_address(text: str) -> bool:
    """Tell whether ``text`` has the form ``ip:port``."""
    match = ADDRESS_PATTERN.fullmatch(text)
    return match is not None and 0 < int(match.group(1)) <= MAX_PORT


class Client:
    """Sends HTTP requests to hosts by address, each of them only once.

    By default urllib3 resends some requests after a lost connection. This is disabled,
    because only the commands know whether a request that may have run can safely be
    sent again.
    """

    def __init__(self, *, read_timeout_s: float = READ_TIMEOUT_S):
        self.read_timeout_s = read_timeout_s
        self._pool = CompleteHeadPoolManager(retries=False)

    def get(self, address: str, path: str, **query: Any) -> Reply | NoReply:
        """Return the response to a GET; parameters that are None are omitted."""
        fields = {
            name: str(value) for name, value in query.items() if value is not None
        }
        return self._call("GET", address, path, fields=fields)

    def post(self, address: str, path: str, value: object) -> Reply | NoReply:
        """Return the response to a POST of ``value`` as JSON."""
        headers = {"Content-Type": "application/json"}
        body = json.dumps(value).encode()
        return self._call("POST", address, path, body=body, headers=headers)

    def _call(
        self, method: str, address: str, path: str, **options: Any
    ) -> Reply | NoReply:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=self.read_timeout_s)
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                timeout=timeout,
                redirect=False,
                **options,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return NoReply(
                address, f"cannot connect: {_innermost_message(error)}", False
            )
        except ReadTimeoutError:
            reason = f"no answer within {self.read_timeout_s:g} s"
            return NoReply(address, reason, True)
        except ProtocolError as error:
            return NoReply(address, _describe_protocol_error(error), True)
        except (HTTPError, OSError, ValueError) as error:
            return NoReply(
                address, f"connection lost: {_innermost_message(error)}", True
            )
        return _decode(address, response)


def _decode(address: str, response: urllib3.BaseHTTPResponse) -> Reply | NoReply:
    try:
        value = json.loads(response.data)
    except (ValueError, RecursionError):
        value = None
    if not isinstance(value, dict):
        reason = f"status {response.status} with a body that is not a JSON object"
        return NoReply(address, reason, True)
    return Reply(address, response.status, value)


def _describe_protocol_error(error: ProtocolError) -> str:
    cause = error.args[-1]
    # RemoteDisconnected is a BadStatusLine too, because the status line is empty, but
    # it means a lost connection.
    if isinstance(cause, BadStatusLine) and not isinstance(cause, RemoteDisconnected):
        return "the answer is not HTTP; is this a peer address?"
    return f"connection lost: {_innermost_message(error)}"


def _innermost_message(error: Exception) -> str:
    """Return the message of the last of several nested errors.

    urllib3 joins their messages with colons and wraps them in quotes or parentheses.
    """
    text = str(error).rsplit(": ", 1)[-1].strip("'\" ")
    if text.count(")") != text.count("("):
        text = text.strip("()'\" ")
    return text or type(error).__name__
