"""Items whose texts are to become parts of a request's head.

Guards against a request that a replica runs although no client sent it, smuggled in an item's id, path or headers, and
against items with unusual but sound texts that never end.
"""
import asyncio
import random
import time
import unittest

from platform_kit import HOST, Kit

SMUGGLED = "\r\nContent-Length: 0\r\n\r\nPOST /alert/smuggled HTTP/1.1\r\nHost: %s\r\nRequest-Id: smuggled" % HOST
BAD_VALUES = ["x" + SMUGGLED, "x\r\nModel: other", "x\nModel: other", "x\rModel: other", "x\x0b", "x\x7f", "\r\n"]
# Headers that say how the request is read, or that the entry sets itself.
OWN_HEADERS = {"Content-Length": "0", "content-length": "3", "Transfer-Encoding": "chunked", "Connection": "close, Model",
               "Host": "other.example", "Request-Id": "other", "Expect-Instance": "i-other", "Last-Event-Id": "7",
               "Deadline-Ms": "1", "Upgrade": "h2c", "Expect": "100-continue", "TE": "trailers"}


class ItemHeads(unittest.TestCase):
    def setUp(self):
        self.kit = Kit()
        self.addCleanup(self.kit.close)
        self.kit.up()

    def open(self, change):
        """Opens a lot whose second item is changed; returns (status, lot, items)."""
        lot, items = self.kit.lot(3)
        change(items[1])
        return self.kit.loop.run(self.kit.open_lot(self.kit.fronts[0], lot, items)), lot, items

    def test_lot_with_an_item_that_would_break_its_head_is_refused_whole(self):
        changes = [lambda it, v=v: it.update(id=v) for v in BAD_VALUES + ["", " x", "x "]]
        changes += [lambda it, v=v: it.update(path="/digest/" + v) for v in BAD_VALUES + ["a b"]]
        changes += [lambda it, v=v: it["headers"].update(Note=v) for v in BAD_VALUES]
        changes += [lambda it, v=v: it["headers"].update({v: "x"}) for v in BAD_VALUES + ["", "a b", "a:b", "ä"]]
        for i, change in enumerate(changes):
            status, lot, items = self.open(change)
            self.assertEqual(status, 400, (i, items[1]))
        time.sleep(1)
        self.assertEqual(self.kit.runs, [])

    def test_headers_that_the_entry_sets_are_not_those_of_the_item(self):
        status, lot, items = self.open(lambda it: it["headers"].update(OWN_HEADERS))
        self.assertEqual(status, 202)
        results = self.kit.loop.run(self.kit.read_whole(lot, 10))
        self.assertEqual({r["id"]: r["output"] for r in results}, {x["id"]: self.kit.whole_text(x["id"]) for x in items})
        self.assertLessEqual({r["id"] for r in self.kit.runs}, {x["id"] for x in items})
        run, = self.kit.runs_of(items[1]["id"])
        self.assertEqual((run["body"], run["headers"]["host"], run["model"], run["after"]), (b"item body1", HOST, "m", 0))

    def test_unusual_ids_are_run(self):
        """Guards against an answer that is taken for another request's, as only a part of a long id was kept."""
        status, lot, items = self.open(lambda it: it["headers"].update({"Note": " a\tb ", "Empty": ""}))
        self.assertEqual(status, 202)
        for rid in ("i" * 64, "i" * 300, "a:b/c?d=e%20f", "a \"b\" <c>, d;e"):
            status, lot, items = self.open(lambda it, rid=rid: it.update(id=rid))
            self.assertEqual(status, 202, rid)
            results = self.kit.loop.run(self.kit.read_whole(lot, 5))
            self.assertEqual(sorted(r["id"] for r in results), sorted(x["id"] for x in items), rid)

    def test_requests_with_long_ids_are_answered(self):
        for n in (63, 64, 300):
            rid = "r" * n
            s, _, b = self.kit.loop.run(self.kit.stream(self.kit.fronts[0], "/alert/1", rid))
            self.assertEqual(s, 200, n)
            self.kit.check_stream(rid, b)


if __name__ == "__main__":
    unittest.main()
