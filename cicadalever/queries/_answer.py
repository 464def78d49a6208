"""The answer to a query, before it is encoded as JSON."""

from typing import NamedTuple

from cicadalever.outcomes import Failure, Outcome

from ._query import Coverage

NO_COVERAGE = Coverage(0, (), ())


class QueryAnswer(NamedTuple):
    """Outcome, coverage and rows of a query.

    ``snapshot`` is the id of the pinned snapshot and ``version`` the version of the
    configuration. ``rows`` maps each covered shard to the JSON bytes that its upstream
    sent. ``failure`` says why the outcome is not complete. ``retry_after_s`` is set
    when the request did not run and may be sent again. ``hedges`` and ``retries`` count
    reads. A ``congested`` answer makes the admission window shrink.
    """

    outcome: Outcome
    snapshot: int = 0
    version: int = 0
    coverage: Coverage = NO_COVERAGE
    rows: dict[str, bytes] = {}
    failure: Failure | None = None
    retry_after_s: float | None = None
    hedges: int = 0
    retries: int = 0
    congested: bool = False
