"""Items of a batch route that is removed from the config while they run, and whose runs then end early.

Guards against accepted items that are neither completed nor given up: they have no route to run by, and nothing looks at
them again. A run that goes on may complete the item.
"""
import asyncio
import time
import unittest

from platform_kit import Kit

ITEMS = 8           # as many as the replicas have slots
EVENTS = 300        # of an item: its run lasts longer than a test
LISTED_S = 6        # an item without a run is listed within this time, and so after DISPATCH_ADOPT_MS
IN_FORCE_S = 2      # applyMs: an acknowledged config is in force everywhere within this time


class RemovedRoute(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(fronts=2, replicas=2)
        self.addCleanup(self.kit.close)
        self.kit.up()
        for r in self.kit.replicas:
            r.events = EVENTS
        self.lot, self.items = self.kit.lot(ITEMS)
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.kit.fronts[0], self.lot, self.items)), 202)
        self.wait_for(lambda: len(self.running()) == ITEMS, "all items run")
        self.assertTrue(self.kit.loop.run(self.kit.submit(without="digest")))
        time.sleep(IN_FORCE_S)
        self.assertEqual(len(self.running()), ITEMS)
        for r in self.kit.replicas:
            r.events = 5        # of the requests that come now

    def wait_for(self, is_true, what, s=10):
        end = time.time() + s
        while not is_true():
            self.assertLess(time.time(), end, what)
            time.sleep(0.02)

    def running(self):
        """Ids of the items that run."""
        return {r["id"] for r in self.kit.runs if r["id"].startswith(self.lot) and r["ended"] is None}

    def check_stopped_items_are_listed(self, front):
        """All items whose runs have ended, and only they, are listed as given up."""
        stopped = {i["id"] for i in self.items} - self.running()
        self.assertTrue(stopped)
        listed = {}

        def all_listed():
            st, r = self.kit.loop.run(self.kit.read_lot(front, self.lot))
            if st == 200:
                listed.update({x["id"]: x["state"] for x in r["results"]})
            return set(listed) >= stopped
        self.wait_for(all_listed, "stopped items are listed", LISTED_S)
        self.assertEqual({listed[i] for i in stopped}, {"dead"})

    def test_item_that_is_preempted_after_its_route_was_removed_is_given_up(self):
        k = self.kit

        async def take_slots():
            return await asyncio.gather(*[k.stream(k.fronts[i % 2], "/brief/%d" % i, "online%02d" % i)
                                          for i in range(ITEMS)])
        self.assertEqual([a[0] for a in k.loop.run(take_slots())], [200] * ITEMS)
        self.check_stopped_items_are_listed(k.fronts[0])

    def test_item_whose_entry_is_killed_after_its_route_was_removed_is_given_up(self):
        runs = len(self.running())
        self.kit.fronts[0].stop()
        self.wait_for(lambda: len(self.running()) < runs, "runs of the killed entry end")
        self.check_stopped_items_are_listed(self.kit.fronts[1])

    def test_item_whose_replica_crashes_after_its_route_was_removed_is_given_up(self):
        k = self.kit
        back = asyncio.run_coroutine_threadsafe(k.replicas[0].crash(), k.loop.loop)
        self.wait_for(lambda: len(self.running()) < ITEMS, "runs of the crashed replica end")
        self.check_stopped_items_are_listed(k.fronts[0])
        back.result(10)


if __name__ == "__main__":
    unittest.main()
