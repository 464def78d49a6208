"""Exit codes of the command line."""

from enum import IntEnum

from cicadalever.outcomes import Outcome


class ExitCode(IntEnum):
    """Exit codes of all commands, for scripts."""

    OK = 0
    PARTIAL = 1
    INVALID = 2
    NOT_RUN = 3
    UNKNOWN = 4
    UNREACHABLE = 5


OUTCOME_CODES = {
    Outcome.COMPLETE: ExitCode.OK,
    Outcome.PARTIAL: ExitCode.PARTIAL,
    Outcome.INVALID: ExitCode.INVALID,
    Outcome.NOT_RUN: ExitCode.NOT_RUN,
    Outcome.UNKNOWN: ExitCode.UNKNOWN,
}
