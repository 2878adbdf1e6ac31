"""Replicas whose answers never end: what an entry spends on them, and what others' callers notice.

AUBURN_ENDLESS_S: seconds that each kind is played.
"""
import asyncio
import os
import random
import time
import unittest

from platform_kit import Kit, Loop, Replica

PLAY_S = float(os.environ.get("AUBURN_ENDLESS_S", "2"))
ENDLESS, SOUND = 8, 4
MEMORY_MB = 160     # of the VMs that entries run on
FIRST_S = 0.58      # until the first event, for 95 in 100
WAIT_MS = 3000
PIECE = 65536
HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\n"
STREAM = HEAD + "Content-Type: text/event-stream\r\n"

# What begins an answer to a request with this id, and what is repeated without end.
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
    kind = None

    async def answer(self, m, reader, writer):
        begin, piece = KINDS[self.kind]
        writer.write((begin % m[1].get("request-id") if "%s" in begin else begin).encode())
        while True:
            writer.write(piece)
            await writer.drain()


class Endless(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(controls=1, fronts=1, replicas=SOUND, slots=4)
        self.addCleanup(self.kit.close)
        self.loop = Loop()  # their bytes hold up no sound replica
        self.endless = [EndlessReplica(self.kit, "endless%d" % i, "za", 4) for i in range(ENDLESS)]
        for r in self.endless:
            self.loop.run(r.start())
        self.addCleanup(self.stop)
        self.kit.up()
        self.front = self.kit.fronts[0]

    def stop(self):
        for r in self.endless:
            self.loop.run(r.stop())
        self.loop.close()

    def peak_mb(self):
        with open("/proc/%d/status" % self.front.p.pid) as f:
            return int([x.split()[1] for x in f if x.startswith("VmHWM")][0]) / 1024

    async def one(self, i, got):
        rid, events, begun = "%016x" % random.getrandbits(64), [], time.time()
        path = "/alert/1" if i % 4 == 0 else "/brief/1"
        s, _, b = await self.kit.stream(self.front, path, rid, wait_ms=WAIT_MS, events=events)
        got.append((rid, s, b, events[0][0] - begun if events else None, time.time() - begun))

    async def load(self, seconds):
        got, tasks, end = [], [], time.time() + seconds
        while time.time() < end:
            tasks.append(asyncio.ensure_future(self.one(len(tasks), got)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
        return got

    def test_each_kind_is_bounded_in_memory_and_others_are_served_in_time(self):
        for kind in KINDS:
            for r in self.endless:
                r.kind = kind
            self.kit.replicas.extend(self.endless)
            time.sleep(1.2)  # until the list shows them
            got = self.kit.loop.run(self.load(PLAY_S), timeout=PLAY_S + 30)
            del self.kit.replicas[SOUND:]
            self.assertIsNone(self.front.p.poll(), kind)
            self.assertLess(self.peak_mb(), MEMORY_MB, kind)
            for rid, s, b, _, whole_s in got:
                self.assertLess(whole_s, WAIT_MS / 1000 + 0.5, kind)
                if s == 200:
                    self.kit.check_stream(rid, b)
            first = sorted(x[3] for x in got if x[1] == 200)
            self.assertGreater(len(first), len(got) // 4, kind)
            print("%s: %d of %d served, p95 %.0f ms, peak %.0f MB" % (
                kind, len(first), len(got), first[len(first) * 95 // 100] * 1000, self.peak_mb()), flush=True)
            self.assertLess(first[len(first) * 95 // 100], FIRST_S, kind)
            time.sleep(1.2)


if __name__ == "__main__":
    unittest.main()
