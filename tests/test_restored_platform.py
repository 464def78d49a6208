"""Tests of a platform that comes back from an older copy of its data."""

import json
import signal
import unittest
import zlib

import eventlet
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadalever.peers import ChangeLog, Position
from tests.platform_standins import ReplicaStandIn, wait_for
from tests.test_gateway_process import GatewayTestCase, configuration
from tests.test_peers import TwoGatewaysTestCase


def versions(gateway):
    """Return the versions that came into force at a gateway, in this order."""
    return [e["version"] for e in gateway.events("configuration_in_force")]


class TestRestoredPlatform(GatewayTestCase):
    """A gateway that calls the platform itself."""

    def put_versions(self, *numbers):
        for number in numbers:
            self.store.put("op/config", configuration(number))

    def suspend(self):
        self.gateway.process.send_signal(signal.SIGSTOP)
        self.addCleanup(self.gateway.process.send_signal, signal.SIGCONT)

    def resume(self):
        self.gateway.process.send_signal(signal.SIGCONT)

    def test_running_host_reads_what_was_written_again(self):
        """Guards against a host that waits for revisions which were given out again."""
        copy = self.store.revision
        self.put_versions(9, 11)
        wait_for(lambda: 11 in versions(self.gateway), "version 11")
        self.store.restore(copy)
        self.put_versions(9, 11, 13)
        wait_for(lambda: 13 in versions(self.gateway), "version 13")
        self.assertEqual(sorted(versions(self.gateway)), versions(self.gateway))

    def test_suspended_host_misses_no_version_of_a_reused_revision(self):
        """Guards against a watch from a revision that means another change by now."""
        copy = self.store.revision
        self.put_versions(9, 10)
        wait_for(lambda: 10 in versions(self.gateway), "version 10")
        self.suspend()
        self.store.restore(copy)
        self.put_versions(9, 12)
        eventlet.sleep(0.3)
        self.resume()
        wait_for(lambda: 12 in versions(self.gateway), "version 12")

    def test_era_that_rises_twice(self):
        """Guards against a host that notices only the first of two restores."""
        copy = self.store.revision
        self.put_versions(9, 10)
        wait_for(lambda: 10 in versions(self.gateway), "version 10")
        self.suspend()
        self.store.restore(copy)
        self.put_versions(9, 10)
        self.store.restore(copy + 1)
        self.put_versions(10, 12)
        self.store.restore(copy)
        self.put_versions(9, 12)
        self.resume()
        wait_for(lambda: 12 in versions(self.gateway), "version 12")

    def test_first_read_from_an_earlier_history(self):
        """Guards against a start from a copy whose revisions were given out again."""
        self.put_versions(9, 10)
        self.store.keep_stale_copy()
        self.store.refuses_watches = True
        self.gateway.process.kill()
        self.gateway.process.wait()
        reads = self.store.calls["kv-range"]
        self.gateway.start()
        wait_for(lambda: self.store.calls["kv-range"] > reads + 2, "the first read")
        self.suspend()
        self.store.restore(self.store.revision - 2)
        self.put_versions(9, 14)
        self.store.refuses_watches = False
        self.resume()
        wait_for(lambda: 14 in versions(self.gateway), "version 14")

    def test_replica_that_left_is_not_used_again(self):
        """Guards against reads from a replica that only the older copy lists."""
        leaving = ReplicaStandIn("one", "i-leaving", b"one".ljust(16, b"."))
        self.addCleanup(leaving.stop)
        key = f"servers/{leaving.id}"
        self.store.put(key, leaving.entry())
        copy = self.store.revision

        def has_changed(reason):
            return reason in reasons()

        def reasons():
            events = self.gateway.events("replica_changed")
            return [e["reason"] for e in events if e["replica"] == leaving.id]

        wait_for(lambda: has_changed("published ready"), "the replica")
        self.store.put(key, leaving.entry(State="draining", Seq=2))
        self.store.delete(key)
        wait_for(lambda: has_changed("entry removed"), "the removal")
        before = len(leaving.requests)
        self.store.restore(copy)
        self.put_versions(9)
        wait_for(lambda: 9 in versions(self.gateway), "version 9")
        for number in range(12):
            self.assertEqual(
                self.gateway.ask("/read/x", request_id=f"l{number}")[0], 200
            )
        self.assertEqual(len(leaving.requests), before)
        self.assertEqual(reasons()[-1], "entry removed")

    def test_replica_that_only_the_newer_history_lists_is_kept_for_a_while(self):
        """Guards against shards without replicas until these publish again."""
        wait_for(lambda: len(versions(self.gateway)) == 1, "the configuration")
        copy = self.store.revision
        (other,) = [r for r in self.replicas_of("one") if r.id == "i-oneb"]
        other.behaviour = "shed"
        joining = ReplicaStandIn("one", "i-joining", b"one".ljust(16, b"."))
        self.addCleanup(joining.stop)
        self.store.put(f"servers/{joining.id}", joining.entry())
        self.store.delete("servers/i-onea")

        def knows_joining():
            events = self.gateway.events("replica_changed")
            return any(e["replica"] == joining.id for e in events)

        wait_for(knows_joining, "the new replica")
        self.suspend()
        self.store.restore(copy)
        self.store.delete("servers/i-onea")
        self.put_versions(9)
        self.resume()
        wait_for(lambda: 9 in versions(self.gateway), "version 9")
        for number in range(5):
            self.assertEqual(
                self.gateway.ask("/read/x", request_id=f"j{number}")[0], 200
            )


class TestRestoredPlatformAndRelay(TwoGatewaysTestCase):
    """A host that takes the changes of the platform from a larger one."""

    def put_versions(self, *numbers):
        for number in numbers:
            self.store.put("op/config", self.configuration(number))

    def follows_larger_host(self):
        sources = [e["source"] for e in self.small.events("source_changed")]
        return sources[-1:] == ["large"]

    def test_follower_gets_versions_of_reused_revisions(self):
        """Guards against a host that drops changes because it knows their revisions."""
        wait_for(self.follows_larger_host, "the source")
        copy = self.store.revision
        self.put_versions(9, 10)
        wait_for(lambda: 10 in versions(self.small), "version 10")
        self.store.restore(copy)
        self.put_versions(9, 12)
        for gateway in (self.large, self.small):
            wait_for(lambda g=gateway: 12 in versions(g), "version 12")

    def test_source_that_is_still_in_the_earlier_history(self):
        """Guards against changes of a source that was suspended during a restore."""
        wait_for(self.follows_larger_host, "the source")
        copy = self.store.revision
        self.put_versions(9, 10)
        wait_for(lambda: 10 in versions(self.small), "version 10")
        self.large.process.send_signal(signal.SIGSTOP)
        self.addCleanup(self.large.process.send_signal, signal.SIGCONT)
        self.store.restore(copy)
        self.put_versions(9, 12)
        wait_for(lambda: 12 in versions(self.small), "version 12")
        self.put_versions(14)
        self.large.process.send_signal(signal.SIGCONT)
        for gateway in (self.small, self.large):
            wait_for(lambda g=gateway: 14 in versions(g), "version 14")
        self.put_versions(15)
        for gateway in (self.small, self.large):
            wait_for(lambda g=gateway: 15 in versions(g), "version 15")


class _Store:
    """Keys with values, whose changes are numbered within an era."""

    def __init__(self):
        self.era = 1
        self.log = [("k0", 0)]

    @property
    def position(self):
        return Position(self.era, len(self.log))

    def state(self):
        return dict(self.log)


class _Host:
    """State up to a position, which is relayed to hosts that follow this one."""

    def __init__(self, store):
        self.changes = ChangeLog()
        self.read(store)

    def read(self, store):
        self.position, self.state = store.position, store.state()
        self.changes.reset(self.position)

    def watch(self, store):
        """Take changes from the store, if it continues what this host knows."""
        if store.era != self.position.era or len(store.log) < self.position.revision:
            self.read(store)
            return
        events = store.log[self.position.revision :]
        self.apply(events, store.position)

    def poll(self, source, store):
        """Take changes from another host, or from the store if that has none."""
        batches = source.changes.since(self.position)
        reached = source.changes.position
        if batches is None or reached.revision < self.position.revision:
            self.watch(store)
            return
        for batch in batches:
            events = json.loads(zlib.decompress(batch))
            self.apply(events, reached)
        self.position = reached

    def apply(self, events, position):
        self.position = position
        self.state.update(dict(events))
        data = json.dumps(events).encode() if events else None
        self.changes.append(position.revision, data)


class TestPositions(unittest.TestCase):
    """Chains of hosts that follow each other through any number of restores."""

    steps = st.lists(
        st.one_of(
            st.tuples(st.just("put"), st.integers(0, 5), st.integers(0, 1000)),
            st.tuples(st.just("restore"), st.integers(1, 8), st.just(0)),
            st.tuples(st.just("watch"), st.integers(0, 3), st.just(0)),
            st.tuples(st.just("poll"), st.integers(0, 3), st.integers(0, 3)),
        ),
        max_size=60,
    )

    @given(steps)
    @settings(max_examples=300)
    def test_state_is_that_of_the_position(self, steps):
        """Guards against changes of one history that are applied to another."""
        store = _Store()
        hosts = [_Host(store) for _ in range(4)]
        states = {store.position: store.state()}
        for kind, first, second in steps:
            if kind == "put":
                store.log.append((f"k{first}", second))
                states[store.position] = store.state()
            elif kind == "restore":
                store.era += 1
                del store.log[max(1, len(store.log) - first) :]
                states[store.position] = store.state()
            elif kind == "watch":
                hosts[first].watch(store)
            elif first != second:
                hosts[first].poll(hosts[second], store)
            for host in hosts:
                self.assertEqual(host.state, states[host.position])
