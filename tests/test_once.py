"""Tests of the table that runs each non-idempotent request at most once."""

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cicadalever.once import Begun, Finished, InProgress, OnceTable, RequestId
from cicadalever.outcomes import Failure, FailureCode

RETENTION_S = 600.0
NUMBERS = st.integers(0, 99)


class OnceMachine(RuleBasedStateMachine):
    """Copies of requests that arrive in any order at a process that pauses.

    ``lag`` is the number of seconds by which the time of a copy lies in the past.
    """

    def __init__(self):
        super().__init__()
        self.table = OnceTable("a.b-c", 7, capacity=40, retention_s=RETENTION_S)
        self.now = 0.0
        self.issued_or_ended_at = {}
        self.digests = {}
        self.running = set()
        self.results = {}
        self.runs = Counter()

    def pick(self, number, ids):
        return sorted(ids)[number % len(ids)]

    @rule(count=st.integers(1, 5))
    def issue(self, count):
        for request_id in self.table.issue(count, self.now) or []:
            assert request_id not in self.issued_or_ended_at
            self.issued_or_ended_at[request_id] = self.now

    @rule(seconds=st.sampled_from([0.0, 0.1, 1.0, 300.0, 599.0, 600.0]))
    def pause(self, seconds):
        self.now += seconds

    @precondition(lambda self: self.issued_or_ended_at)
    @rule(
        number=NUMBERS,
        digest=st.sampled_from([b"", b"x", b"x"]),
        lag=st.sampled_from([0.0, 0.0, 700.0]),
    )
    def copy_arrives(self, number, digest, lag):
        request_id = self.pick(number, self.issued_or_ended_at)
        answer = self.table.begin(request_id, digest, self.now - lag)
        expired = self.now - self.issued_or_ended_at[request_id] >= RETENTION_S
        if isinstance(answer, Begun):
            assert request_id not in self.running | set(self.results)
            assert lag or not expired
            assert self.digests.setdefault(request_id, digest) == digest
            self.running.add(request_id)
            self.runs[request_id] += 1
        elif request_id in self.digests and self.digests[request_id] != digest:
            codes = {FailureCode.DUPLICATE_ID, FailureCode.EXPIRED}
            assert isinstance(answer, Failure) and answer.code in codes
        elif isinstance(answer, Failure):
            assert answer.code == FailureCode.EXPIRED
            assert expired and request_id not in self.running
        elif isinstance(answer, Finished):
            assert answer.result == self.results[request_id][0]
            assert lag or self.now - self.results[request_id][1] < RETENTION_S
        else:
            assert isinstance(answer, InProgress) and request_id in self.running

    @precondition(lambda self: self.running)
    @rule(number=NUMBERS, ran=st.booleans())
    def run_ends(self, number, ran):
        request_id = self.pick(number, self.running)
        self.running.discard(request_id)
        self.issued_or_ended_at[request_id] = self.now
        if ran:
            assert self.table.finish(request_id, number, self.now) is None
            self.results[request_id] = (number, self.now)
            return
        assert self.table.abandon(request_id, self.now) is None
        assert isinstance(self.table.abandon(request_id, self.now), Failure)
        self.runs[request_id] -= 1

    @precondition(lambda self: self.results)
    @rule(number=NUMBERS)
    def late_finish(self, number):
        request_id = self.pick(number, self.results)
        assert isinstance(self.table.finish(request_id, "late", self.now), Failure)

    @invariant()
    def at_most_one_run_and_bounded_memory(self):
        assert all(runs <= 1 for runs in self.runs.values())
        assert len(self.table) <= 40


class TestOnceTable(unittest.TestCase):
    """At-most-once execution, refusals and bounds."""

    def test_at_most_one_run_per_id(self):
        """Guards against a second run after reordered, repeated or late copies."""
        reproducible = settings(
            derandomize=True, deadline=None, max_examples=200, database=None
        )
        run_state_machine_as_test(OnceMachine, settings=reproducible)

    def test_ids_of_other_processes_and_unissued_ids(self):
        """Guards against "not run" for an id whose state only its issuer knows."""
        table = OnceTable("a", 7)
        [known] = table.issue(1, 0.0)
        for request_id, code in (
            (known._replace(incarnation=6), FailureCode.UNKNOWN),
            (known._replace(host="b"), FailureCode.UNKNOWN),
            (known._replace(sequence=2), FailureCode.INVALID),
            (known._replace(sequence=0), FailureCode.INVALID),
        ):
            self.assertEqual(table.begin(request_id, b"", 0.0).code, code)
        self.assertEqual(table.finish(known, "x", 0.0).code, FailureCode.INVALID)

    def test_late_result_of_an_abandoned_run_prevents_a_second_run(self):
        """Guards against a second run when "not run" turns out to be wrong."""
        table = OnceTable("a", 7)
        [request_id] = table.issue(1, 0.0)
        table.begin(request_id, b"", 0.0)
        table.abandon(request_id, 0.0)
        self.assertIsNone(table.finish(request_id, "ran", 1.0))
        self.assertEqual(len(table), 1)
        self.assertEqual(table.begin(request_id, b"", 600.9), Finished("ran"))
        expired = table.begin(request_id, b"", 601.0)
        self.assertEqual(expired.code, FailureCode.EXPIRED)

    def test_issue_is_bounded(self):
        """Guards against issued ids that exhaust the memory of a host."""
        table = OnceTable("a", 7, capacity=150, max_ids_per_s=100)
        self.assertEqual(table.issue(101, 0.0).code, FailureCode.INVALID)
        self.assertEqual(len(table.issue(100, 0.0)), 100)
        self.assertEqual(table.issue(50, 0.4).code, FailureCode.OVERLOAD)
        self.assertEqual(len(table.issue(50, 0.5)), 50)
        self.assertEqual(table.issue(1, 9.0).code, FailureCode.OVERLOAD)
        self.assertEqual(len(table.issue(99, 600.0)), 99)
        self.assertEqual(len(table.issue(1, 0.0)), 1, "an earlier time counts as now")


class TestRequestId(unittest.TestCase):
    """Textual form of ids."""

    def test_parsing(self):
        """Guards against two textual forms of one id and against misread host ids."""
        for host in ("a", "dc1.host-2", "10.0.0.1", "a..b"):
            request_id = RequestId(host, 1700000000000, 15)
            self.assertEqual(RequestId.parse(str(request_id)), request_id)
        for text in ("", "a.1", ".1.2", "a.1.-2", "a.01.2", "a.1.2 ", "a.1.²", "é.1.2"):
            self.assertIsInstance(RequestId.parse(text), Failure, text)
        self.assertIsInstance(RequestId.parse("a.1." + "9" * 5000), Failure)
