"""A replica writes a refusal a second time on a keep-alive connection, before its answer to the next request.

Guards against a repeated refusal that is taken for the answer to a run: its caller is told that the request has not run,
or it runs a second time.
"""
import random
import unittest

from platform_kit import Kit


class RepeatedRefusal(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(controls=1, fronts=1, replicas=1)
        self.addCleanup(self.kit.close)
        self.kit.up()
        self.replica, = self.kit.replicas
        self.replica.refuses_first, self.replica.repeats_refusals = set(), True

    def test_items_run_once_after_a_refusal(self):
        for _ in range(3):
            lot, items = self.kit.lot(1)
            self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
            x, = self.kit.loop.run(self.kit.read_whole(lot))
            self.assertEqual(x["output"], self.kit.whole_text(x["id"]))
            self.assertEqual([r["end"] for r in self.kit.runs_of(x["id"])], ["done"])

    def check_online(self, path):
        """Sends requests of which every second one is refused at first; what is refused has not run."""
        for i in range(12):
            rid = "%016x" % random.getrandbits(64)
            if i % 2:
                self.replica.refuses_first.add(rid)
            s, _, b = self.kit.loop.run(self.kit.stream(self.kit.fronts[0], path, rid, wait_ms=1500))
            if s == 200:
                self.kit.check_stream(rid, b)
            else:
                self.assertEqual((s, self.kit.runs_of(rid)), (503, []))
            if i % 2:
                self.assertEqual((s, len(self.kit.runs_of(rid))), (200, 1))

    def test_resumable_requests_are_not_refused_after_a_run(self):
        self.check_online("/brief/1")

    def test_unresumable_requests_are_not_refused_after_a_run(self):
        self.check_online("/alert/1")


if __name__ == "__main__":
    unittest.main()
