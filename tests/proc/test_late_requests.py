"""Requests that come late in the planned stop of an entry, on connections that were open before it.

Guards against a request that is passed on although the entry ends before its run does, and is cut without an answer.
"""
import asyncio
import random
import signal
import time
import unittest

from platform_kit import HOST, Kit

GRACE_S = 4         # of the kit's entries
STEP_S = 0.07
EVENTS = 45         # about 0.9 s
SERVED_S = 1.8      # requests sent this long after the signal end in time even if their runs take twice as long


class Connection:
    """A caller's connection that is kept open and used for one request later."""

    def __init__(self, kit, front):
        self.kit, self.front = kit, front
        self.status, self.headers, self.complete, self.sent_at = 0, {}, False, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.front.ip, self.kit.port)

    async def send(self, path, rid, method="POST", headers=""):
        self.rid, self.sent_at = rid, time.time()
        try:
            self.writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nModel: m\r\n%s"
                               "Content-Length: 0\r\n\r\n" % (method, path, HOST, rid, headers)).encode())
            await self.read()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writer.transport.abort()

    async def read(self):
        line = (await self.reader.readline()).split()
        if not line:
            return
        self.status = int(line[1])
        while (h := (await self.reader.readline()).decode().strip()):
            k, _, v = h.partition(":")
            self.headers[k.lower()] = v.strip()
        if "content-length" in self.headers:
            await self.reader.readexactly(int(self.headers["content-length"]))
        else:
            while (size := int(await self.reader.readline(), 16)):
                await self.reader.readexactly(size + 2)
            await self.reader.readexactly(2)
        self.complete = True


class LateRequests(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(replicas=4, slots=8)
        self.addCleanup(self.kit.close)
        self.kit.up()
        for r in self.kit.replicas:
            r.events = EVENTS
        self.front = self.kit.fronts[0]

    async def warm_up(self, path):
        await asyncio.gather(*[self.kit.stream(self.front, path, "%016x" % random.getrandbits(64)) for _ in range(6)])

    async def play(self, path, grace_s=GRACE_S, events=EVENTS):
        """Returns the connections, and when the signal was sent. events: of the streams after it."""
        await self.warm_up(path)
        for r in self.kit.replicas:
            r.events = events
        conns = [Connection(self.kit, self.front) for _ in range(int(grace_s / STEP_S))]
        await asyncio.gather(*[c.open() for c in conns])
        self.front.signal(signal.SIGTERM)
        at, tasks = time.time(), []
        for c in conns:
            tasks.append(asyncio.ensure_future(c.send(path, "%016x" % random.getrandbits(64))))
            await asyncio.sleep(STEP_S)
        await asyncio.gather(*tasks)
        return conns, at

    def check(self, path):
        conns, at = self.kit.loop.run(self.play(path))
        served = [c for c in conns if c.status == 200 and c.complete]
        refused = [c for c in conns if c.status == 503 and c.complete]
        for c in conns:
            if c not in served:
                self.assertEqual(self.kit.runs_of(c.rid), [], "%.2f s: %d" % (c.sent_at - at, c.status))
        for c in refused:
            self.assertEqual(c.headers.get("connection"), "close")
            self.assertLess(float(c.headers["retry-after"]), 0.1)
        self.assertGreater(len(refused), 0)
        early = [c for c in conns if c.sent_at - at < SERVED_S]
        self.assertEqual([c.status for c in early], [200] * len(early))
        self.assertIn("event=stop_refused", self.front.log_text())

    def test_late_requests_that_may_not_be_repeated_are_refused_and_none_is_cut(self):
        self.check("/alert/1")

    def test_late_requests_that_may_be_resumed_are_refused_and_none_is_cut(self):
        self.check("/brief/1")

    def check_slow_body(self, stop):
        """A stream that lasts longer than its request's 2 s; the body comes in chunks for 1 s."""
        for r in self.kit.replicas:
            r.events = 1000

        async def go():
            reader, writer = await asyncio.open_connection(self.front.ip, self.kit.port)
            rid = "%016x" % random.getrandbits(64)
            if stop:
                self.front.signal(signal.SIGTERM)
            writer.write(("POST /alert/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nModel: m\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n" % (HOST, rid)).encode())
            for _ in range(10):
                writer.write(b"4\r\nbody\r\n")
                await asyncio.sleep(0.1)
            writer.write(b"0\r\n\r\n")
            sent_at = time.time()
            while await reader.read(65536):
                pass
            writer.close()
            return rid, time.time() - sent_at
        rid, seconds = self.kit.loop.run(go())
        self.assertEqual(len(self.kit.runs_of(rid)), 1)
        self.assertGreaterEqual(seconds, 1.99)
        self.assertLess(seconds, 2.5)

    def test_request_whose_body_comes_slowly_is_not_cut_before_its_deadline(self):
        """Guards against a stream that is cut as much too early as the body of its request took to come."""
        self.check_slow_body(False)

    def test_request_whose_body_comes_slowly_in_a_stop_is_not_cut_before_its_deadline(self):
        self.check_slow_body(True)

    def check_longer_than_before(self, path):
        """Streams of 3.9 s after short ones of their route, in a stop of 8 s; their deadlines are 5 s."""
        self.front.stop()
        self.front.settings["grace_s"] = 8
        self.front.write_settings()
        self.front.start()
        self.kit.loop.run(self.kit.wait_ready())
        for r in self.kit.replicas:
            r.events, r.slots = 10, 64
        conns, at = self.kit.loop.run(self.play(path, 8, 195))
        for c in conns:
            whole = c.status == 200 and c.complete
            self.assertTrue(whole or not self.kit.runs_of(c.rid), "%.2f s: %d" % (c.sent_at - at, c.status))
        self.assertGreater(len([c for c in conns if c.status == 200]), 20)
        self.assertGreater(len([c for c in conns if c.status == 503]), 20)

    def test_late_requests_that_last_longer_than_those_before_and_may_not_be_repeated_are_not_cut(self):
        self.check_longer_than_before("/alert/1")

    def test_late_requests_that_last_longer_than_those_before_and_may_be_resumed_are_not_cut(self):
        self.check_longer_than_before("/brief/1")

    def test_reads_of_a_lot_are_answered_before_the_entry_ends(self):
        for r in self.kit.replicas:
            r.events = 1000
        lot, items = self.kit.lot(1)

        async def go():
            self.assertEqual(await self.kit.open_lot(self.kit.fronts[1], lot, items), 202)
            conns = [Connection(self.kit, self.front) for _ in range(int(GRACE_S / STEP_S))]
            await asyncio.gather(*[c.open() for c in conns])
            self.front.signal(signal.SIGTERM)
            tasks = []
            for c in conns:
                tasks.append(asyncio.ensure_future(
                    c.send("/lots/%s?after=0" % lot, "%016x" % random.getrandbits(64), "GET", "Wait-Ms: 1000\r\n")))
                await asyncio.sleep(STEP_S)
            await asyncio.gather(*tasks)
            return conns
        conns = self.kit.loop.run(go())
        answered = [c.status in (200, 503) and c.complete for c in conns]
        self.assertTrue(all(answered[:answered.index(False) if False in answered else None]))
        cut = [c for c in conns if not c.complete and "event=stopped" in self.front.log_text()]
        self.assertRegex(self.front.log_text(), r"event=stopped requests=0 pending=0", len(cut))

    def test_request_that_never_ends_is_answered_before_the_entry_ends(self):
        for r in self.kit.replicas:
            r.silent_after = 0

        async def go():
            c = Connection(self.kit, self.front)
            await c.open()
            task = asyncio.ensure_future(c.send("/alert/1", "%016x" % random.getrandbits(64)))
            await asyncio.sleep(0.3)
            self.front.signal(signal.SIGTERM)
            await task
            return c
        c = self.kit.loop.run(go())
        self.assertEqual((c.status, c.complete), (502, True))


if __name__ == "__main__":
    unittest.main()
