"""Integration tests: the promises of section 1.2 under the faults of section 1.5."""

from tests.support import FleetCase, wait_until

UNKNOWN = "outcome_unknown"


class TestAtMostOnce(FleetCase):
    """Guards against a non-idempotent request that runs twice."""

    with_proxy = True

    def setUp(self):
        super().setUp()
        self.set_upstreams(["shipping"], service_s=0.6, jitter=0)

    def start_order(self, issuer, entry):
        """Return id, parameters, future and upstream of an order that runs now."""
        fleet = self.fleet
        request_id = fleet.issue(issuer)
        parameters = {"key": request_id, "echo": 1}
        future = fleet.ask_soon(entry, "order", id=request_id, parameters=parameters)
        run = wait_until(lambda: fleet.runs(request_id))[0]
        return request_id, parameters, future, run.upstream

    def start_order_elsewhere(self):
        """Return the result of ``start_order`` and an owner that has no other part.

        Hosts prefer upstreams of their data centre, and dc1 has two hosts.
        """
        fleet = self.fleet
        replicas = fleet.document["services"]["shipping"]["replicas"].items()
        local = next(name for name, value in replicas if value["data_centre"] == "dc1")
        owner = fleet.owner_of(local, fleet.hosts[0])
        issuer = next(host for host in fleet.hosts[:2] if host != owner)
        order = wait_until(lambda: self._order_on(local, issuer))
        return order, owner

    def _order_on(self, upstream, issuer):
        order = self.start_order(issuer, self.fleet.hosts[2])
        if order[3] == upstream:
            return order
        order[2].result()
        return None

    def resend(self, request_id, parameters, hosts):
        """Send copies through ``hosts`` at the same time; return the replies."""
        futures = [
            self.fleet.ask_soon(host, "order", id=request_id, parameters=parameters)
            for host in hosts
        ]
        return [future.result() for future in futures]

    def test_copies_through_several_entries(self):
        """Copies that race through all entries run once and get the one result."""
        fleet = self.fleet
        for issuer in fleet.hosts:
            request_id = fleet.issue(issuer)
            parameters = {"key": request_id, "echo": 7}
            replies = self.resend(request_id, parameters, fleet.hosts * 3)
            self.assertEqual({reply.outcome for reply in replies}, {"complete"})
            self.assertEqual(len(fleet.runs(request_id)), 1)

    def test_issuing_process_killed(self):
        """No other process runs a request whose issuing process is gone."""
        fleet = self.fleet
        lost, *others = fleet.hosts
        unused = fleet.issue(lost)
        request_id, parameters, future, _ = self.start_order(lost, others[0])
        fleet.processes[lost].kill()
        self.assertEqual(future.result().outcome, UNKNOWN)
        replies = self.resend(request_id, parameters, others)
        fleet.start_host(lost)
        fleet.wait_members(fleet.hosts)
        for each in (request_id, unused):
            replies += self.resend(each, parameters, fleet.hosts)
        self.assertEqual({reply.outcome for reply in replies}, {UNKNOWN})
        self.assertEqual(len(fleet.runs(request_id)), 1)
        self.assertEqual(fleet.runs(unused), [])

    def test_owner_killed_during_run(self):
        """The loss of the owner in the middle of a run starts no second run."""
        fleet = self.fleet
        (request_id, parameters, future, _), owner = self.start_order_elsewhere()
        fleet.processes[owner].kill()
        others = [host for host in fleet.hosts if host != owner]
        replies = self.resend(request_id, parameters, others * 2)
        fleet.start_host(owner)
        fleet.wait_members(fleet.hosts)
        replies += self.resend(request_id, parameters, fleet.hosts)
        outcomes = {reply.outcome for reply in [future.result(), *replies]}
        self.assertEqual(outcomes, {UNKNOWN})
        self.assertEqual(len(fleet.runs(request_id)), 1)

    def test_owner_stopped_during_run(self):
        """An owner that is stopped and continued does not run a resent copy."""
        fleet = self.fleet
        (request_id, parameters, future, _), owner = self.start_order_elsewhere()
        fleet.processes[owner].pause()
        others = [host for host in fleet.hosts if host != owner]
        wait_until(lambda: owner not in fleet.alive(others[0]))
        copies = [
            fleet.ask_soon(host, "order", id=request_id, parameters=parameters)
            for host in others
        ]
        fleet.processes[owner].resume()
        replies = [future.result(), *(copy.result() for copy in copies)]
        fleet.wait_members(fleet.hosts)
        replies += self.resend(request_id, parameters, fleet.hosts)
        self.assertLessEqual({r.outcome for r in replies}, {UNKNOWN, "complete"})
        self.assertEqual(len(fleet.runs(request_id)), 1)

    def test_orders_queued_at_stopped_owners(self):
        """Orders that wait while their owners are stopped run at most once."""
        fleet = self.fleet
        issuer, entry, *stopped = fleet.hosts
        ids = [fleet.issue(issuer) for _ in range(12)]
        bodies = {i: {"key": i, "echo": n} for n, i in enumerate(ids)}
        copies = [
            fleet.ask_soon(host, "order", id=i, parameters=bodies[i])
            for i in ids
            for host in (issuer, entry)
        ]
        for host in stopped:
            fleet.processes[host].pause()
        replies = [copy.result() for copy in copies]
        for host in stopped:
            fleet.processes[host].resume()
        fleet.wait_members(fleet.hosts)
        for host in fleet.hosts:
            fleet.wait_fresh(host)
        for i in ids:
            replies += self.resend(i, bodies[i], fleet.hosts)
        self.assertLessEqual(
            {reply.outcome for reply in replies},
            {UNKNOWN, "complete", "refused_not_run"},
        )
        self.assertTrue(all(len(fleet.runs(i)) <= 1 for i in ids))

    def test_connections_cut_during_run(self):
        """A connection cut after the request was sent is never taken for not run."""
        fleet = self.fleet
        for entry in fleet.hosts[:2]:
            request_id, parameters, future, _ = self.start_order(fleet.hosts[0], entry)
            fleet.control("proxy", rules={"*>*": {"existing": "reset"}})
            fleet.heal()
            replies = [future.result()]
            replies += self.resend(request_id, parameters, fleet.hosts * 2)
            fleet.wait_members(fleet.hosts)
            replies += self.resend(request_id, parameters, fleet.hosts)
            self.assertEqual({reply.outcome for reply in replies}, {UNKNOWN})
            self.assertEqual(len(fleet.runs(request_id)), 1)

    def test_other_body_under_same_id(self):
        """A second request under a used id is refused, not run and not answered."""
        fleet = self.fleet
        request_id = fleet.issue(fleet.hosts[0])
        replies = self.resend(request_id, {"key": "a"}, fleet.hosts[:1])
        self.assertEqual([reply.status for reply in replies], [200])
        replies = self.resend(request_id, {"key": "b"}, fleet.hosts)
        self.assertEqual({reply.status for reply in replies}, {409})
        self.assertEqual(len(fleet.runs(request_id)), 1)

    def test_id_that_was_not_issued(self):
        """A run under an id that no process issued is refused as invalid."""
        fleet = self.fleet
        host, incarnation, _ = fleet.issue(fleet.hosts[0]).split(".")
        for request_id in (f"{host}.{incarnation}.99999", "order-1", "a.b.c"):
            replies = self.resend(request_id, {"key": "a"}, fleet.hosts)
            self.assertEqual({reply.status for reply in replies}, {400})
            self.assertEqual(fleet.runs(request_id), [])


class TestPoison(FleetCase):
    """Guards against a request that crashes one upstream after the other."""

    def setUp(self):
        super().setUp()
        self.crashes_before = len(self.fleet.events("crash"))

    def count_crashes(self):
        return len(self.fleet.events("crash")) - self.crashes_before

    def send_poison(self, name, route, hosts):
        """Send one poisonous request under new ids through ``hosts`` together."""
        parameters = {"key": name, "echo": name, "poison": 1}
        futures = []
        for host in hosts:
            fields = {"parameters": parameters}
            if route == "order":
                fields["id"] = self.fleet.issue(host)
            futures.append(self.fleet.ask_soon(host, route, **fields))
        return [future.result() for future in futures]

    def check_limited(self, name, route, *waves):
        for wave in waves:
            self.send_poison(name, route, wave)
        replies = self.send_poison(name, route, self.fleet.hosts)
        self.assertLessEqual(self.count_crashes(), 2)
        self.assertEqual({r.outcome for r in replies}, {"refused_not_run"})

    def list_quarantined(self):
        """Return the (host, fingerprint) pairs that any host holds."""
        return {
            (host, entry["fingerprint"])
            for host in self.fleet.hosts
            for entry in self.fleet.call_admin(host, "/v1/quarantine").body[
                "quarantine"
            ]
        }

    def test_one_after_the_other(self):
        """Each copy under a new id would crash another replica."""
        waves = [[host] for host in self.fleet.hosts * 2]
        for route in ("lookup", "single", "order"):
            with self.subTest(route):
                self.setUp()
                self.check_limited(f"slow-{route}", route, *waves)

    def test_all_at_once(self):
        """Copies that race through all entries would each crash a replica."""
        for route in ("lookup", "single", "order"):
            with self.subTest(route):
                self.setUp()
                self.check_limited(f"race-{route}", route, self.fleet.hosts * 3)

    def test_innocent_requests(self):
        """Requests beside a poisonous one are answered and not quarantined."""
        fleet = self.fleet
        kinds = {
            "innocent": {
                "route": "lookup",
                "rate": 60,
                "deadline_ms": 5000,
                "popular_share": 0,
            }
        }
        load = fleet.load(kinds, 3.0, fleet.hosts)
        wait_until(lambda: len(fleet.ledger()["entries"]) > 200)
        self.send_poison("innocent", "lookup", fleet.hosts * 2)
        services = fleet.document["services"]
        crashed = {event["upstream"] for event in fleet.events("crash")}
        hit = {name for name in services if crashed & set(services[name]["replicas"])}
        shards = fleet.document["snapshots"][-1]["indexes"]["storefront"].items()
        excused = {f"storefront/{shard}" for shard, name in shards if name in hit}
        for record in load.result():
            self.assertIn(record.outcome, ("complete", "partial"), record.reason)
            self.assertLessEqual(set(record.missing), excused)
        self.assertIn(self.count_crashes(), (1, 2))

    def test_expiry(self):
        """A quarantine ends after its time; later copies are tried again."""
        fleet = self.fleet
        former = self.list_quarantined()
        path = "/policy/quarantine_ttl_s"
        fleet.patch({"op": "add", "path": path, "value": 2})
        fleet.wait_version()
        for _ in range(2):
            replies = self.send_poison("expiry", "lookup", fleet.hosts)
            replies += self.send_poison("expiry", "lookup", fleet.hosts)
            self.assertIn("quarantined", {r.body.get("code") for r in replies})
            wait_until(lambda: not self.list_quarantined() - former)
        self.assertIn(self.count_crashes(), (3, 4))
