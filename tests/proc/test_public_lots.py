"""Lots that are opened on a public batch route, in a config with customers, and what changes of that route do to them.

Guards against an accepted lot that whoever opened it can't read or end any more.
"""
import json
import time
import unittest

from lots_kit import LotCalls
from platform_kit import HOST, Kit
from test_customers import ADA, BOB, key

IN_FORCE_S = 1      # an acknowledged config is in force everywhere within this time


class PublicKit(Kit):
    public = True

    def config(self, version, **changes):
        conf = super().config(version, **changes)
        for r in conf["routes"]:
            if r["kind"] == "batch":
                r["public"] = self.public
        return conf


class PublicLots(LotCalls, unittest.TestCase):
    def setUp(self):
        self.kit = PublicKit(fronts=2, replicas=2, revoke_ms=2500)
        self.addCleanup(self.kit.close)
        self.kit.up(tenants=[ADA, BOB])

    def submit(self, public=True, **changes):
        self.kit.public = public
        self.assertTrue(self.kit.loop.run(self.kit.submit(tenants=[ADA, BOB], **changes)))
        time.sleep(IN_FORCE_S)

    def test_lot_opened_with_a_key_is_read_with_a_key_of_the_customer(self):
        lot, items = self.open(headers=key("ada-key-1"))
        self.wait_done(lot, items, key("ada-key-2"))
        self.assertEqual(self.read(1, lot, key("bob-key-1"))[0], 404)
        for x in items:
            h = self.kit.runs_of(x["id"])[0]["headers"]
            self.assertEqual(h.get("tenant"), "ada")
            self.assertNotIn("authorization", h)

    def test_lot_opened_without_a_key_is_read_after_its_route_was_removed(self):
        lot, items = self.open()
        self.wait_done(lot, items)
        self.submit(without="digest")
        for front in (0, 1):
            self.assertEqual(self.read(front, lot), (200, {x["id"] for x in items}))

    def test_lot_opened_without_a_key_is_read_and_ended_after_its_route_needs_one(self):
        for r in self.kit.replicas:
            r.events = 400
        lot, items = self.open()
        self.submit(public=False)
        self.assertEqual(self.read(1, lot)[0], 200)
        self.assertEqual(self.body(1, lot, items[0]["id"]), (200, b"item body0"))
        self.assertEqual(self.kit.loop.run(self.kit.end_lot(self.kit.fronts[1], lot)), 200)
        self.wait_stopped()

    def test_lot_that_comes_again_is_the_same_whether_its_route_is_public(self):
        for r in self.kit.replicas:
            r.events = 400
        self.submit(public=False)
        lot, items = self.open(headers=key("ada-key-1"))
        self.submit()
        self.open(lot=lot, headers=key("ada-key-1"))
        time.sleep(2)
        for x in items:
            self.assertEqual(len(self.kit.runs_of(x["id"])), 1)

    def test_calls_without_a_key_find_no_lot_of_a_customer_and_leave_nothing_behind(self):
        self.submit(public=False)
        lot, _ = self.open(headers=key("ada-key-1"))
        call = self.kit.call
        for method, path in (("GET", "/lots/" + lot + "?after=0"), ("GET", "/items/%s?id=%s00" % (lot, lot)),
                             ("DELETE", "/lots/" + lot), ("DELETE", "/lots/unknown")):
            s, h, _ = self.kit.loop.run(call(self.kit.fronts[0].ip, self.kit.port, method, path, [("Host", HOST)]))
            self.assertEqual((s, h.get("www-authenticate")), (401, "Bearer"), path)
        self.submit()
        # An end of a lot that isn't known would end it when it is opened later.
        self.open(lot="unknown")
        self.assertEqual(json.dumps(self.read(0, "unknown")[0]), "200")
        self.wait_done("unknown", self.kit.lot(2, "unknown")[1])


if __name__ == "__main__":
    unittest.main()
