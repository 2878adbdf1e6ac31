"""Calls on lots, for test cases with a platform_kit.Kit in `kit`."""
import time

from platform_kit import HOST


class LotCalls:
    def open(self, n=2, lot=None, headers=(), front=0):
        lot, items = self.kit.lot(n, lot)
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.kit.fronts[front], lot, items, headers)), 202)
        return lot, items

    def read(self, front, lot, headers=()):
        """Reads until the answer isn't 503; returns the status and the ids of the results."""
        end = time.time() + 5
        while True:
            s, r = self.kit.loop.run(self.kit.read_lot(self.kit.fronts[front], lot, 0, 0, headers))
            if s != 503 or time.time() > end:
                return s, {x["id"] for x in r["results"]} if r else None
            time.sleep(0.05)

    def body(self, front, lot, item, headers=()):
        """Reads the body of an item; returns the status and the body."""
        s, _, body = self.kit.loop.run(self.kit.call(
            self.kit.fronts[front].ip, self.kit.port, "GET", "/items/%s?id=%s" % (lot, item), [("Host", HOST)] + list(headers)))
        return s, body

    def wait_done(self, lot, items, headers=()):
        ids = {x["id"] for x in items}
        end = time.time() + 10
        while self.read(0, lot, headers)[1] != ids:
            self.assertLess(time.time(), end)
            time.sleep(0.1)

    def wait_stopped(self):
        """Waits until no replica runs anything."""
        end = time.time() + 5
        while any(r["ended"] is None for r in self.kit.runs):
            self.assertLess(time.time(), end, "the items of the ended lot are stopped")
            time.sleep(0.05)
