"""Replicas whose answers have a status that HTTP does not know.

Guards against such an answer that is passed on to its caller, or taken for an interim one, so that the caller waits for
its whole time.
"""
import time
import unittest

from platform_kit import Kit

STATUSES = [0, 99, 600, 999]
AT_ONCE_S = 1       # of the caller's 5 s


class OddStatus(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(fronts=1, replicas=3)
        self.addCleanup(self.kit.close)
        self.kit.up()

    def send(self, path, status, replicas):
        """Sends a request to which these replicas answer with the status; returns its id, the answer and the seconds."""
        rid = "status%03d%s" % (status, path[1:6])
        for r in self.kit.replicas:
            r.item_statuses = {rid: status} if r in replicas else {}
        began = time.time()
        s, _, b = self.kit.loop.run(self.kit.stream(self.kit.fronts[0], path, rid))
        return rid, s, b, time.time() - began

    def test_request_that_may_not_run_again_fails_at_once(self):
        for status in STATUSES:
            rid, s, b, seconds = self.send("/alert/1", status, self.kit.replicas)
            self.assertEqual((s, b != b"no"), (502, True), status)
            self.assertLess(seconds, AT_ONCE_S, status)
            self.assertEqual(len(self.kit.runs_of(rid)), 1)
            time.sleep(1)       # until the replica that has failed gets work again

    def test_request_that_may_run_again_goes_on_elsewhere(self):
        for status in STATUSES:
            for replica in self.kit.replicas:
                rid, s, b, seconds = self.send("/brief/1", status, [replica])
                self.assertEqual(s, 200, status)
                self.kit.check_stream(rid, b)
                self.assertLess(seconds, AT_ONCE_S + 0.3, status)

    def test_item_is_run_again(self):
        lot, items = self.kit.lot(2)
        first = self.kit.replicas[:2]
        for r in first:
            r.item_statuses = {x["id"]: 0 for x in items}
        run = self.kit.loop.run
        self.assertEqual(run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        results = run(self.kit.read_whole(lot, 15))
        self.assertEqual({r["id"]: (r["state"], r["output"]) for r in results},
                         {x["id"]: ("completed", self.kit.whole_text(x["id"])) for x in items})


if __name__ == "__main__":
    unittest.main()
