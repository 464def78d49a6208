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
