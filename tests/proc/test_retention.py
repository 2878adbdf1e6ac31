"""Items whose retention is over, and items that are kept for very long.

Guards against items that are never listed because nothing else is committed when their time is over, and against times
that don't fit the fields that carry them.
"""
import time
import unittest

from platform_kit import Kit

RETENTION_S = 1
GIVEN_UP_S = RETENTION_S + 5 + 2    # with DROP_MARGIN_MS of the leader, and time for the commit
WAIT_S = 20         # of a read that waits for results
LONG_S = [24 * 86400, 25 * 86400, 30 * 86400, 3650 * 86400]


class ShortLived(Kit):
    """Lots are removed as soon as their items may be given up."""

    def before_start(self):
        for c in self.controls:
            c.settings["lot_ttl_ms"] = 1000 * RETENTION_S
            c.write_settings()


class Retention(unittest.TestCase):
    def start(self, retention, kit=Kit):
        self.kit = kit(fronts=1, replicas=1)
        self.addCleanup(self.kit.close)
        self.kit.up(retention=retention)

    def open_lot(self):
        lot, items = self.kit.lot(2)
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        return lot, items

    def test_items_past_their_retention_are_listed_though_nothing_else_happens(self):
        self.start(RETENTION_S)
        self.kit.replicas[0].full = True
        lot, items = self.open_lot()
        time.sleep(GIVEN_UP_S)
        status, r = self.kit.loop.run(self.kit.read_lot(self.kit.fronts[0], lot))
        self.assertEqual(status, 200)
        self.assertEqual({x["id"]: x["state"] for x in r["results"]}, {x["id"]: "dead" for x in items})

    def test_read_that_waits_for_a_lot_is_answered_when_the_lot_is_removed(self):
        self.start(RETENTION_S, ShortLived)
        self.kit.replicas[0].full = True
        lot, _ = self.open_lot()
        began = time.time()
        status, _ = self.kit.loop.run(self.kit.read_lot(self.kit.fronts[0], lot, 0, 1000 * WAIT_S))
        self.assertEqual(status, 404)
        self.assertLess(time.time() - began, GIVEN_UP_S)

    def test_items_that_are_kept_for_long_are_run(self):
        self.start(60)
        for retention in LONG_S:
            self.assertTrue(self.kit.loop.run(self.kit.submit(retention=retention)))
            time.sleep(1)
            lot, items = self.open_lot()
            results = self.kit.loop.run(self.kit.read_whole(lot, 5))
            self.assertEqual({x["id"]: x["state"] for x in results}, {x["id"]: "completed" for x in items}, retention)
            for x in items:
                self.assertGreater(int(self.kit.runs_of(x["id"])[0]["wait"]), 23 * 86400 * 1000)


if __name__ == "__main__":
    unittest.main()
