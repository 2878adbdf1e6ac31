"""Entries that are cut off from all replicas while callers and the leader reach them.

Guards against callers that are sent to an entry that can serve nothing, against requests that wait there, against
look-ups without any entry, and against an entry that stays out after its path has healed.
"""
import asyncio
import random
import signal
import time
import unittest

from link_kit import LinkEntry, opaque
from path_kit import Paths
from platform_kit import HOST, Kit, read_message

NOTICED_S = 2   # within which an entry with callers has noticed the cut
BACK_S = 1      # within which it serves again after the cut


class ReachCase(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(replicas=6)
        self.addCleanup(self.kit.close)
        self.kit.up()
        self.paths = Paths(self.kit)
        self.addCleanup(self.paths.close)

    def run_one(self, coro):
        return self.kit.loop.run(coro)

    def send(self, front, path="/alert/1"):
        """Returns (status, headers, seconds until the answer)."""
        rid, began = "%016x" % random.getrandbits(64), time.time()
        status, headers, _ = self.run_one(self.kit.stream(front, path, rid, wait_ms=3000))
        return status, headers, time.time() - began

    def load(self, seconds):
        """Sends requests to all fronts, to each a few at a time; returns [(time sent, status)]."""
        got = []

        async def caller(front, until):
            while time.time() < until:
                began = time.time()
                s, _, _ = await self.kit.stream(front, "/alert/1", "%016x" % random.getrandbits(64), wait_ms=3000)
                got.append((began, s))
                await asyncio.sleep(0.02)

        async def go():
            until = time.time() + seconds
            await asyncio.gather(*[caller(f, until) for f in self.kit.fronts for _ in range(3)])
        self.run_one(go())
        return got

    def addresses(self):
        return set(self.run_one(self.kit.directory_addresses(self.kit.fronts[0])))

    def own_addresses(self):
        return {"%s:%d" % (f.ip, self.kit.port) for f in self.kit.fronts}

    def wait_for(self, what, check, seconds):
        end = time.time() + seconds
        while not check():
            if time.time() > end:
                self.fail("no %s within %.1f s" % (what, seconds))
            time.sleep(0.02)

    def cut_off(self, front):
        return self.run_one(self.kit.metric(front, "auburn_cut_off")) == 1


class CutOff(ReachCase):
    def check_cut_and_heal(self, cut):
        cut()
        self.load(NOTICED_S)
        for f in self.kit.fronts:
            self.assertTrue(self.cut_off(f))
            status, headers, s = self.send(f)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["retry-after"]), 0)
            self.assertLess(s, 0.1)
        self.assertEqual(self.addresses(), self.own_addresses())
        self.paths.heal()
        time.sleep(BACK_S)
        for f in self.kit.fronts:
            self.assertEqual(self.send(f)[0], 200)
        self.assertEqual(self.addresses(), self.own_addresses())

    def test_entries_whose_connections_hang_refuse_at_once_and_serve_within_a_second_after(self):
        self.check_cut_and_heal(self.paths.darken)

    def test_entries_whose_connections_are_refused_refuse_at_once_and_serve_within_a_second_after(self):
        self.check_cut_and_heal(self.paths.refuse)

    def test_look_ups_leave_out_an_entry_that_is_cut_off_while_another_is_not(self):
        async def link():
            return LinkEntry("sound", [c.ip for c in self.kit.controls], self.kit.port + 1, 0.01)
        other = self.run_one(link())
        self.addCleanup(lambda: setattr(other, "closed", True))
        self.wait_for("link of the other entry", lambda: "sound:9" in self.addresses(), 5)
        self.paths.darken()
        self.load(NOTICED_S)
        self.wait_for("look-up without them", lambda: self.addresses() == {"sound:9"}, 1)
        for f in self.kit.fronts:
            self.assertFalse(self.run_one(self.kit.ready(f)))
            status, headers, _ = self.send(f)
            self.assertEqual(status, 503)
            self.assertEqual(headers["connection"], "close")
            self.assertLess(float(headers["retry-after"]), 0.1)
        self.paths.heal()
        self.wait_for("look-up with them", lambda: self.addresses() == self.own_addresses() | {"sound:9"}, BACK_S)
        self.run_one(self.kit.wait_ready(s=1))

    def test_replicas_that_are_silent_for_a_second_do_not_empty_an_entry(self):
        for r in self.kit.replicas:
            r.silent_after = 0
        self.load(1)
        for r in self.kit.replicas:
            r.silent_after = None
        self.load(1)
        for f in self.kit.fronts:
            self.assertEqual(self.run_one(self.kit.metric(f, "auburn_reach_lost_total")), 0)
            self.assertEqual(self.send(f)[0], 200)


class SoundEntry(LinkEntry):
    """A simulated entry that is listed, answers requests itself, and says in `fault` how it fails."""

    def __init__(self, kit, name="sound"):
        self.addr = kit.next_addr()
        self.requests = []          # (request line, headers, body)
        self.fault = None
        self.left = 0               # requests whose sender closed the connection
        super().__init__(name, [c.ip for c in kit.controls], kit.port + 1, 0.01)

    def hello(self):
        return super().hello().replace(opaque(self.name.encode() + b":9"), opaque(self.addr.encode()))

    async def listen(self):
        ip, port = self.addr.split(":")
        self.server = await asyncio.start_server(self.answer, ip, int(port))

    async def answer(self, reader, writer):
        m = await read_message(reader)
        self.requests.append(m)
        if self.fault == "breaks":
            writer.transport.abort()
            return
        if self.fault == "silent":
            self.left += await reader.read(1) == b""
            return
        status = {"refuses": b"503 X\r\nRetry-After: 0.7", "failed run": b"503 X\r\nSignature: of-the-replica"}.get(
            self.fault, b"200 OK\r\nSignature: of-the-replica")
        body = b"from the other entry"
        writer.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
        await writer.drain()
        writer.close()


class HandOver(ReachCase):
    """Guards against a request that runs twice or is lost on the way to another entry, and against one that is handed
    on without end."""

    def setUp(self):
        super().setUp()

        self.other = self.add_entry("sound")
        self.wait_for("link of the other entry", lambda: self.other.addr in self.addresses(), 5)
        self.paths.darken()
        self.load(NOTICED_S)
        self.wait_for("look-up without them", lambda: self.addresses() == {self.other.addr}, 1)
        self.other.requests.clear()

    def add_entry(self, name):
        async def start():
            other = SoundEntry(self.kit, name)
            await other.listen()
            return other
        other = self.run_one(start())
        self.addCleanup(lambda: setattr(other, "closed", True))
        return other

    def send_with(self, headers=(), timeout=4, wait_ms=1500):
        rid = "%016x" % random.getrandbits(64)
        return self.run_one(self.kit.stream(self.kit.fronts[0], "/alert/1?q=2", rid, wait_ms, timeout=timeout,
                                            headers=headers))

    def test_the_answer_of_the_other_entry_is_relayed(self):
        status, headers, body = self.send_with([("Authorization", "Bearer k")])
        self.assertEqual((status, headers["signature"], body), (200, "of-the-replica", b"from the other entry"))
        (line, sent, body), = self.other.requests
        self.assertEqual((line[0], line[1], sent["host"], sent["authorization"]),
                         ("POST", "/alert/1?q=2", HOST, "Bearer k"))
        self.assertEqual(body, b"body of " + sent["request-id"].encode())
        self.assertLessEqual(int(sent["deadline-ms"]), 1500)

    def test_a_request_is_handed_over_once(self):
        self.assertEqual(self.send_with([("Auburn-Hop", "1")])[0], 503)
        self.assertEqual(self.other.requests, [])

    def test_refusal_of_the_other_entry_is_passed_on(self):
        self.other.fault = "refuses"
        status, headers, _ = self.send_with()
        self.assertEqual((status, headers["retry-after"]), (503, "0.7"))

    def add_second_entry(self):
        second = self.add_entry("second")
        self.wait_for("look-up with both", lambda: self.addresses() == {self.other.addr, second.addr}, 5)
        time.sleep(0.5)     # the view reaches the entry too
        return second

    def test_request_that_the_other_entry_refuses_is_served_by_a_third(self):
        second = self.add_second_entry()
        self.other.fault = "refuses"
        for _ in range(6):
            self.assertEqual(self.send_with()[0], 200)
        self.assertEqual(len(second.requests), 6)
        self.assertGreater(len(self.other.requests), 0)

    def test_request_that_does_not_reach_the_other_entry_is_served_by_a_third(self):
        second = self.add_second_entry()
        self.run_one(self.close_other())
        for _ in range(6):
            self.assertEqual(self.send_with()[0], 200)
        self.assertEqual(len(second.requests), 6)

    def test_two_entries_are_asked_at_most(self):
        others = [self.other, self.add_second_entry()]
        for x in others:
            x.fault = "refuses"
        status, headers, _ = self.send_with()
        self.assertEqual((status, headers["retry-after"]), (503, "0.7"))
        self.assertEqual([len(x.requests) for x in others], [1, 1])

    def test_request_that_may_have_run_goes_to_no_third_entry(self):
        others = [self.other, self.add_second_entry()]
        for x in others:
            x.fault = "breaks"
        self.assertEqual(self.send_with()[0], 502)
        self.assertEqual(sum(len(x.requests) for x in others), 1)

    def test_request_whose_run_failed_with_503_goes_to_no_third_entry(self):
        others = [self.other, self.add_second_entry()]
        for x in others:
            x.fault = "failed run"
        status, headers, _ = self.send_with()
        self.assertEqual((status, headers["signature"]), (503, "of-the-replica"))
        self.assertEqual(sum(len(x.requests) for x in others), 1)

    def test_request_that_another_entry_still_runs_is_answered_when_the_entry_ends(self):
        """Guards against a handed-over request whose connection is closed without an answer in a stop."""
        self.other.fault = "silent"
        front = self.kit.fronts[0]
        rid = "%016x" % random.getrandbits(64)

        async def go():
            task = asyncio.ensure_future(self.kit.stream(front, "/alert/1", rid, 8000, timeout=10))
            await asyncio.sleep(0.3)
            front.signal(signal.SIGTERM)
            return await task
        self.assertEqual(self.run_one(go())[0], 502)
        self.assertEqual([m[1]["request-id"] for m in self.other.requests], [rid])

    def test_request_that_breaks_on_the_way_may_have_run(self):
        self.other.fault = "breaks"
        self.assertEqual(self.send_with()[0], 502)
        self.assertEqual(len(self.other.requests), 1)

    def test_request_that_does_not_reach_the_other_entry_has_not_run(self):
        self.run_one(self.close_other())
        self.assertEqual(self.send_with()[0], 503)

    async def close_other(self):
        self.other.server.close()

    def test_deadline_ends_the_wait(self):
        self.other.fault = "silent"
        self.assertEqual(self.send_with(wait_ms=400)[0], 504)
        self.wait_for("end of the connection", lambda: self.other.left == 1, 1)

    def test_disconnect_of_the_caller_is_passed_on(self):
        self.other.fault = "silent"
        self.assertEqual(self.send_with(timeout=0.3)[0], 0)
        self.wait_for("end of the connection", lambda: self.other.left == 1, 1)


if __name__ == "__main__":
    unittest.main()
