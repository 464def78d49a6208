"""The published entries that name no replica."""

from collections.abc import Collection, Mapping

# Most rejected entries that are remembered; the oldest are forgotten first and may be
# reported once more.
MAX_REJECTED = 4096


class RejectedEntries:
    """Reasons why entries were rejected, so that each of them is reported once.

    An entry that is rejected for another reason than before is reported again, and so
    is one that was sound or removed meanwhile.

    >>> rejected = RejectedEntries()
    >>> rejected.record({"a": "not JSON"}, sound=[], is_complete=False)
    {'a': 'not JSON'}
    >>> rejected.record({"a": "not JSON"}, sound=[], is_complete=True)
    {}
    >>> rejected.record({}, sound=["a"], is_complete=False), len(rejected)
    ({}, 0)
    """

    def __init__(self):
        self._reasons: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._reasons)

    def record(
        self, reasons: Mapping[str, str], sound: Collection[str], *, is_complete: bool
    ) -> dict[str, str]:
        """Record the rejected entries of an update and return the unreported ones.

        ``reasons`` maps the ids of rejected entries to the reasons, and ``sound`` holds
        the ids of sound and removed ones. An update that ``is_complete`` lists all
        entries.
        """
        mended = [each for each in self._reasons if each not in reasons]
        for replica_id in mended:
            if is_complete or replica_id in sound:
                del self._reasons[replica_id]
        unreported = {
            replica_id: reason
            for replica_id, reason in reasons.items()
            if self._reasons.get(replica_id) != reason
        }
        for replica_id, reason in unreported.items():
            self._reasons[replica_id] = reason
            if len(self._reasons) > MAX_REJECTED:
                del self._reasons[next(iter(self._reasons))]
        return unreported
