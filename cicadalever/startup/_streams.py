"""Standard streams of a process that was started without them."""

import os
import sys

STANDARD_STREAMS = (
    (0, "stdin", os.O_RDONLY),
    (1, "stdout", os.O_WRONLY),
    (2, "stderr", os.O_WRONLY),
)


def open_missing_streams() -> None:
    """Open the null device for standard streams that are closed.

    Otherwise sockets would get their descriptors, and what the program logs would be
    sent to other hosts.
    """
    for descriptor, name, flags in STANDARD_STREAMS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest free descriptor is this one.
            os.open(os.devnull, flags)
            mode = "r" if flags == os.O_RDONLY else "w"
            setattr(sys, name, open(descriptor, mode, closefd=False))  # noqa: SIM115


class LenientStream:
    """Text stream that drops what cannot be written, instead of raising an exception.

    The event loop prints exceptions that nobody handles to standard error. If that
    raised another one, because the reader is gone, the process would end.
    """

    def __init__(self, stream):
        self._stream = stream

    def write(self, text: str) -> int:
        """Write ``text`` if that is possible."""
        try:
            return self._stream.write(text)
        except (OSError, ValueError):
            return len(text)

    def flush(self) -> None:
        """Pass on what is buffered if that is possible."""
        try:
            self._stream.flush()
        except (OSError, ValueError):
            return
