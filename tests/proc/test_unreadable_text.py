"""Items whose texts are no UTF-8, so that no JSON can carry them as they are.

Guards against a lot whose results can't be read because of a wrong byte in the text of one item.
"""
import socket
import time
import unittest

from platform_kit import HOST, Kit, event_text

ITEMS = 6
ODD_EVENT = 4
BYTE = "\udcff"         # sent as the byte 0xff
REPLACED = "\ufffd"
MOST_RUNS = 3           # of an item whose text is no UTF-8 in any of them


class OddKit(Kit):
    odd_item = None         # whose texts are changed
    odd_runs = None         # of this item that are still to be changed; None: all
    odd_texts = {ODD_EVENT: "a%sb" % BYTE}

    def text_of(self, run, n):
        if run["id"] != self.odd_item or n not in self.odd_texts:
            return event_text(run["id"], n)
        if self.odd_runs is not None:
            if self.odd_runs == 0:
                return event_text(run["id"], n)
            self.odd_runs -= 1
        return self.odd_texts[n]


class UnreadableText(unittest.TestCase):
    def setUp(self):
        self.kit = OddKit(fronts=2, replicas=3)
        self.addCleanup(self.kit.close)
        self.kit.up()

    def run_lot(self):
        """Opens a lot with one odd item and reads it; returns its items and the results by item."""
        lot, items = self.kit.lot(ITEMS)
        self.kit.odd_item = items[1]["id"]
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        results = self.kit.loop.run(self.kit.read_whole(lot, 15))
        self.assertEqual([r["state"] for r in results], ["completed"] * ITEMS)
        for f in self.kit.fronts:       # at each entry, and whole
            status, r = self.kit.loop.run(self.kit.read_lot(f, lot))
            self.assertEqual((status, r["results"]), (200, results))
        return items, {r["id"]: r["output"] for r in results}

    def check_sound_items(self, items, texts):
        for x in items:
            if x["id"] != self.kit.odd_item:
                self.assertEqual(texts[x["id"]], self.kit.whole_text(x["id"]))
                self.assertEqual(len(self.kit.runs_of(x["id"])), 1)

    def odd_text(self):
        """What a decoder of event streams makes of the odd item's text."""
        n = self.kit.replicas[0].events
        return "\n".join(self.kit.odd_texts.get(i, event_text(self.kit.odd_item, i)) for i in range(1, n + 1)).encode(
            errors="surrogateescape").decode(errors="replace")

    def test_item_whose_text_was_damaged_is_run_again(self):
        self.kit.odd_runs = 1
        items, texts = self.run_lot()
        self.check_sound_items(items, texts)
        self.assertEqual(texts[self.kit.odd_item], self.kit.whole_text(self.kit.odd_item))
        self.assertEqual(len(self.kit.runs_of(self.kit.odd_item)), 2)

    def test_item_whose_text_was_damaged_before_its_progress_was_saved_is_run_again(self):
        """The run lasts longer than the time between two reports to the leader."""
        for r in self.kit.replicas:
            r.events = 150
        self.kit.odd_runs = 1
        items, texts = self.run_lot()
        self.check_sound_items(items, texts)
        self.assertEqual(texts[self.kit.odd_item], self.kit.whole_text(self.kit.odd_item))

    def test_item_whose_text_is_never_utf8_is_listed_with_replacement_characters(self):
        items, texts = self.run_lot()
        self.check_sound_items(items, texts)
        self.assertIn("a%sb" % REPLACED, texts[self.kit.odd_item])
        self.assertEqual(texts[self.kit.odd_item], self.odd_text())
        self.assertLessEqual(len(self.kit.runs_of(self.kit.odd_item)), MOST_RUNS)

    def test_character_that_a_replica_splits_between_two_events_is_no_damage(self):
        self.kit.odd_texts = {3: "a\udcc3", 4: "\udca9b"}
        items, texts = self.run_lot()
        self.check_sound_items(items, texts)
        self.assertEqual(texts[self.kit.odd_item], self.odd_text())
        self.assertEqual(len(self.kit.runs_of(self.kit.odd_item)), 1)

    def test_request_with_an_id_that_is_no_utf8_leaves_a_log_that_is(self):
        with socket.create_connection((self.kit.fronts[0].ip, self.kit.port), 1) as c:
            c.sendall(b"GET /none/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: r\xff1\r\n\r\n" % HOST.encode())
            self.assertIn(b" 404 ", c.recv(100))
        time.sleep(0.2)
        for p in self.kit.fronts + self.kit.controls:
            with open(p.log, "rb") as f:
                f.read().decode()


if __name__ == "__main__":
    unittest.main()
