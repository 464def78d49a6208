"""Tests of the gateway's calls in virtual time, with simulated hosts and replicas."""

import gc
import unittest
import weakref
from random import Random
from types import SimpleNamespace
from unittest import mock

from bench.fleet import Fleet, FleetSite, Policy
from bench.fleet._host import HEADER_NAMES
from cicadalever.budgets import MemoryBudget
from cicadalever.crashes import MIN_CANARY_CRASHES, MIN_CRASHES
from cicadalever.discovery import ReplicaState, UpstreamDirectory
from cicadalever.gateway._answers import AnswerKind
from cicadalever.gateway._delegated_call import DelegatedCall
from cicadalever.gateway._gather_call import GatherCall
from cicadalever.gateway._outbound import PEER_SHARD_ATTEMPTS, OutboundRequest
from cicadalever.gateway._reads import ReadRunner
from cicadalever.placement import LeastCostSelector
from cicadalever.routing import Limits, RoutingTable
from cicadalever.wire import AnswerFault, CallerRequest, EventLoop, ReplicaAnswer
from tests.test_discovery import entry
from tests.test_gateway import gather_route
from tests.test_wire import ScriptedReplica, wait_for

SITE = FleetSite(data_centres=1, hosts=1, shards=4, replicas=2, pause_s=0.0)
# What a host tells that has read no shard more than once, and what another one must
# assume of it.
REPORT = [(PEER_SHARD_ATTEMPTS, b"0")]
ONE_ATTEMPT = [1] * SITE.shards


class CallTestCase(unittest.TestCase):
    """Builds calls of one simulated host; ``responses`` are their responses."""

    def setUp(self):
        self.fleet = Fleet(SITE, Policy.ALONE, seed=1)
        self.loop = self.fleet.loop
        self.host = self.fleet.hosts[0]
        self.responses = []

    def call_arguments(self):
        headers = [(b"host", b"h"), (HEADER_NAMES.request_id, b"1")]
        request = CallerRequest(b"GET", b"/q", headers, b"", 0.0, False, True)
        table = self.host.service.table
        outbound = OutboundRequest(request, HEADER_NAMES, 10.0, b"1")

        def on_end(response, fields):
            self.responses.append((round(self.loop.now(), 3), response))

        return request, table.routes[0], table, self.host.runner, outbound, on_end


class TestRepeatedQueries(CallTestCase):
    """Queries that another host may already have begun."""

    def gather(self, *, is_repeat):
        call = GatherCall(*self.call_arguments(), on_late=lambda late_s: None)
        call.start(0.1, [1] * SITE.shards if is_repeat else ())
        self.loop.run_until(2.0)
        [(ended_at, response)] = self.responses
        return ended_at, response

    def remove_replicas(self):
        self.host.runner.directory.replace_all([], set(), 0.0)
        self.host.runner.directory.expire(1e9)

    def test_lost_query_may_have_run(self):
        """Guards against "not run" for a query that another host has begun."""
        self.remove_replicas()
        self.assertEqual(self.gather(is_repeat=True)[1].status, 502)

    def test_query_that_nobody_began_has_not_run(self):
        """Guards against an unknown outcome where it is known."""
        self.remove_replicas()
        _, response = self.gather(is_repeat=False)
        self.assertEqual(response.status, 503)
        self.assertIsNotNone(response.header(b"retry-after"))

    def test_query_without_budget_ends_at_once(self):
        """Guards against a caller that waits for a budget until its deadline."""
        self.host.runner.retry_budget.slack = 0
        ended_at, response = self.gather(is_repeat=True)
        self.assertEqual((ended_at, response.status), (0.0, 502))

    def test_repeated_reads_are_second_attempts(self):
        """Guards against more attempts than the route allows on two hosts."""
        self.assertEqual(self.gather(is_repeat=True)[1].status, 200)
        runs = [len(each.executed_ids) for each in self.fleet.replicas.values()]
        self.assertEqual(sum(runs), SITE.shards)


class TestDrainingReplica(unittest.TestCase):
    """Reads that wait for a connection to a replica when its entry changes."""

    def test_waiting_read_is_withdrawn(self):
        """Guards against reads that reach a replica after the time of its drain."""
        replica = ScriptedReplica()
        self.addCleanup(replica.stop)
        directory, ended = UpstreamDirectory(), []
        runner = ReadRunner(
            EventLoop(), HEADER_NAMES, directory, LeastCostSelector("a", Random(1)),
            mock.Mock(), mock.Mock(), mock.Mock(),
        )  # fmt: skip
        ready = entry(address=replica.address)
        directory.apply(ready)
        route = gather_route(["s"])
        table = RoutingTable(
            1, [route], {"s": SimpleNamespace(max_connections=1)}, Limits()
        )
        outbound = mock.Mock(encode=lambda *arguments: b"GET / HTTP/1.1\r\n\r\n")
        for _ in range(2):
            read = runner.start(
                ready, outbound, route, table, lambda _, result: ended.append(result)
            )
            self.addCleanup(read.exchange.cancel, "end of the test")
        draining = ready._replace(state=ReplicaState.DRAINING, sequence=9, revision=9)
        runner.directory_changed(directory.apply(draining))
        wait_for(lambda: ended)
        self.assertEqual([each.kind for each in ended], [AnswerKind.NOT_SENT])


class TestHeldReads(CallTestCase):
    """Reads that wait until a replica has survived the query."""

    def test_replica_that_has_left_meanwhile_is_not_read(self):
        """Guards against reads of replicas that were chosen before they left."""
        runner = self.host.runner
        arguments = self.call_arguments()
        fingerprint = arguments[4].fingerprint
        runner.guard.ledger.record_loss(fingerprint, "s", "i-lost", self.loop.now())
        call = GatherCall(*arguments, on_late=lambda late_s: None)
        call.start(1.0)
        left = [each.id for each in call._chosen_replicas.values()]
        for replica_id in left:
            runner.directory_changed(runner.directory.remove(replica_id, 0.0))
        self.loop.run_until(2.0)
        [(_, response)] = self.responses
        self.assertEqual(response.status, 200)
        self.assertEqual(len(left), SITE.shards - 1)
        runs = [self.fleet.replicas[each].executed_ids for each in left]
        self.assertEqual(runs, [[]] * len(left))

    def test_canaries_beside_each_other_are_all_counted(self):
        """Guards against a query that crashes more replicas than decide about it."""
        received = []
        for replica in self.fleet.replicas.values():
            replica.receive = received.append
        arguments = self.call_arguments()
        fingerprint = arguments[4].fingerprint
        ledger = self.host.runner.guard.ledger
        for number in range(MIN_CRASHES):
            ledger.record_loss(fingerprint, f"s{number}", f"i-{number}", -5.0)
        call = GatherCall(*arguments, on_late=lambda late_s: None)
        call.start(1.0)
        self.loop.run_until(0.5)
        self.assertEqual(len(received), MIN_CANARY_CRASHES)
        started_at = ledger.get(fingerprint).canaries(ledger.host)
        self.assertEqual(len(started_at), MIN_CANARY_CRASHES)
        call.cancel()
        self.assertEqual(ledger.get(fingerprint).canaries(ledger.host), [])


class TestAnswersThatWait(CallTestCase):
    """Answers of shards that are kept until those of the others have come."""

    BODY = bytes(64 * 1024)

    def start(self, max_bytes, min_share=1.0):
        """Start a query of which one shard does not answer; return its call."""
        memory = self.host.runner.memory = MemoryBudget(max_bytes)
        self.dropped = []
        memory.on_dropped = self.dropped.append
        request, route, *others = self.call_arguments()
        for replica in self.fleet.replicas.values():
            if replica.entry.service == route.shards[0]:
                replica.receive = lambda read: None
        route = route._replace(top_records=4096, min_shard_share=min_share)
        call = GatherCall(request, route, *others, on_late=lambda late_s: None)
        with mock.patch("bench.fleet._replica.RECORD", self.BODY):
            call.start(1.0)
            self.loop.run_until(0.5)
        return call, memory

    def test_answers_count_in_the_budget_until_the_end(self):
        """Guards against queries whose answers take memory beside the budget."""
        call, memory = self.start(max_bytes=2**20)
        self.assertGreaterEqual(memory.held_bytes, (SITE.shards - 1) * len(self.BODY))
        call.cancel()
        self.assertEqual(memory.held_bytes, 0)

    def test_dropped_answers_end_the_query_at_once(self):
        """Guards against a query that waits although it cannot be answered."""
        _, memory = self.start(max_bytes=len(self.BODY))
        [(_, response)] = self.responses
        self.assertEqual((response.status, memory.held_bytes), (502, 0))
        self.assertEqual(len(self.dropped), 1)

    def test_dropped_query_with_enough_answers_is_served(self):
        """Guards against a failure although the answer would be allowed."""
        self.start(max_bytes=(SITE.shards - 1) * len(self.BODY) - 1, min_share=0.5)
        [(ended_at, response)] = self.responses
        self.assertEqual(response.status, 200)
        self.assertLess(ended_at, 0.1)

    def test_answers_are_freed_with_the_end(self):
        """Guards against answers that reads which go on keep after the query."""
        call, _ = self.start(max_bytes=2**20)
        kept = call._shard_answers
        self.assertEqual(len(kept), SITE.shards - 1)
        call.cancel()
        self.assertEqual(kept, {})

    def test_ended_query_is_freed_without_a_collection(self):
        """Guards against requests that stay until the next collection of cycles."""
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        call, _ = self.start(max_bytes=2**20)
        call.hand_over = lambda attempts, call=call: False
        freed = weakref.ref(call)
        call.cancel()
        del call
        self.loop.run_until(2.0)
        self.assertIsNone(freed())

    def test_answer_of_a_group_is_shortened(self):
        """Guards against a peer that sends more records than the query asks for."""
        call, memory = self.start(max_bytes=2**30)
        held = memory.held_bytes
        records = bytes(64 * len(self.BODY))
        group = mock.Mock(shards=[0])
        call._state.delegate([0])
        with mock.patch.object(call, "_advance"):
            call.group_ended(group, [b"s"], [], records)
        self.assertEqual(memory.held_bytes - held, len(self.BODY) + 1)


class TestCancelledBeforeStart(CallTestCase):
    """A peer that closes its connection while its query is acknowledged."""

    def test_call_that_has_not_started_can_be_cancelled(self):
        """Guards against an exception in place of the end of the request."""
        call = GatherCall(*self.call_arguments(), on_late=lambda late_s: None)
        call.cancel()
        self.assertTrue(call.is_ended)
        self.assertEqual(call.attempts, [0] * SITE.shards)


class TestRefusalBesideGroups(unittest.TestCase):
    """Queries that fail while hosts of other data centres still read for them."""

    def test_running_group_may_have_run(self):
        """Guards against "not run" for a query that another host still reads."""
        site = FleetSite(data_centres=2, hosts=1, shards=40, replicas=1)
        fleet = Fleet(site, Policy.GROUPS, seed=1)
        local = 0
        received = []
        for replica in fleet.replicas.values():
            if replica.entry.data_centre == "dc-0":
                local += 1
                replica.receive = lambda read: read.answer(503, is_run=False)
            else:
                replica.receive = received.append
        # The query fails with the last of its own reads.
        min_share = (site.shards - local + 1) / site.shards
        host = fleet.hosts[0]
        table = host.service.table
        route = table.routes[0]._replace(min_shard_share=min_share)
        for each in fleet.hosts:
            each.service.table = RoutingTable(1, [route], table.services, Limits())
        fleet.send(host, 1)
        fleet.loop.run_until(2.0)
        self.assertEqual(len(received), site.shards - local)
        self.assertEqual([record.status for record in fleet.records], [502])


class TestSilentGatherer(CallTestCase):
    """A gatherer whose heartbeats are lost while it works on a query."""

    def delegate(self, heartbeat_is_fresh):
        self.sent, self.fallbacks = [], []
        self.failures = 0

        def record_failure(peer, now, *, is_faulty):
            self.failures += 1
            self.is_faulty = is_faulty

        def send(address, exchange):
            exchange.connection = SimpleNamespace(
                was_sent=True, close=lambda detail: None
            )
            self.sent.append(exchange)

        link = SimpleNamespace(
            send=send,
            close_idle=lambda address: None,
            peer_table=SimpleNamespace(record_failure=record_failure),
        )
        peer = SimpleNamespace(
            address=("h", 1),
            in_flight=0,
            heartbeat=SimpleNamespace(host="large"),
            is_alive=heartbeat_is_fresh,
        )
        call = DelegatedCall(
            *self.call_arguments(), link=link, fall_back=self.fallbacks.append
        )
        call.start(peer, 0.1)
        return self.sent[0]

    def test_work_that_makes_progress_is_not_given_up(self):
        """Guards against work that is started again because datagrams were lost."""
        exchange = self.delegate(lambda now: False)
        for step in range(20):
            self.loop.run_until(0.01 + 0.4 * step)
            exchange.on_interim(REPORT)
        answer = ReplicaAnswer(200, [(b"x-id", b"1")], b"body")
        exchange.end(answer)
        self.assertEqual(self.fallbacks, [])
        self.assertEqual([each.body for _, each in self.responses], [b"body"])

    def test_acknowledgement_that_waits_to_be_read_counts(self):
        """Guards against a busy host that takes its own delay for that of a peer.

        A busy loop runs the time-out before it reads the acknowledgement.
        """
        exchange = self.delegate(lambda now: True)
        self.loop.call_at(0.0255, exchange.on_interim, REPORT)
        self.loop.run_until(0.5)
        self.assertEqual(self.fallbacks, [])

    def test_silent_gatherer_is_replaced(self):
        """Guards against callers that wait for a suspended host."""
        exchange = self.delegate(lambda now: now < 0.5)
        self.loop.run_until(0.01)
        exchange.on_interim(REPORT)
        self.loop.run_until(3.0)
        self.assertEqual(self.fallbacks, [ONE_ATTEMPT])

    def test_report_that_waits_to_be_read_counts(self):
        """Guards against a host that takes its own suspension for that of a peer.

        The loop runs the check at 1.01 s before it reads the report.
        """
        exchange = self.delegate(lambda now: False)
        self.loop.run_until(0.01)
        exchange.on_interim(REPORT)
        self.loop.call_at(1.0105, exchange.on_interim, REPORT)
        self.loop.run_until(1.5)
        self.assertEqual(self.fallbacks, [])

    def test_only_an_oversized_answer_shows_a_faulty_gatherer(self):
        """Guards against a long pause of a sound host that refuses a query."""
        for fault in (
            AnswerFault.GARBLED,
            AnswerFault.ABANDONED,
            AnswerFault.OVERSIZED,
        ):
            exchange = self.delegate(lambda now: True)
            exchange.end(ReplicaAnswer(0, [], b"", fault))
            self.assertIs(self.is_faulty, fault is AnswerFault.OVERSIZED, fault)

    def test_query_that_was_never_sent_has_not_begun(self):
        """Guards against a budget that is spent for reads that nobody sent."""
        exchange = self.delegate(lambda now: True)
        exchange.connection = None
        self.loop.run_until(1.0)
        self.assertEqual(self.fallbacks, [None])

    def test_lost_connection_may_have_begun(self):
        """Guards against first reads that are sent twice without budget."""
        exchange = self.delegate(lambda now: True)
        exchange.end(ReplicaAnswer(0, [], b"", AnswerFault.LOST, "reset"))
        self.assertEqual((self.fallbacks, self.failures), ([ONE_ATTEMPT], 1))
