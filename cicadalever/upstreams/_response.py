"""Reader of upstream answers whose head is parsed without the e-mail parser."""

import http.client

MAX_LINE_BYTES = 65_536
MAX_FIELDS = 100
MAX_DIGITS = 18
BODILESS_STATUSES = (http.client.NO_CONTENT, http.client.NOT_MODIFIED)


class UpstreamResponse(http.client.HTTPResponse):
    """An answer with its header fields in a dictionary, by names in lower case.

    ``http.client`` parses the head as an e-mail message, which costs more than half of
    the work of reading an answer. Its reader of the body is used as it is. Of repeated
    fields the last one counts; a folded field is refused.
    """

    def begin(self) -> None:
        """Read the head; raises ``http.client.HTTPException`` if it is malformed."""
        if self.headers is not None:
            return
        version, status, reason = self._read_status()
        while status == http.client.CONTINUE:
            self._read_fields()
            version, status, reason = self._read_status()
        if not version.startswith("HTTP/1."):
            raise http.client.UnknownProtocol(version)
        self.version = 10 if version == "HTTP/1.0" else 11
        self.code = self.status = status
        self.reason = reason.strip()
        self.headers = self.msg = self._read_fields()
        self.chunked = self.headers.get("transfer-encoding", "").lower() == "chunked"
        self.chunk_left = None
        self.length = None if self.chunked else self._read_length(status)
        self.will_close = self._check_close()
        if not self.chunked and self.length is None:
            self.will_close = True

    def _read_fields(self) -> dict[str, str]:
        fields: dict[str, str] = {}
        for _ in range(MAX_FIELDS):
            line = self.fp.readline(MAX_LINE_BYTES + 1)
            if line in (b"\r\n", b"\n"):
                return fields
            name, colon, value = line.partition(b":")
            if not colon or not line.endswith(b"\n") or name[:1].isspace():
                raise http.client.HTTPException(f"malformed header line {line[:80]!r}")
            text = value.decode("latin-1").strip()
            fields[name.decode("latin-1").lower()] = text
        raise http.client.HTTPException(f"got more than {MAX_FIELDS} headers")

    def _read_length(self, status: int) -> int | None:
        """Return the length of the body; None if it lasts until the end."""
        if status in BODILESS_STATUSES:
            return 0
        length = self.headers.get("content-length", "")
        is_number = length.isascii() and length.isdigit()
        return int(length) if is_number and len(length) <= MAX_DIGITS else None
