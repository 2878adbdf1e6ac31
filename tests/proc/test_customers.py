"""End-to-end tests of customers: their API keys, the revocation of keys, quotas and lots, with real control processes
and entries.

Guards against requests that run without a valid key or for another customer, against keys that reach a replica or a log
line, and against revoked keys that still work at an entry that is cut off or was frozen.
"""
import asyncio
import json
import random
import signal
import time
import unittest

from platform_kit import HOST, Kit

REVOKE_MS = 2500


def key(k):
    return [("Authorization", "Bearer " + k)]


def customer(name, *keys, **fields):
    return dict({"name": name, "apiKeys": list(keys)}, **fields)


ADA = customer("ada", "ada-key-1", "ada-key-2")
BOB = customer("bob", "bob-key-1")


class CustomerCase(unittest.TestCase):
    kit_args = {"revoke_ms": REVOKE_MS, "fronts": 2}
    tenants = [ADA, BOB]

    def setUp(self):
        self.kit = Kit(**self.kit_args)
        self.addCleanup(self.kit.close)
        self.kit.up(tenants=self.tenants)

    def run_one(self, coro):
        return self.kit.loop.run(coro)

    def run_all(self, *coros):
        async def go():
            return await asyncio.gather(*coros)
        return self.kit.loop.run(go())

    def rid(self):
        return "%016x" % random.getrandbits(64)

    def send(self, front, path="/brief/1", headers=()):
        """Sends a request; returns its id, status and answer headers."""
        rid = self.rid()
        s, h, _ = self.run_one(self.kit.stream(self.kit.fronts[front], path, rid, headers=headers))
        return rid, s, h

    def submit(self, tenants):
        """Submits a config with these customers; returns the time of its acknowledgement."""
        self.assertTrue(self.run_one(self.kit.submit(tenants=tenants)))
        return time.time()


class Keys(CustomerCase):
    def test_replica_gets_the_customer_of_the_key_and_not_the_key(self):
        rid, s, _ = self.send(0, headers=key("ada-key-2") + [("tenant", "bob"), ("Tenant", "bob")])
        self.assertEqual(s, 200)
        run, = self.kit.runs_of(rid)
        self.assertEqual(run["headers"].get("tenant"), "ada")
        self.assertNotIn("authorization", run["headers"])

    def test_requests_without_a_valid_key_do_not_run(self):
        for headers in ([], key("nobody"), [("Authorization", "Basic ada-key-1")], key("ada-key-1") * 2,
                        key("k" * 300), key(""), key("ada-key-1 x")):
            rid, s, h = self.send(1, headers=headers)
            self.assertEqual(s, 401, headers)
            self.assertEqual(h["www-authenticate"], "Bearer")
            self.assertEqual(self.kit.runs_of(rid), [])

    def test_public_routes_need_no_key_and_pass_none_on(self):
        rid, s, _ = self.send(0, "/open/1", key("nobody") + [("Tenant", "bob")])
        self.assertEqual(s, 200)
        run, = self.kit.runs_of(rid)
        self.assertNotIn("authorization", run["headers"])
        self.assertNotIn("tenant", run["headers"])

    def test_unknown_routes_are_404_with_or_without_a_key(self):
        self.assertEqual(self.send(0, "/none/1")[1], 404)
        self.assertEqual(self.send(0, "/none/1", key("ada-key-1"))[1], 404)

    def test_broken_stream_names_the_customer_at_the_next_replica(self):
        for r in self.kit.replicas:
            r.break_after = 4
        rid, s, _ = self.send(0, headers=key("bob-key-1"))
        runs = self.kit.runs_of(rid)
        self.assertGreater(len(runs), 1)
        self.assertEqual({r["headers"].get("tenant") for r in runs}, {"bob"})
        self.assertFalse([r for r in runs if "authorization" in r["headers"]])

    def test_no_key_is_logged(self):
        self.send(0, headers=key("ada-key-1"))
        self.send(0, headers=key("unknown-key-1"))
        bad = self.kit.config(self.kit.version + 5, tenants=[ADA, customer("eve", "ada-key-1")])
        s, _, b = self.run_one(self.kit.call(self.kit.controls[0].ip, self.kit.port + 2, "POST", "/config/put", [],
                                             json.dumps(bad).encode(), 3))
        self.assertEqual(s, 400)
        self.assertNotIn(b"ada-key", b)
        for p in self.kit.fronts + self.kit.controls:
            for k in ("ada-key", "bob-key", "unknown-key"):
                self.assertNotIn(k, p.log_text(), p.name)


class Revocation(CustomerCase):
    def test_key_added_and_revoked_at_all_entries(self):
        self.submit([ADA, customer("bob", "bob-key-1", "bob-key-2")])
        time.sleep(0.3)
        for i in range(2):
            self.assertEqual(self.send(i, headers=key("bob-key-2"))[1], 200)
        self.submit([ADA, customer("bob", "bob-key-2")])
        time.sleep(0.3)
        for i in range(2):
            self.assertEqual(self.send(i, headers=key("bob-key-1"))[1], 401)
            self.assertEqual(self.send(i, headers=key("bob-key-2"))[1], 200)

    def test_revoked_key_does_not_run_at_an_entry_that_was_frozen(self):
        """Requests that reach a frozen entry are read when it wakes, before it has heard of the new config."""
        frozen = self.kit.fronts[0]
        frozen.signal(signal.SIGSTOP)
        self.addCleanup(frozen.signal, signal.SIGCONT)
        acked = self.submit([BOB])
        time.sleep(max(0, acked + REVOKE_MS / 1000 + 0.3 - time.time()))

        async def go():
            rids = [self.rid() for _ in range(20)]
            calls = [asyncio.ensure_future(self.kit.stream(frozen, "/brief/1", r, headers=key("ada-key-1"))) for r in rids]
            await asyncio.sleep(0.5)
            frozen.signal(signal.SIGCONT)
            return rids, await asyncio.gather(*calls)
        rids, got = self.run_one(go())
        self.assertEqual([r for r in rids if self.kit.runs_of(r)], [])
        self.assertTrue({s for s, _, _ in got} <= {401, 503}, got)
        self.assertEqual(self.send(0, headers=key("bob-key-1"))[1], 200)

    def test_entry_without_a_leader_serves_keys_until_its_proof_ends(self):
        self.assertEqual(self.send(0, headers=key("ada-key-1"))[1], 200)
        for c in self.kit.controls:
            c.signal(signal.SIGSTOP)
            self.addCleanup(c.signal, signal.SIGCONT)
        stopped = time.time()
        time.sleep(1)
        self.assertEqual(self.send(0, headers=key("ada-key-1"))[1], 200)
        time.sleep(max(0, stopped + REVOKE_MS / 1000 - time.time()))
        rid, s, h = self.send(0, headers=key("ada-key-1"))
        self.assertEqual(s, 503)
        self.assertIn("retry-after", h)
        self.assertEqual(self.kit.runs_of(rid), [])
        self.assertEqual(self.send(0, "/open/1")[1], 200)
        for c in self.kit.controls:
            c.signal(signal.SIGCONT)
        end = time.time() + 10
        while self.send(0, headers=key("ada-key-1"))[1] != 200:
            self.assertLess(time.time(), end)
            time.sleep(0.1)
        self.assertIn("event=proof_lost", self.kit.fronts[0].log_text())

    def test_stream_is_finished_although_its_key_is_revoked(self):
        for r in self.kit.replicas:
            r.events = 60

        async def go():
            rid = self.rid()
            call = asyncio.ensure_future(self.kit.stream(self.kit.fronts[0], "/brief/1", rid, headers=key("ada-key-1")))
            await asyncio.sleep(0.3)
            await self.kit.submit(tenants=[BOB])
            return rid, await call
        rid, (s, _, b) = self.run_one(go())
        self.assertEqual(s, 200)
        self.kit.check_stream(rid, b, 60)


class Quotas(CustomerCase):
    tenants = [customer("ada", "ada-key-1", ratePerS=4, burst=4), customer("bob", "bob-key-1")]

    def burst(self, k, n, seconds):
        """Sends n requests a second at all entries; returns the number that ran."""
        async def go():
            rids, tasks = [], []
            for i in range(int(n * seconds)):
                rids.append(self.rid())
                tasks.append(asyncio.ensure_future(self.kit.stream(
                    self.kit.fronts[i % 2], "/brief/1", rids[-1], headers=key(k))))
                await asyncio.sleep(1 / n)
            return rids, [s for s, _, _ in await asyncio.gather(*tasks)]
        rids, statuses = self.run_one(go())
        return sum(1 for r in rids if self.kit.runs_of(r)), statuses

    def test_customer_over_its_quota_is_refused_and_others_are_not(self):
        ran, statuses = self.burst("ada-key-1", 30, 5)
        bound = (4 * 5 + 4) * 1.1 + 20
        self.assertLessEqual(ran, bound)
        self.assertGreaterEqual(ran, 4 * 5)
        self.assertIn(429, statuses)
        self.assertEqual(set(self.burst("bob-key-1", 15, 1)[1]), {200})

    def test_quota_holds_over_a_kill_of_the_leader(self):
        async def kill():
            await asyncio.sleep(2.5)
            leader = self.kit.leader()
            leader.signal(signal.SIGKILL)
        killed = asyncio.run_coroutine_threadsafe(kill(), self.kit.loop.loop)
        ran, statuses = self.burst("ada-key-1", 30, 5)
        killed.result(5)
        self.assertLessEqual(ran, (4 * 5 + 4) * 1.1 + 20)
        self.assertIn(429, statuses)


class CustomerLots(CustomerCase):
    def read_all(self, lot, k):
        end = time.time() + 15
        while time.time() < end:
            s, r = self.run_one(self.kit.read_lot(self.kit.fronts[0], lot, 0, 500, key(k)))
            if s == 200 and len(r["results"]) == r["total"]:
                return r["results"]
        self.fail("lot %s was not finished" % lot)

    def test_items_carry_the_customer_and_any_key_of_it_reads_the_lot(self):
        lot, items = self.kit.lot(4)
        for it in items:
            it["headers"].update({"tenant": "bob", "Authorization": "Bearer bob-key-1"})
        self.assertEqual(self.run_one(self.kit.open_lot(self.kit.fronts[0], lot, items, key("ada-key-1"))), 202)
        self.submit([customer("ada", "ada-key-2"), BOB])
        time.sleep(0.3)
        self.assertEqual(len(self.read_all(lot, "ada-key-2")), 4)
        for it in items:
            for run in self.kit.runs_of(it["id"]):
                self.assertEqual(run["headers"].get("tenant"), "ada")
                self.assertNotIn("authorization", run["headers"])

    def test_another_customer_finds_nothing_and_blocks_nothing(self):
        front = self.kit.fronts[0]
        lot, items = self.kit.lot(3)
        other = [dict(it, id=it["id"] + "b") for it in items]
        self.assertEqual(self.run_one(self.kit.end_lot(front, lot, key("bob-key-1"))), 200)
        self.assertEqual(self.run_one(self.kit.open_lot(front, lot, items, key("ada-key-1"))), 202)
        self.assertEqual(self.run_one(self.kit.read_lot(front, lot, headers=key("bob-key-1")))[0], 404)
        s, _, _ = self.run_one(self.kit.call(front.ip, self.kit.port, "GET", "/items/%s?id=%s" % (lot, items[0]["id"]),
                                             [("Host", HOST)] + key("bob-key-1"), b"", 4))
        self.assertEqual(s, 404)
        self.assertEqual(self.run_one(self.kit.end_lot(front, lot, key("bob-key-1"))), 200)
        self.assertEqual(len(self.read_all(lot, "ada-key-1")), 3)
        self.assertEqual(self.run_one(self.kit.read_lot(front, lot))[0], 401)
        second = "%08x" % random.getrandbits(32)
        self.assertEqual(self.run_one(self.kit.open_lot(front, second, other, key("bob-key-1"))), 202)

    def test_each_customer_has_its_own_quota_of_waiting_tokens(self):
        self.assertTrue(self.run_one(self.kit.submit(tenants=[ADA, BOB], quota=550 * 5)))
        time.sleep(0.3)
        for r in self.kit.replicas:
            r.events = 200
        big, big_items = self.kit.lot(5)
        more, more_items = self.kit.lot(3)
        bobs, bob_items = self.kit.lot(5)
        f = self.kit.fronts[0]
        self.assertEqual(self.run_one(self.kit.open_lot(f, big, big_items, key("ada-key-1"))), 202)
        self.assertEqual(self.run_one(self.kit.open_lot(f, more, more_items, key("ada-key-2"))), 429)
        self.assertEqual(self.run_one(self.kit.open_lot(f, bobs, bob_items, key("bob-key-1"))), 202)


if __name__ == "__main__":
    unittest.main()
