#!/usr/bin/env python3
"""Randomised faults against real processes; checks the guarantees by what callers and replicas observe.

    tests/platform_soak.py [--seeds FIRST..LAST | --regress] [--seconds S] [--jobs N]

Prints a line for each seed and `N passed, N failed` last. Logs of a failed seed are kept.

Guards against defects that show only when several things fail at once: callers, operators and batch lots go on while
control processes, entries, replicas, their connections and the upstream list fail. A seed doesn't repeat a run exactly,
because concurrent tasks draw from the same generator in the order in which they happen to run.
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

APPLY_S = 2.0       # a config must be in force everywhere this long after its acknowledgement
DRAIN_S = 3.0       # a leaving replica gets no request later than this after the first complete answer that says so
SETTLE_S = 25.0     # lots must be finished this long after the last fault
REVOKE_S = 2.5      # a request sent later than this after a key was revoked must not run
CUSTOMER_SEEDS = 1000   # runs with seeds from here on have customers
DISK_SEEDS = 2000       # from here on also disks of control processes that refuse writes
LOSS_GAP_S = 8.0        # between two losses of a disk
QUOTA = {"ratePerS": 3, "burst": 3}     # of one customer, which sends more
QUOTA_WINDOW_S, QUOTA_MAX = 5.0, (3 * 5 + 3) * 1.1 + 20     # runs in any such window


class Relay:
    """A TCP relay in front of a replica: delays bytes, holds them in one or both directions, or resets connections."""

    def __init__(self, kit, replica):
        self.kit, self.replica = kit, replica
        self.delay = 0.0
        self.hold = set()   # "up": holds bytes to the replica; "down": holds bytes from it
        self.pairs = set()  # (writer to the entry, writer to the replica) of each connection

    async def start(self):
        self.addr = self.kit.next_addr()
        ip, port = self.addr.split(":")
        self.target, self.replica.addr = self.replica.addr, self.addr
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    async def serve(self, reader, writer):
        try:
            ip, port = self.target.split(":")
            replica_reader, replica_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, replica_writer)
        self.pairs.add(pair)
        await asyncio.gather(self.pump(reader, replica_writer, "up"), self.pump(replica_reader, writer, "down"))
        self.pairs.discard(pair)

    async def pump(self, reader, writer, direction):
        try:
            while True:
                data = await reader.read(65536)
                while direction in self.hold:
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


class Customers:
    """Customers whose keys are added and revoked during the run, and what was sent with which key."""

    def __init__(self, seed):
        self.rng = random.Random(seed + 0xc0de)
        self.keys = {"ada": [], "bob": [], "cyd": []}   # those that the next config holds
        self.owner = {}         # key: customer
        self.added_at = {}      # key: time of the first acknowledgement of a config that holds it
        self.revoked_at = {}    # key: time of the first acknowledgement of a config that no longer holds it
        self.sent = {}          # request id: (key, time)
        for name in self.keys:
            self.add_key(name)

    def add_key(self, name):
        k = "%s-%08x" % (name, self.rng.getrandbits(32))
        self.keys[name].append(k)
        self.owner[k] = name

    def change(self):
        """Adds a key or takes one away, in two of three cases; every customer keeps one."""
        name = self.rng.choice(sorted(self.keys))
        if self.rng.random() < 0.33:
            self.add_key(name)
        elif len(self.keys[name]) > 1:
            self.keys[name].pop(0)

    def config(self):
        return [dict({"name": n, "apiKeys": list(ks)}, **(QUOTA if n == "cyd" else {})) for n, ks in self.keys.items()]

    def acked(self, config):
        """Records the acknowledgement of a config with these customers."""
        now = time.time()
        held = {k for c in config for k in c["apiKeys"]}
        for k in self.owner:
            if k in held:
                self.added_at.setdefault(k, now)
            elif k in self.added_at:
                self.revoked_at.setdefault(k, now)

    def headers(self, rid, name=None):
        """Credentials for a request: mostly a key of the next config, sometimes one that was taken away."""
        keys = [k for n in ([name] if name else sorted(self.keys)) for k in self.keys[n]]
        if not name and self.revoked_at and self.rng.random() < 0.2:
            keys = sorted(self.revoked_at)
        k = self.rng.choice(keys)
        self.sent[rid] = (k, time.time())
        return [("Authorization", "Bearer " + k), ("Tenant", "eve")]


class NoCustomers:
    """Stands for Customers in runs without them."""

    def change(self):
        pass

    def config(self):
        return None

    def acked(self, config):
        pass

    def headers(self, rid, name=None):
        return []


class Soak:
    """One run: the load, the faults, and the checks of what was observed."""

    def __init__(self, seed, seconds):
        self.seed = seed
        self.rng = random.Random(seed)
        self.replica_rng = random.Random(seed + 0x5eed)  # of replica_faults(): older seeds draw as before
        random.seed(seed)
        self.seconds = seconds
        self.kit = Kit(controls=self.rng.choice([3, 4]), fronts=3, replicas=4,
                       revoke_ms=int(REVOKE_S * 1000) if seed >= CUSTOMER_SEEDS else 0)
        self.customers = Customers(seed) if seed >= CUSTOMER_SEEDS else NoCustomers()
        self.failures = []
        self.online = []            # (route, request id, status, body)
        self.lots = {}              # lot id: {items, statuses, accepted, ended, seen}
        self.acked_configs = []     # (time of the acknowledgement, version)
        self.refused = set()
        self.stop = False
        self.faulted = set()        # ids of replicas that had a fault
        self.announcements = []     # (id of a leaving replica, time when the first answer that announces it ended)
        self.disk_rng = random.Random(seed + 0xd15c)    # of disk_faults()
        self.last_wipe = 0.0
        self.control_lock = asyncio.Lock()  # held by a fault that stops or restarts control processes
        self.failing_disk = None    # control process whose disk refuses writes, or did until just before
        self.faults_begun = []

    def fail(self, message):
        self.failures.append(message)

    def rid(self):
        return "%016x" % self.rng.getrandbits(64)

    # ---- load ----

    async def send_online(self, route):
        rid = self.rid()
        s, _, b = await self.kit.stream(self.rng.choice(self.kit.fronts), "/%s/1" % route, rid,
                                        headers=self.customers.headers(rid))
        self.online.append((route, rid, s, b))

    async def callers(self):
        """Sends online requests at random entries, each on a new connection, 25 a second on average."""
        tasks = []
        while not self.stop:
            tasks.append(asyncio.ensure_future(self.send_online(self.rng.choice(["brief", "brief", "alert"]))))
            await asyncio.sleep(self.rng.expovariate(25))
        await asyncio.gather(*tasks)

    async def keep_alive_caller(self, front):
        """Sends requests on one connection until it is closed, then opens the next."""
        while not self.stop:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(front.ip, self.kit.port), 1)
                while not self.stop:
                    rid = self.rid()
                    writer.write(("POST /alert/k HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n"
                                  "%sContent-Length: 0\r\n\r\n" % (HOST, rid, "".join(
                                      "%s: %s\r\n" % h for h in self.customers.headers(rid)))).encode())
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

    async def open_lot(self, lot, items):
        x = self.lots[lot]
        for _ in range(6):
            s = await self.kit.open_lot(self.rng.choice(self.kit.fronts), lot, items, self.customers.headers(lot, "ada"))
            x["statuses"].append(s)
            if s == 202:
                x["accepted"] = True
                return
            await asyncio.sleep(0.3)

    async def read_lot(self, lot):
        """Reads the results repeatedly; a result must not change its position or content once it is listed."""
        x = self.lots[lot]
        while not self.stop or len(x["seen"]) < len(x["items"]) and not x["ended"]:
            s, b = await self.kit.read_lot(self.rng.choice(self.kit.fronts), lot, 0, 500,
                                           self.customers.headers(lot, "ada"))
            if s == 200:
                got = b["results"]
                if got[:len(x["seen"])] != x["seen"][:len(got)]:
                    self.fail("lot %s: a listed result changed its position or content" % lot)
                if len(got) > len(x["seen"]):
                    x["seen"] = got
            elif s == 404 and x["accepted"] and self.stop:
                self.fail("lot %s: read answered 404 after the lot was accepted" % lot)
            if self.stop and time.time() > self.deadline:
                return
            await asyncio.sleep(0.3)

    async def batch_load(self):
        """Opens lots, reads their results, and ends some of them early."""
        tasks = []
        while not self.stop:
            lot, items = self.kit.lot(self.rng.randint(1, 8), "%08x" % self.rng.getrandbits(32))
            self.lots[lot] = {"items": items, "statuses": [], "accepted": False, "ended": None, "seen": []}
            tasks.append(asyncio.ensure_future(self.open_lot(lot, items)))
            tasks.append(asyncio.ensure_future(self.read_lot(lot)))
            if self.rng.random() < 0.15:
                tasks.append(asyncio.ensure_future(self.end_lot(lot)))
            await asyncio.sleep(self.rng.uniform(0.4, 1.2))
        await asyncio.gather(*tasks)

    async def end_lot(self, lot):
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        for _ in range(20):
            if await self.kit.end_lot(self.rng.choice(self.kit.fronts), lot, self.customers.headers(lot, "ada")) == 200:
                self.lots[lot]["ended"] = time.time()
                return
            await asyncio.sleep(0.2)

    async def submit(self, tries, extra=None):
        """Submits a config with the customers of now, if the run has any; returns its version, or 0."""
        self.customers.change()
        customers = self.customers.config()
        with_customers = {"tenants": customers} if customers else {}
        version = await self.kit.submit(tries=tries, extra=extra, **with_customers)
        if version:
            self.customers.acked(customers)
        return version

    async def operator(self):
        """Submits new versions of the config."""
        while not self.stop:
            if await self.submit(3, "v%d" % self.rng.randint(0, 99)):
                self.acked_configs.append((time.time(), self.kit.acked_version))
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))

    async def config_reader(self):
        """Reads the config from random control processes; none may answer with an outdated version."""
        while not self.stop:
            sent = time.time()
            got = await self.kit.get(self.rng.choice(self.kit.controls))
            due = max([v for t, v in self.acked_configs if t + APPLY_S < sent], default=0)
            if got and got["version"] < due:
                self.fail("read version %d of the config after %d was acknowledged" % (got["version"], due))
            await asyncio.sleep(0.3)

    # ---- faults ----

    async def downtime(self, procs, sig, s):
        """Sends a signal to the processes, and after s seconds continues or restarts them."""
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
                self.fail("%s still runs 6 s after %s" % (p.name, sig))
                p.stop()
            if sig == signal.SIGTERM and p.p.returncode != 0:
                self.fail("%s exited with status %s after SIGTERM" % (p.name, p.p.returncode))
            p.start()

    async def wipe(self, c):
        """Restarts a control process on an empty disk, unless another disk was lost or failed just before."""
        if time.time() - self.last_wipe < LOSS_GAP_S or self.failing_disk:
            return
        self.last_wipe = time.time()
        c.stop()
        shutil.rmtree(os.path.join(self.kit.dir, c.name), ignore_errors=True)
        with open(c.path) as f:
            text = f.read().replace("bootstrap = true", "bootstrap = false")
        with open(c.path, "w") as f:
            f.write(text)
        c.start()
        await asyncio.sleep(5)

    async def disk_faults(self):
        """Has disks refuse writes for some time; in some cases another one is lost 1, 3 or 5 s after the return."""
        end = time.time() + self.seconds
        while time.time() < end:
            await asyncio.sleep(self.disk_rng.uniform(0.5, 3))
            c = self.disk_rng.choice(self.kit.controls)
            s, gap_s = self.disk_rng.uniform(0.3, 6), self.disk_rng.choice([0, 1, 3, 5])
            other = self.disk_rng.choice([x for x in self.kit.controls if x is not c])
            if time.time() - self.last_wipe < LOSS_GAP_S:
                continue
            self.failing_disk = c
            c.fill_disk()
            await asyncio.sleep(s)
            c.fill_disk(False)
            await asyncio.sleep(gap_s or 1)
            self.failing_disk = None
            self.faults_begun.append("disk")
            if gap_s:
                async with self.control_lock:
                    await self.wipe(other)

    async def crash_replica(self, i):
        """Resets all connections of a replica and gives it a new id, as if another replica took over its address."""
        r = self.kit.replicas[i]
        self.faulted.add(r.id)
        self.relays[i].reset()
        for w in list(r.writers):
            w.transport.abort()
        r.id = "i-new-%d" % self.rng.getrandbits(30)

    async def drain_replica(self, i):
        """Lists a replica as draining, then replaces it."""
        r = self.kit.replicas[i]
        r.state = "draining"
        await asyncio.sleep(3.5)
        await self.crash_replica(i)
        r.state = "ready"

    async def relay_fault(self, i):
        """Disturbs the connections to a replica: reset, delay, or silence in one or both directions."""
        x = self.relays[i]
        self.faulted.add(self.kit.replicas[i].id)
        kind = self.rng.choice(["reset", "delay", "up", "down", "both"])
        if kind == "reset":
            x.reset()
            return
        x.delay = 0.05 if kind == "delay" else 0
        x.hold = {"up": {"up"}, "down": {"down"}, "both": {"up", "down"}}.get(kind, set())
        await asyncio.sleep(self.rng.uniform(0.3, 2))
        x.hold, x.delay = set(), 0
        x.reset()

    async def upstream_list_outage(self):
        self.kit.upstream_list_down = True
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        self.kit.upstream_list_down = False

    async def leave_replica(self, i):
        """Has a replica announce in its answers that it leaves, while the list shows it as ready; then crashes it."""
        r = self.kit.replicas[i]
        rid, started, r.announces_leaving = r.id, time.time(), True
        await asyncio.sleep(6)
        announced = [x["ended"] for x in self.kit.runs
                     if x["replica"] == rid and x["at"] > started and x["end"] == "done"]
        if announced:
            self.announcements.append((rid, min(announced)))
        r.announces_leaving = False
        await self.crash_replica(i)

    async def duplicate_answers(self, i):
        """Has a replica send answers twice on the same connection for some time."""
        r = self.kit.replicas[i]
        self.faulted.add(r.id)
        r.duplicate_answer = self.replica_rng.choice(["with id", "without id", "cut", "at once"])
        await asyncio.sleep(self.replica_rng.uniform(0.5, 3))
        r.duplicate_answer = None

    async def replica_faults(self):
        tasks, end = [], time.time() + self.seconds - 6
        while time.time() < end:
            await asyncio.sleep(self.replica_rng.uniform(1, 4))
            fault = self.replica_rng.choice([self.leave_replica, self.duplicate_answers])
            tasks.append(asyncio.ensure_future(fault(self.replica_rng.randrange(4))))
        await asyncio.gather(*tasks)

    async def faults(self):
        k = self.kit

        async def exclusively(coro):
            """Runs a fault of control processes, unless another one is in progress."""
            if self.control_lock.locked():
                coro.close()
                return
            async with self.control_lock:
                await coro
                await asyncio.sleep(1.5)
        tasks = []
        end = time.time() + self.seconds
        while time.time() < end:
            kind = self.rng.randrange(12)
            f, c, i = self.rng.choice(k.fronts), self.rng.choice(k.controls), self.rng.randrange(4)
            s = self.rng.uniform(0.1, 2)
            if kind < 3:
                sig = [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM][kind]
                if not getattr(f, "busy", False):
                    f.busy = True
                    if sig == signal.SIGSTOP and isinstance(self.customers, Customers):
                        s += REVOKE_S   # wakes after keys of its config must have stopped working

                    async def stop_front(f=f, sig=sig, s=s):
                        await self.downtime([f], sig, s)
                        f.busy = False
                    tasks.append(asyncio.ensure_future(stop_front()))
            elif kind < 6:
                sig = [signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM][kind - 3]
                tasks.append(asyncio.ensure_future(exclusively(self.downtime([c], sig, s))))
            elif kind == 6:
                tasks.append(asyncio.ensure_future(exclusively(self.downtime(k.controls, signal.SIGKILL, 0.2))))
            elif kind == 7:
                tasks.append(asyncio.ensure_future(exclusively(self.wipe(c))))
            elif kind == 8:
                tasks.append(asyncio.ensure_future(self.crash_replica(i)))
            elif kind == 9:
                tasks.append(asyncio.ensure_future(self.drain_replica(i)))
            elif kind == 10:
                tasks.append(asyncio.ensure_future(self.relay_fault(i)))
            else:
                tasks.append(asyncio.ensure_future(self.upstream_list_outage()))
            self.faults_begun.append(kind)
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        await asyncio.gather(*tasks)

    # ---- checks ----

    def check_online(self):
        """Answers are complete and the caller's own, refused requests never ran, and retries are limited."""
        runs = {}
        for x in self.kit.runs:
            runs.setdefault(x["id"], []).append(x)
        for route, rid, s, b in self.online:
            own_runs = runs.get(rid, [])
            if s == 200:
                want = "".join("id: %d\ndata: %s\n\n" % (n, event_text(rid, n)) for n in range(1, 11))
                if b.decode() != want:
                    self.fail("%s: incomplete or wrong stream, it ends with %r" % (rid, b[-80:]))
            if s in (429, 503, 408, 421) and own_runs:
                self.fail("%s: refused with %d, but it has run" % (rid, s))
            if route == "alert" and len(own_runs) > 1:
                self.fail("%s: ran %d times although it may not be resumed" % (rid, len(own_runs)))
            healthy = {x["replica"] for x in own_runs if x["replica"] not in self.faulted}
            if len(healthy) > 2:
                self.fail("%s: ran on %d healthy replicas" % (rid, len(healthy)))
            if s in (400, 404, 413, 431):
                self.fail("%s: answered %d" % (rid, s))

    def check_leaving(self):
        """Leaving replicas got no requests once their announcement had time to reach all entries."""
        for rid, at in self.announcements:
            late = [x["at"] - at for x in self.kit.runs if x["replica"] == rid and x["at"] > at + DRAIN_S]
            if late:
                self.fail("%s: got %d requests up to %.1f s after it announced that it leaves" % (
                    rid, len(late), max(late)))

    def check_lots(self):
        """Accepted lots list each item once with its own text; refused and ended lots don't run."""
        for lot, x in self.lots.items():
            ids = [i["id"] for i in x["items"]]
            if not x["accepted"]:
                if x["statuses"] and set(x["statuses"]) <= {429, 503}:
                    ran = [i for i in ids if self.kit.runs_of(i)]
                    if ran:
                        self.fail("lot %s: refused, but items have run" % lot)
                continue
            listed = [r["id"] for r in x["seen"]]
            if len(set(listed)) != len(listed) or not set(listed) <= set(ids):
                self.fail("lot %s: an item is listed twice or belongs to another lot" % lot)
            if not x["ended"] and len(listed) < len(ids):
                self.fail("lot %s: only %d of %d items are listed" % (lot, len(listed), len(ids)))
            for r in x["seen"]:
                if r["state"] == "completed" and r["output"] != self.kit.whole_text(r["id"]):
                    self.fail("lot %s: wrong text of %s: %r" % (lot, r["id"], r["output"]))
                if r["state"] == "dead":
                    self.fail("lot %s: %s is dead" % (lot, r["id"]))
            if x["ended"]:
                late = [y for i in ids for y in self.kit.runs_of(i) if y["at"] > x["ended"] + 3]
                if late:
                    self.fail("lot %s: an item ran more than 3 s after the lot was ended" % lot)

    def check_customers(self):
        """Replicas get the customer of the key and not the key; revoked keys stop working, added ones work."""
        c = self.customers
        for x in self.kit.runs:
            owner = "ada" if x["id"] not in c.sent else c.owner[c.sent[x["id"]][0]]     # items are ada's
            if x["headers"].get("tenant") != owner or "authorization" in x["headers"]:
                self.fail("%s: ran for %s instead of %s" % (x["id"], x["headers"].get("tenant"), owner))
            if x["id"] not in c.sent:
                continue
            k, at = c.sent[x["id"]]
            if at > c.revoked_at.get(k, at) + REVOKE_S:
                self.fail("%s: ran %.2f s after its key was revoked" % (x["id"], at - c.revoked_at[k]))
        for _, rid, s, _ in self.online:
            k, at = c.sent[rid]
            if s == 401 and at > c.added_at.get(k, at) + REVOKE_S and k in sum(c.keys.values(), []):
                self.fail("%s: answered 401 %.2f s after its key was added" % (rid, at - c.added_at[k]))

    def check_quota(self):
        """In no window do more requests of the limited customer run than its quota and the tolerance allow."""
        sent = self.customers.sent
        first = {}
        for x in self.kit.runs:
            if x["id"] in sent and self.customers.owner[sent[x["id"]][0]] == "cyd":
                first.setdefault(x["id"], x["at"])
        times = sorted(first.values())
        for i, t in enumerate(times):
            n = sum(1 for u in times[i:] if u <= t + QUOTA_WINDOW_S)
            if n > QUOTA_MAX:
                self.fail("%d requests of a customer ran within %.0f s" % (n, QUOTA_WINDOW_S))
                return

    async def check_final_state(self):
        """After the last fault all entries serve, and the config is not older than the last acknowledged one."""
        await self.kit.wait_ready(s=10)
        for f in self.kit.fronts:
            rid = self.rid()
            s, _, b = await self.kit.stream(f, "/brief/1", rid, headers=self.customers.headers(rid, "bob"))
            if s != 200:
                self.fail("%s answers %s although no fault is left" % (f.name, s))
        got = None
        for i in range(40):
            got = await self.kit.get(self.kit.controls[i % len(self.kit.controls)])
            if got:
                break
            await asyncio.sleep(0.1)
        if not got or got["version"] < self.kit.acked_version:
            self.fail("read config %s at the end after version %d was acknowledged" % (
                got and got["version"], self.kit.acked_version))

    async def run_load_and_faults(self):
        """Runs the load with the faults until all lots are finished, then checks what was observed."""
        k = self.kit
        await self.submit(40)
        await k.wait_ready()
        self.relays = [Relay(k, r) for r in k.replicas]
        for x in self.relays:
            await x.start()
        await asyncio.sleep(1.5)
        load = [self.callers(), self.batch_load(), self.operator(), self.config_reader()]
        load = [asyncio.ensure_future(x) for x in load + [self.keep_alive_caller(f) for f in k.fronts]]
        disk_faults = [self.disk_faults()] if self.seed >= DISK_SEEDS else []
        await asyncio.gather(self.faults(), self.replica_faults(), *disk_faults)
        self.deadline = time.time() + SETTLE_S
        await asyncio.sleep(2)
        self.stop = True
        await asyncio.wait_for(asyncio.gather(*load), SETTLE_S + 20)
        await self.check_final_state()
        self.check_online()
        self.check_lots()
        self.check_leaving()
        if isinstance(self.customers, Customers):
            self.check_customers()
            self.check_quota()
        for name in k.unexpected_exits():
            self.fail("%s exited without being stopped" % name)

    def run(self):
        try:
            self.kit.loop.run(self.run_load_and_faults(), self.seconds + 120)
        except Exception as e:  # a run that hangs is a failure of this seed
            self.fail("run did not finish: %s %s" % (type(e).__name__, e))
        if self.failures:
            os.environ["AUBURN_KEEP"] = "1"
        self.kit.close()
        return self.failures


def run_seed(seed, seconds):
    s = Soak(seed, seconds)
    failures = s.run()
    counts = {}
    for _, _, st, _ in s.online:
        counts[st] = counts.get(st, 0) + 1
    return {"seed": seed, "bad": failures[:5], "dir": s.kit.dir if failures else "", "online": counts,
            "lots": sum(x["accepted"] for x in s.lots.values()), "faults": len(s.faults_begun)}


def main():
    a = argparse.ArgumentParser()
    a.add_argument("--seeds", default="1..3", help="from %d on with customers, from %d on also with full disks"
                   % (CUSTOMER_SEEDS, DISK_SEEDS))
    a.add_argument("--seconds", type=float, default=12)
    a.add_argument("--jobs", type=int, default=1)
    a.add_argument("--one", type=int)
    a.add_argument("--regress", action="store_true", help="run the seeds of tests/soak_seeds.txt")
    o = a.parse_args()
    if o.one is not None:
        print(json.dumps(run_seed(o.one, o.seconds)))
        os._exit(0)
    first, last = (int(x) for x in o.seeds.split(".."))
    seeds = list(range(first, last + 1))
    if o.regress:
        path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "soak_seeds.txt")
        with open(path) as f:
            seeds = [int(x.split()[0]) for x in f if x.strip() and not x.startswith("#")]

    def run_in_subprocess(seed):
        p = subprocess.run([sys.executable, os.path.abspath(__file__), "--one", str(seed), "--seconds",
                            str(o.seconds)], capture_output=True, text=True)
        try:
            return json.loads(p.stdout.strip().splitlines()[-1])
        except (IndexError, ValueError):
            return {"seed": seed, "bad": ["no result: " + p.stderr[-500:]]}
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(o.jobs) as pool:
        for x in pool.map(run_in_subprocess, seeds):
            failed += bool(x["bad"])
            print(("FAIL " if x["bad"] else "ok   ") + json.dumps(x), flush=True)
    print("%d passed, %d failed" % (len(seeds) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
