"""Items whose runs fail while a new leader decodes its first config.

Guards against items that are given up after one failure, because the leader doesn't know yet how often they may fail.
"""
import time
import unittest

from platform_kit import Kit

ITEMS = 8
ROUTES = 4200       # a new leader takes long to decode them
FAIL_S = 0.6        # of a run that fails: it ends while there is no leader, which then hears of it at its start
DOWN_S = 0.8


class FailuresAtNewLeader(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(fronts=2, replicas=2)
        self.addCleanup(self.kit.close)
        self.kit.up(more=ROUTES)
        self.lot, self.items = self.kit.lot(ITEMS)
        self.ids = {x["id"] for x in self.items}

    def restart_during_failures(self, statuses):
        """Restarts all control processes while each item runs and then fails with its status."""
        for r in self.kit.replicas:
            r.item_statuses, r.status_delay_s = dict(statuses), FAIL_S
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.kit.fronts[0], self.lot, self.items)), 202)
        end = time.time() + 10
        while {r["id"] for r in self.kit.runs} < self.ids:
            self.assertLess(time.time(), end, "all items run")
            time.sleep(0.005)
        for c in self.kit.controls:
            c.stop()
        for r in self.kit.replicas:
            r.item_statuses = {}
        time.sleep(DOWN_S)
        for c in self.kit.controls:
            c.start()
        results = self.kit.loop.run(self.kit.read_whole(self.lot, 25))
        return {r["id"]: r["state"] for r in results}

    def test_item_that_failed_once_is_run_again(self):
        states = self.restart_during_failures({i: 500 for i in self.ids})
        self.assertEqual(states, {i: "completed" for i in self.ids})

    def test_item_that_is_impossible_is_given_up(self):
        states = self.restart_during_failures({i: 422 for i in self.ids})
        self.assertEqual(set(states), self.ids)


if __name__ == "__main__":
    unittest.main()
