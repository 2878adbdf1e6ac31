"""Items whose runs fail while leaders change.

Guards against items that are given up after one failure, because a new leader doesn't know yet how often they may fail,
and against items that may fail as often again with each leader, because it doesn't know the failures before.
"""
import time
import unittest

from platform_kit import Kit

ITEMS = 8
ROUTES = 4200       # a new leader takes long to decode them
FAIL_S = 0.6        # of a run that fails: it ends while there is no leader, which then hears of it at its start
DOWN_S = 0.8
ATTEMPTS = 3        # of the route
KILLS = 4


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


class FailuresOverLeaders(unittest.TestCase):
    def test_failures_before_a_new_leader_count(self):
        kit = Kit(fronts=2, replicas=2)
        self.addCleanup(kit.close)
        kit.up()
        lot, items = kit.lot(1)
        item = items[0]["id"]
        for r in kit.replicas:
            r.item_statuses, r.status_delay_s = {item: 500}, 0.3

        def failed():
            return sum(r["end"] == 500 for r in kit.runs_of(item))
        self.assertEqual(kit.loop.run(kit.open_lot(kit.fronts[0], lot, items)), 202)
        for _ in range(KILLS):
            had = failed()
            end = time.time() + 4       # until this leader has counted two failures and the next run has begun
            while time.time() < end and not (failed() >= had + 2 and len(kit.runs_of(item)) > failed()):
                time.sleep(0.005)
            for c in kit.controls:
                c.stop()
            time.sleep(0.3)
            for c in kit.controls:
                c.start()
        results = kit.loop.run(kit.read_whole(lot, 25))
        self.assertEqual([r["state"] for r in results], ["dead"])
        self.assertEqual(failed(), ATTEMPTS)


if __name__ == "__main__":
    unittest.main()
