"""Answers of replicas that end early, or in a way that does not show whether they are whole.

Guards against an answer that was broken off and reaches its caller framed as complete.
"""
import asyncio
import random
import time
import unittest

from platform_kit import HOST, Kit, event_text

ENDS = [b"", b": keep-alive\n\n", b"retry: 100\n\n"]


class WholeAnswers(unittest.TestCase):
    def setUp(self):
        self.kit = Kit()
        self.addCleanup(self.kit.close)
        self.kit.up()

    def send(self, path):
        rid = "%016x" % random.getrandbits(64)
        return rid, self.kit.loop.run(self.kit.stream(self.kit.fronts[0], path, rid))

    def send_until_run(self, path):
        """Repeats a request that is refused because all replicas have just failed, until one has run it."""
        end = time.time() + 10
        while time.time() < end:
            rid, (s, h, b) = self.send(path)
            if s != 503:
                return rid, s, b
            self.assertEqual(self.kit.runs_of(rid), [])
            time.sleep(0.1)
        self.fail("no request has run")

    def end_before_events(self, replicas, end):
        for r in self.kit.replicas:
            r.unframed = True
            r.empty_stream = end if r in replicas else None

    def test_stream_that_ends_with_its_connection_before_any_event_goes_on_elsewhere(self):
        for end in ENDS:
            self.end_before_events(self.kit.replicas[:1], end)
            tried_first = 0
            for _ in range(12):
                rid, (s, _, b) = self.send("/brief/1")
                self.assertEqual(s, 200, end)
                self.kit.check_stream(rid, b)
                tried_first += len(self.kit.runs_of(rid)) == 2
            self.assertGreater(tried_first, 0)

    def test_stream_that_ends_with_its_connection_before_any_event_is_not_complete(self):
        for path in ("/brief/1", "/alert/1"):
            for end in ENDS:
                self.end_before_events(self.kit.replicas, end)
                _, s, b = self.send_until_run(path)
                self.assertEqual((s, b), (502, b""), (path, end))

    def test_resumed_stream_that_ends_with_its_connection_before_any_event_is_not_complete(self):
        for r in self.kit.replicas:
            r.unframed, r.end_within, r.empty_resumed = True, 4, True
        rid, (s, _, b) = self.send("/brief/1")
        self.assertEqual([x["after"] for x in self.kit.runs_of(rid)], [0, 3])
        self.assertEqual(s, 0, b)

    def test_item_whose_run_ends_with_its_connection_before_any_event_is_run_again(self):
        self.end_before_events(self.kit.replicas, b"")
        lot, items = self.kit.lot(2)
        run = self.kit.loop.run
        self.assertEqual(run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        self.assertEqual(run(self.kit.read_whole(lot, 2)), [])
        self.end_before_events([], b"")
        results = run(self.kit.read_whole(lot, 20))
        self.assertEqual({r["id"]: r["output"] for r in results},
                         {x["id"]: self.kit.whole_text(x["id"]) for x in items})

    def play_lines_of_data(self, line_end):
        """Events of two lines of data and an empty one; the first runs break off within their fourth event."""
        self.kit.text_of = lambda run, n: (line_end + "data: ").join((event_text(run["id"], n), "second line", ""))
        for r in self.kit.replicas:
            r.break_after = 4
        lot, items = self.kit.lot(3)
        run = self.kit.loop.run
        self.assertEqual(run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        results = run(self.kit.read_whole(lot, 20))
        self.assertEqual({r["id"]: r["output"] for r in results},
                         {x["id"]: "\n".join(event_text(x["id"], n) + "\nsecond line\n" for n in range(1, 11)) for x in items})
        rid, (s, _, b) = self.send("/brief/1")
        self.assertEqual((s, b.decode()), (200, "".join("id: %d\ndata: %s%sdata: second line%sdata: \n\n" % (
            n, event_text(rid, n), line_end, line_end) for n in range(1, 11))))

    def test_text_of_an_item_has_all_lines_of_data_of_its_events(self):
        """Guards against a completed item whose output lacks all lines of an event but the last."""
        self.play_lines_of_data("\n")

    def test_text_of_an_item_has_all_lines_of_data_of_events_with_carriage_returns(self):
        self.play_lines_of_data("\r\n")

    def test_head_that_is_cut_is_no_answer(self):
        for unframed in (False, True):
            for cut in (0, 5, 12, 17, 40, 60, 90):
                for r in self.kit.replicas:
                    r.unframed, r.cut_head = unframed, cut
                rid, s, b = self.send_until_run("/alert/1")
                self.assertEqual((s, b), (502, b""), cut)
                self.assertEqual(len(self.kit.runs_of(rid)), 1)


class OldCallers(unittest.TestCase):
    """Callers that speak HTTP/1.0 know no chunks: for them an answer without length ends with its connection."""

    def setUp(self):
        self.kit = Kit()
        self.addCleanup(self.kit.close)
        self.kit.up()

    async def raw(self, rid):
        """All bytes of the answer, and whether the connection was reset."""
        front = self.kit.fronts[0]
        reader, writer = await asyncio.open_connection(front.ip, self.kit.port)
        writer.write(("POST /alert/1 HTTP/1.0\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nModel: m\r\n"
                      "Content-Length: 0\r\n\r\n" % (HOST, rid)).encode())
        got = b""
        try:
            while piece := await asyncio.wait_for(reader.read(65536), 6):
                got += piece
            return got, False
        except ConnectionResetError:
            return got, True
        finally:
            writer.close()

    def test_whole_stream_has_no_chunks(self):
        rid = "%016x" % random.getrandbits(64)
        got, reset = self.kit.loop.run(self.raw(rid))
        head, _, body = got.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head.lower())
        self.kit.check_stream(rid, body)
        self.assertFalse(reset)

    def test_stream_that_breaks_off_ends_with_a_reset(self):
        for r in self.kit.replicas:
            r.break_after = 4
        _, reset = self.kit.loop.run(self.raw("%016x" % random.getrandbits(64)))
        self.assertTrue(reset)

    def test_stream_of_a_killed_entry_ends_with_a_reset(self):
        for r in self.kit.replicas:
            r.silent_after = 4

        async def go():
            answer = asyncio.ensure_future(self.raw("%016x" % random.getrandbits(64)))
            await asyncio.sleep(0.5)
            self.kit.fronts[0].stop()
            self.kit.fronts[0].exit_expected = True
            return await answer
        self.assertTrue(self.kit.loop.run(go())[1])


if __name__ == "__main__":
    unittest.main()
