"""Replicas whose answers never end: the entry's memory and the latency of other requests must stay bounded.

Guards against entries that buffer or parse such an answer without limit: one replica would then fill the memory of the
VM or take the CPU that all other requests need. AUBURN_ENDLESS_S sets the seconds for which each kind is tested.
"""
import asyncio
import os
import random
import time
import unittest

from platform_kit import Kit, Loop, Replica

KIND_S = float(os.environ.get("AUBURN_ENDLESS_S", "2"))
ENDLESS, HEALTHY = 8, 4     # numbers of replicas
MEMORY_MB = 160         # memory of the VMs that entries run on
FIRST_EVENT_S = 0.58    # limit for the 95th percentile of the time to the first event
WAIT_MS = 3000          # caller timeout
PIECE = 65536           # bytes per write
HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\n"
STREAM = HEAD + "Content-Type: text/event-stream\r\n"

# Kind of endless answer: its beginning, in which %s is the request's id, and the bytes repeated after that.
KINDS = {
    "junk": ("", b"x" * PIECE),
    "head_line": ("HTTP/1.1 200 OK\r\nX: ", b"x" * PIECE),
    "head_lines": ("HTTP/1.1 200 OK\r\n", b"X: y\r\n" * (PIECE // 6)),
    "interim_heads": ("", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * (PIECE // 38)),
    "body_until_closed": (HEAD + "\r\n", b"x" * PIECE),
    "body_with_length": (HEAD + "Content-Length: 999999999999\r\n\r\n", b"x" * PIECE),
    "chunk_extension": (STREAM + "Transfer-Encoding: chunked\r\n\r\n1;", b"x" * PIECE),
    "trailers": (STREAM + "Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X: y\r\n" * (PIECE // 6)),
    "event": (STREAM + "\r\nid: 1\ndata: ", b"x" * PIECE),
    "event_lines": (STREAM + "\r\nid: 1\n", b"data: x\n" * (PIECE // 8)),
    "empty_events": (STREAM + "\r\n", b"\n\n" * (PIECE // 2)),
    "old_event": (STREAM + "\r\n", b"id: 0\ndata: x\n\n" * (PIECE // 15)),
    "other_request": (HEAD.replace("%s", "another-id") + "\r\n", b"x" * PIECE),
}


class EndlessReplica(Replica):
    """Answers every request with the endless answer that `kind` selects."""
    kind = None

    async def answer(self, m, reader, writer):
        if self.kind == "events":
            return await self.send_events(m, writer)
        begin, piece = KINDS[self.kind]
        writer.write((begin % m[1].get("request-id") if "%s" in begin else begin).encode())
        while True:
            writer.write(piece)
            await writer.drain()

    async def send_events(self, m, writer):
        """Sound events, each with the next id, without end."""
        writer.write((STREAM % m[1].get("request-id") + "\r\n").encode())
        n = int(m[1].get("last-event-id", 0))
        while True:
            n += 1
            writer.write(b"id: %d\ndata: %s\n\n" % (n, b"x" * PIECE))
            await writer.drain()


class Endless(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(controls=1, fronts=1, replicas=HEALTHY, slots=4)
        self.addCleanup(self.kit.close)
        self.loop = Loop()  # of its own, so that the endless answers don't delay the healthy replicas
        self.endless = [EndlessReplica(self.kit, "endless%d" % i, "za", 4) for i in range(ENDLESS)]
        for r in self.endless:
            self.loop.run(r.start())
        self.addCleanup(self.stop_endless)
        self.kit.up()
        self.front = self.kit.fronts[0]
        self.healthy = list(self.kit.replicas)

    def stop_endless(self):
        for r in self.endless:
            self.loop.run(r.stop())
        self.loop.close()

    def peak_mb(self, proc=None):
        """Peak resident memory of a process, the front by default."""
        with open("/proc/%d/status" % (proc or self.front).p.pid) as f:
            return int([x.split()[1] for x in f if x.startswith("VmHWM")][0]) / 1024

    async def send(self, i, got):
        """Sends the i-th request; appends (id, status, body, seconds to the first event or None, total seconds)."""
        rid, events, started = "%016x" % random.getrandbits(64), [], time.time()
        path = "/alert/1" if i % 4 == 0 else "/brief/1"
        s, _, b = await self.kit.stream(self.front, path, rid, wait_ms=WAIT_MS, events=events)
        got.append((rid, s, b, events[0][0] - started if events else None, time.time() - started))

    async def load(self, seconds):
        got, tasks, end = [], [], time.time() + seconds
        while time.time() < end:
            tasks.append(asyncio.ensure_future(self.send(len(tasks), got)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        return got

    def test_each_kind_is_bounded_in_memory_and_other_requests_are_served_in_time(self):
        for kind in KINDS:
            for r in self.endless:
                r.kind = kind
            self.kit.replicas.extend(self.endless)
            time.sleep(1.2)  # the leader reads the upstream list once a second
            got = self.kit.loop.run(self.load(KIND_S), timeout=KIND_S + 30)
            del self.kit.replicas[HEALTHY:]
            self.assertIsNone(self.front.p.poll(), kind)
            self.assertLess(self.peak_mb(), MEMORY_MB, kind)
            for rid, s, b, _, total_s in got:
                self.assertLess(total_s, WAIT_MS / 1000 + 0.5, kind)
                if s == 200:
                    self.kit.check_stream(rid, b)
            first_s = sorted(x[3] for x in got if x[1] == 200)
            self.assertGreater(len(first_s), len(got) // 4, kind)
            print("%s: %d of %d served, p95 %.0f ms, peak %.0f MB" % (
                kind, len(first_s), len(got), first_s[len(first_s) * 95 // 100] * 1000, self.peak_mb()), flush=True)
            self.assertLess(first_s[len(first_s) * 95 // 100], FIRST_EVENT_S, kind)
            time.sleep(1.2)

    def test_items_whose_answers_never_end_fill_no_memory_and_run_elsewhere(self):
        """Guards against texts of items that fill an entry and, by its reports, the control processes."""
        for r in self.endless:
            r.kind = "events"
        self.kit.replicas[:] = self.endless
        time.sleep(1.2)
        lot, items = self.kit.lot(32)
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.front, lot, items)), 202)
        time.sleep(KIND_S)
        self.kit.replicas[:] = self.healthy
        results = self.kit.loop.run(self.kit.read_whole(lot, 30))
        self.assertEqual({r["id"]: r["output"] for r in results}, {x["id"]: self.kit.whole_text(x["id"]) for x in items})
        self.assertLess(self.peak_mb(), MEMORY_MB)
        self.assertLess(self.peak_mb(self.kit.controls[0]), MEMORY_MB)
        self.assertIn("event=item_text_too_long", self.front.log_text())


if __name__ == "__main__":
    unittest.main()
