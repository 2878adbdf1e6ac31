#!/usr/bin/env python3
"""Randomised faults against real processes; checks the promises from what callers and replicas see.

    tests/platform_soak.py [--seeds FIRST..LAST | --regress] [--seconds S] [--jobs N]

Prints a line a seed and closes with `N passed, N failed`. Logs of a failed seed are kept.
"""
import argparse
import asyncio
import concurrent.futures
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "proc"))
from platform_kit import HOST, Kit, event_text, read_message  # noqa: E402

APPLY_S = 2.0       # a change is in force everywhere this long after its acknowledgement
DRAIN_S = 3.0       # a replica gets nothing this long after an entry heard that it leaves
SETTLE_S = 25.0     # after the last fault lots must be finished within this


class Relay:
    """A TCP relay before a replica that delays, silences, cuts one way or resets connections."""

    def __init__(self, kit, replica):
        self.kit, self.replica = kit, replica
        self.delay = 0.0
        self.hold = set()   # "up": nothing passes to the replica; "down": nothing comes back
        self.pairs = set()

    async def start(self):
        self.addr = self.kit.next_addr()
        ip, port = self.addr.split(":")
        self.target, self.replica.addr = self.replica.addr, self.addr
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    async def serve(self, reader, writer):
        try:
            ip, port = self.target.split(":")
            r2, w2 = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, w2)
        self.pairs.add(pair)
        await asyncio.gather(self.pump(reader, w2, "up"), self.pump(r2, writer, "down"))
        self.pairs.discard(pair)

    async def pump(self, reader, writer, way):
        try:
            while True:
                data = await reader.read(65536)
                while way in self.hold:
                    await asyncio.sleep(0.05)
                if self.delay:
                    await asyncio.sleep(self.delay)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, ConnectionError):
            pass
        writer.transport.abort()

    def reset(self):
        for a, b in list(self.pairs):
            a.transport.abort()
            b.transport.abort()


class Soak:
    def __init__(self, seed, seconds):
        self.r = random.Random(seed)
        self.r2 = random.Random(seed + 0x5eed)  # of the faults that came later: old seeds play what they played
        random.seed(seed)
        self.seconds = seconds
        self.kit = Kit(controls=self.r.choice([3, 4]), fronts=3, replicas=4)
        self.bad = []
        self.online = []    # (route, rid, status, body)
        self.lots = {}      # id: {items, statuses, accepted, ended, seen}
        self.config = []    # (time of ack, version)
        self.refused = set()
        self.stop = False
        self.trouble = set()    # replicas that met a fault
        self.left = []          # (replica, when an entry had passed on that it leaves)
        self.wiped = 0.0
        self.done = []

    def fail(self, what):
        self.bad.append(what)

    def rid(self):
        return "%016x" % self.r.getrandbits(64)

    # ---- load ----

    async def one(self, route):
        rid = self.rid()
        s, _, b = await self.kit.stream(self.r.choice(self.kit.fronts), "/%s/1" % route, rid)
        self.online.append((route, rid, s, b))

    async def callers(self):
        tasks = []
        while not self.stop:
            tasks.append(asyncio.ensure_future(self.one(self.r.choice(["brief", "brief", "alert"]))))
            await asyncio.sleep(self.r.expovariate(25))
        await asyncio.gather(*tasks)

    async def keeper(self, front):
        """Uses one connection until it is closed, then opens the next."""
        while not self.stop:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(front.ip, self.kit.port), 1)
                while not self.stop:
                    rid = self.rid()
                    writer.write(("POST /alert/k HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n"
                                  "Content-Length: 0\r\n\r\n" % (HOST, rid)).encode())
                    m = await asyncio.wait_for(read_message(reader), 7)
                    if not m:
                        break
                    body = m[2]
                    if m[1].get("transfer-encoding") == "chunked":
                        while True:
                            size = int(await asyncio.wait_for(reader.readline(), 7) or b"", 16)
                            body += (await reader.readexactly(size + 2))[:-2]
                            if size == 0:
                                break
                    self.online.append(("alert", rid, int(m[0][1]), body))
                    if m[1].get("connection") == "close":
                        break
                    await asyncio.sleep(0.1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                await asyncio.sleep(0.1)
            finally:
                if "writer" in locals():
                    writer.transport.abort()

    async def submitter(self, lot, items):
        x = self.lots[lot]
        for _ in range(6):
            s = await self.kit.open_lot(self.r.choice(self.kit.fronts), lot, items)
            x["statuses"].append(s)
            if s == 202:
                x["accepted"] = True
                return
            await asyncio.sleep(0.3)

    async def reader(self, lot):
        x = self.lots[lot]
        while not self.stop or len(x["seen"]) < len(x["items"]) and not x["ended"]:
            s, b = await self.kit.read_lot(self.r.choice(self.kit.fronts), lot, 0, 500)
            if s == 200:
                got = b["results"]
                if got[:len(x["seen"])] != x["seen"][:len(got)]:
                    self.fail("lot %s: a position changed" % lot)
                if len(got) > len(x["seen"]):
                    x["seen"] = got
            elif s == 404 and x["accepted"] and self.stop:
                self.fail("lot %s: 404 after its acceptance" % lot)
            if self.stop and time.time() > self.deadline:
                return
            await asyncio.sleep(0.3)

    async def digests(self):
        tasks = []
        while not self.stop:
            lot, items = self.kit.lot(self.r.randint(1, 8), "%08x" % self.r.getrandbits(32))
            self.lots[lot] = {"items": items, "statuses": [], "accepted": False, "ended": None, "seen": []}
            tasks.append(asyncio.ensure_future(self.submitter(lot, items)))
            tasks.append(asyncio.ensure_future(self.reader(lot)))
            if self.r.random() < 0.15:
                tasks.append(asyncio.ensure_future(self.ender(lot)))
            await asyncio.sleep(self.r.uniform(0.4, 1.2))
        await asyncio.gather(*tasks)

    async def ender(self, lot):
        await asyncio.sleep(self.r.uniform(0.2, 2))
        for _ in range(20):
            if await self.kit.end_lot(self.r.choice(self.kit.fronts), lot) == 200:
                self.lots[lot]["ended"] = time.time()
                return
            await asyncio.sleep(0.2)

    async def operator(self):
        while not self.stop:
            if await self.kit.submit(tries=3, extra="v%d" % self.r.randint(0, 99)):
                self.config.append((time.time(), self.kit.acked))
            await asyncio.sleep(self.r.uniform(0.3, 1.5))

    async def config_reader(self):
        while not self.stop:
            sent = time.time()
            got = await self.kit.get(self.r.choice(self.kit.controls))
            due = max([v for t, v in self.config if t + APPLY_S < sent], default=0)
            if got and got["version"] < due:
                self.fail("version %d read, %d was acknowledged" % (got["version"], due))
            await asyncio.sleep(0.3)

    # ---- faults ----

    async def downtime(self, procs, sig, s):
        for p in procs:
            p.signal(sig)
        await asyncio.sleep(s)
        for p in procs:
            if sig == signal.SIGSTOP:
                p.signal(signal.SIGCONT)
                continue
            for _ in range(120):
                if p.p.poll() is not None:
                    break
                await asyncio.sleep(0.05)
            else:
                self.fail("%s is still there 6 s after %s" % (p.name, sig))
                p.stop()
            if sig == signal.SIGTERM and p.p.returncode != 0:
                self.fail("%s ended with %s after SIGTERM" % (p.name, p.p.returncode))
            p.start()

    async def wipe(self, c):
        if time.time() - self.wiped < 8:
            return
        self.wiped = time.time()
        c.stop()
        shutil.rmtree(os.path.join(self.kit.dir, c.name), ignore_errors=True)
        with open(c.path) as f:
            text = f.read().replace("bootstrap = true", "bootstrap = false")
        with open(c.path, "w") as f:
            f.write(text)
        c.start()
        await asyncio.sleep(5)

    async def crash_replica(self, i):
        r = self.kit.replicas[i]
        self.trouble.add(r.id)
        self.relays[i].reset()
        for w in list(r.writers):
            w.transport.abort()
        r.id = "i-new-%d" % self.r.getrandbits(30)

    async def drain_replica(self, i):
        r = self.kit.replicas[i]
        r.state = "draining"
        await asyncio.sleep(3.5)
        await self.crash_replica(i)
        r.state = "ready"

    async def relay_fault(self, i):
        x = self.relays[i]
        self.trouble.add(self.kit.replicas[i].id)
        kind = self.r.choice(["reset", "delay", "up", "down", "both"])
        if kind == "reset":
            x.reset()
            return
        x.delay = 0.05 if kind == "delay" else 0
        x.hold = {"up": {"up"}, "down": {"down"}, "both": {"up", "down"}}.get(kind, set())
        await asyncio.sleep(self.r.uniform(0.3, 2))
        x.hold, x.delay = set(), 0
        x.reset()

    async def list_down(self):
        self.kit.list_down = True
        await asyncio.sleep(self.r.uniform(0.5, 3))
        self.kit.list_down = False

    async def leave_replica(self, i):
        """Says in its answers that it leaves, while the list has it as ready; then goes."""
        r = self.kit.replicas[i]
        rid, begun, r.says_leaving = r.id, time.time(), True
        await asyncio.sleep(6)
        told = [x["ended"] for x in self.kit.runs if x["replica"] == rid and x["at"] > begun and x["end"] == "done"]
        if told:
            self.left.append((rid, min(told)))
        r.says_leaving = False
        await self.crash_replica(i)

    async def copy_late(self, i):
        r = self.kit.replicas[i]
        self.trouble.add(r.id)
        r.late_copy = self.r2.choice(["with id", "without id", "cut", "at once"])
        await asyncio.sleep(self.r2.uniform(0.5, 3))
        r.late_copy = None

    async def replica_faults(self):
        tasks, end = [], time.time() + self.seconds - 6
        while time.time() < end:
            await asyncio.sleep(self.r2.uniform(1, 4))
            fault = self.r2.choice([self.leave_replica, self.copy_late])
            tasks.append(asyncio.ensure_future(fault(self.r2.randrange(4))))
        await asyncio.gather(*tasks)

    async def faults(self):
        k = self.kit
        control_lock = asyncio.Lock()

        async def on_control(coro):
            if control_lock.locked():
                coro.close()
                return
            async with control_lock:
                await coro
                await asyncio.sleep(1.5)
        tasks = []
        end = time.time() + self.seconds
        while time.time() < end:
            kind = self.r.randrange(12)
            f, c, i = self.r.choice(k.fronts), self.r.choice(k.controls), self.r.randrange(4)
            s = self.r.uniform(0.1, 2)
            if kind < 3:
                sig = [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM][kind]
                if not getattr(f, "busy", False):
                    f.busy = True

                    async def front(f=f, sig=sig, s=s):
                        await self.downtime([f], sig, s)
                        f.busy = False
                    tasks.append(asyncio.ensure_future(front()))
            elif kind < 6:
                sig = [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM][kind - 3]
                tasks.append(asyncio.ensure_future(on_control(self.downtime([c], sig, s))))
            elif kind == 6:
                tasks.append(asyncio.ensure_future(on_control(self.downtime(k.controls, signal.SIGKILL, 0.2))))
            elif kind == 7:
                tasks.append(asyncio.ensure_future(on_control(self.wipe(c))))
            elif kind == 8:
                tasks.append(asyncio.ensure_future(self.crash_replica(i)))
            elif kind == 9:
                tasks.append(asyncio.ensure_future(self.drain_replica(i)))
            elif kind == 10:
                tasks.append(asyncio.ensure_future(self.relay_fault(i)))
            else:
                tasks.append(asyncio.ensure_future(self.list_down()))
            self.done.append(kind)
            await asyncio.sleep(self.r.uniform(0.2, 1.5))
        await asyncio.gather(*tasks)

    # ---- checks ----

    def check_online(self):
        runs = {}
        for x in self.kit.runs:
            runs.setdefault(x["id"], []).append(x)
        for route, rid, s, b in self.online:
            mine = runs.get(rid, [])
            if s == 200:
                want = "".join("id: %d\ndata: %s\n\n" % (n, event_text(rid, n)) for n in range(1, 11))
                if b.decode() != want:
                    self.fail("%s: wrong stream %r" % (rid, b[-80:]))
            if s in (429, 503, 408, 421) and mine:
                self.fail("%s: answered %d and has run" % (rid, s))
            if route == "alert" and len(mine) > 1:
                self.fail("%s: ran %d times" % (rid, len(mine)))
            sound = {x["replica"] for x in mine if x["replica"] not in self.trouble}
            if len(sound) > 2:
                self.fail("%s: ran on %d replicas" % (rid, len(sound)))
            if s in (400, 404, 413, 431):
                self.fail("%s: answered %d" % (rid, s))

    def check_left(self):
        for rid, at in self.left:
            late = [x["at"] - at for x in self.kit.runs if x["replica"] == rid and x["at"] > at + DRAIN_S]
            if late:
                self.fail("%s: got %d requests up to %.1f s after it said that it leaves" % (rid, len(late), max(late)))

    def check_lots(self):
        for lot, x in self.lots.items():
            ids = [i["id"] for i in x["items"]]
            if not x["accepted"]:
                if x["statuses"] and set(x["statuses"]) <= {429, 503}:
                    ran = [i for i in ids if self.kit.runs_of(i)]
                    if ran:
                        self.fail("lot %s: refused and ran" % lot)
                continue
            listed = [r["id"] for r in x["seen"]]
            if len(set(listed)) != len(listed) or not set(listed) <= set(ids):
                self.fail("lot %s: an item twice or of another lot" % lot)
            if not x["ended"] and len(listed) < len(ids):
                self.fail("lot %s: %d of %d items listed" % (lot, len(listed), len(ids)))
            for r in x["seen"]:
                if r["state"] == "completed" and r["output"] != self.kit.whole_text(r["id"]):
                    self.fail("lot %s: text of %s: %r" % (lot, r["id"], r["output"]))
                if r["state"] == "dead":
                    self.fail("lot %s: %s is dead" % (lot, r["id"]))
            if x["ended"]:
                late = [y for i in ids for y in self.kit.runs_of(i) if y["at"] > x["ended"] + 3]
                if late:
                    self.fail("lot %s: an item ran after its end" % lot)

    async def final(self):
        await self.kit.wait_ready(s=10)
        for f in self.kit.fronts:
            rid = self.rid()
            s, _, b = await self.kit.stream(f, "/brief/1", rid)
            if s != 200:
                self.fail("%s answers %s when all is calm" % (f.name, s))
        got = None
        for i in range(40):
            got = await self.kit.get(self.kit.controls[i % len(self.kit.controls)])
            if got:
                break
            await asyncio.sleep(0.1)
        if not got or got["version"] < self.kit.acked:
            self.fail("the text read at the end is %s, %d was acknowledged" % (got and got["version"], self.kit.acked))

    async def play(self):
        k = self.kit
        await k.submit()
        await k.wait_ready()
        self.relays = [Relay(k, r) for r in k.replicas]
        for x in self.relays:
            await x.start()
        await asyncio.sleep(1.5)
        load = [self.callers(), self.digests(), self.operator(), self.config_reader()]
        load = [asyncio.ensure_future(x) for x in load + [self.keeper(f) for f in k.fronts]]
        await asyncio.gather(self.faults(), self.replica_faults())
        self.deadline = time.time() + SETTLE_S
        await asyncio.sleep(2)
        self.stop = True
        await asyncio.wait_for(asyncio.gather(*load), SETTLE_S + 20)
        await self.final()
        self.check_online()
        self.check_lots()
        self.check_left()
        for name in k.unexpected_ends():
            self.fail("%s ended by itself" % name)

    def run(self):
        try:
            self.kit.loop.run(self.play(), self.seconds + 120)
        except Exception as e:  # a stuck run is a finding like any other
            self.fail("not played to its end: %s %s" % (type(e).__name__, e))
        if self.bad:
            os.environ["AUBURN_KEEP"] = "1"
        self.kit.close()
        return self.bad


def one(seed, seconds):
    s = Soak(seed, seconds)
    bad = s.run()
    counts = {}
    for _, _, st, _ in s.online:
        counts[st] = counts.get(st, 0) + 1
    return {"seed": seed, "bad": bad[:5], "dir": s.kit.dir if bad else "", "online": counts,
            "lots": sum(x["accepted"] for x in s.lots.values()), "faults": len(s.done)}


def main():
    a = argparse.ArgumentParser()
    a.add_argument("--seeds", default="1..3")
    a.add_argument("--seconds", type=float, default=12)
    a.add_argument("--jobs", type=int, default=1)
    a.add_argument("--one", type=int)
    a.add_argument("--regress", action="store_true", help="the seeds of tests/soak_seeds.txt")
    o = a.parse_args()
    if o.one is not None:
        print(json.dumps(one(o.one, o.seconds)))
        os._exit(0)
    first, last = (int(x) for x in o.seeds.split(".."))
    seeds = list(range(first, last + 1))
    if o.regress:
        path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "soak_seeds.txt")
        with open(path) as f:
            seeds = [int(x.split()[0]) for x in f if x.strip() and not x.startswith("#")]

    def sub(seed):
        p = subprocess.run([sys.executable, os.path.abspath(__file__), "--one", str(seed), "--seconds",
                            str(o.seconds)], capture_output=True, text=True)
        try:
            return json.loads(p.stdout.strip().splitlines()[-1])
        except (IndexError, ValueError):
            return {"seed": seed, "bad": ["no result: " + p.stderr[-500:]]}
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(o.jobs) as pool:
        for x in pool.map(sub, seeds):
            failed += bool(x["bad"])
            print(("FAIL " if x["bad"] else "ok   ") + json.dumps(x), flush=True)
    print("%d passed, %d failed" % (len(seeds) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
