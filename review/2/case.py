"""An entry gets SIGTERM. 4.5 s later a caller that still has its address sends a long stream."""
import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import case_kit as case  # noqa: E402
from platform_kit import HOST, Replica, event_text  # noqa: E402

LONG_EVENTS = 190       # of 20 ms: about 4 s, below timeoutMs and Deadline-Ms of 5 s
SHORT_REQUESTS = 40
LONG_AT_S = 4.5         # after SIGTERM
CALLERS = 4
TTL_TIMES = 3           # "some of them three times as long"


class LongReplica(Replica):
    """Streams to paths that end with /long are long; all events come every 20 ms."""

    def events_of(self, run):
        return LONG_EVENTS if run["target"].endswith("/long") else self.events


case.Kit.replica_class = LongReplica


class Caller:
    """Keeps one connection open, as callers do, and sends one request after another on it."""

    def __init__(self, kit, front):
        self.kit, self.front = kit, front

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.front.ip, self.kit.port)

    async def request(self, path, rid):
        """Returns (status, body); status 0: the connection ended before the answer was complete."""
        body = b"body of " + rid.encode()
        head = "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nModel: m\r\n" \
            "Token-Usage: 450,200\r\nPrompt-Prefix: aa:100,%s:250\r\nContent-Length: %d\r\n\r\n" % (
                path, HOST, rid, rid, len(body))
        got, status = b"", 0
        try:
            self.writer.write(head.encode() + body)
            line = (await self.reader.readline()).split()
            headers = {}
            while True:
                h = (await self.reader.readline()).decode().rstrip("\r\n")
                if not h:
                    break
                k, _, v = h.partition(":")
                headers[k.lower()] = v.strip()
            if len(line) < 2:
                return 0, got
            if "content-length" in headers:
                return int(line[1]), await self.reader.readexactly(int(headers["content-length"]))
            while True:
                size = int(await self.reader.readline() or b"", 16)
                got += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
                if size == 0:
                    status = int(line[1])
                    return status, got
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return 0, got


def whole(rid):
    return "".join("id: %d\ndata: %s\n\n" % (n, event_text(rid, n)) for n in range(1, LONG_EVENTS + 1)).encode()


def body(k, record):
    k.up()
    front = k.fronts[0]
    address = "%s:%d" % (front.ip, k.port)

    async def play():
        callers = [Caller(k, front) for _ in range(CALLERS)]
        for c in callers:
            await c.connect()
        for i in range(SHORT_REQUESTS):
            c = callers[i % CALLERS]
            status, _ = await c.request("/brief/short", "short%03d" % i)
            record.line("short request %d: status=%d" % (i, status))
        s, _, text = await k.call(k.fronts[1].ip, k.port + 3, "GET", "/resolve?name=x&zone=za", [], b"", 1)
        looked_up = time.time()
        record.line("look-up: status=%d %s" % (s, text.decode()))
        assert address.encode() in text
        ttl = json.loads(text)["ttlS"]
        began = time.time()
        if case.TROUBLE:
            front.signal(signal.SIGTERM)
            record.line("SIGTERM to the entry, graceS=%d" % case.GRACE_S)
        await asyncio.sleep(LONG_AT_S)
        age = time.time() - looked_up
        assert age < TTL_TIMES * ttl, "the look-up is too old"
        record.line("long requests are sent on the open connections, the look-up is %.1f s old, its ttlS is %g" % (age, ttl))

        async def one(i, c):
            rid = "long%02d" % i
            status, got = await c.request("/brief/long", rid)
            complete = status == 200 and got == whole(rid)
            record.line("%s: status=%d complete=%s bytes=%d of %d, %.2f s after SIGTERM" % (
                rid, status, complete, len(got), len(whole(rid)), time.time() - began))
            return rid, status, complete
        return await asyncio.gather(*(one(i, c) for i, c in enumerate(callers)))

    results = k.loop.run(play(), 60)
    ran = {r["id"] for r in k.runs}
    # A refusal with 503 before it ran is a proper answer. LOST: the entry passed the request on to a replica, and the
    # connection ended without a complete answer.
    lost = [rid for rid, status, complete in results if rid in ran and status == 0 and not complete]
    record.line("passed on to a replica and ended without a complete answer: %s" % lost)
    if not case.TROUBLE:
        assert all(complete for _, _, complete in results), "not all answers are complete without the disruption"
    return bool(lost)


case.main(HERE, body, fronts=2, replicas=3, slots=8)
