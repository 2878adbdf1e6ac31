"""Entries that link again to a leader that stood still."""
import signal
import time
import unittest

from disk_kit import DiskTest


class Relink(DiskTest):
    kit_options = {"controls": 1, "fronts": 1, "replicas": 2, "slots": 4}

    def test_items_run_on_when_their_entry_links_again_to_a_leader_that_stood_still(self):
        for r in self.kit.replicas:
            r.events = 200
        front, leader, runs = self.kit.fronts[0], self.kit.leader(), self.kit.runs
        lot, items = self.kit.lot(4)
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(front, lot, items)), 202)
        end = time.time() + 5
        while len(runs) < 4:
            self.assertLess(time.time(), end, "not all items run")
            time.sleep(0.01)
        time.sleep(0.5)
        leader.signal(signal.SIGSTOP)
        time.sleep(0.9)
        leader.signal(signal.SIGCONT)
        self.assertEqual(len(self.kit.loop.run(self.kit.read_whole(lot, 8))), 4)
        self.assertGreater(front.log_text().count("event=leader_found"), 1)
        self.assertEqual([r["end"] for r in runs], ["done"] * 4)


if __name__ == "__main__":
    unittest.main()
