"""Test kit for platform/: real control processes and fronts, with simulated replicas, upstream list and callers.

A Kit starts all of them; Kit.close() ends them.
Each process has its own address in 127.0.0.0/8, because the port numbers are the same on all machines.
Replicas, the upstream list and all callers run on one asyncio loop in a separate thread.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import threading
import time

import run_order

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.path.join(ROOT, os.environ.get("AUBURN_BIN_DIR", "build/bin"))
HOST = "desk.example"
EVENT_S = 0.02  # between two events of a stream
CRASH_S = 2.0   # after which a crashed replica is back


class Loop:
    """An asyncio loop in its own thread; run() executes a coroutine on it and waits for the result."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coro, timeout=60):
        return asyncio.run_coroutine_threadsafe(coro, self.loop).result(timeout)

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


async def read_message(reader):
    """Reads an HTTP message: (words of the first line, headers with names in lower case, body); None at end of file."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        h = (await reader.readline()).decode("latin-1").rstrip("\r\n")
        if not h:
            break
        k, _, v = h.partition(":")
        headers[k.strip().lower()] = v.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return line.decode("latin-1").split(None, 2), headers, body


def event_text(rid, n):
    return "%s-%d" % (rid, n)


class Replica:
    """A simulated replica that streams `events` events for each request. Its fields select the faults to inject."""

    def __init__(self, kit, name, zone, slots=4):
        self.kit, self.name, self.zone, self.slots = kit, name, zone, slots
        self.id = "i-%s-%d" % (name, random.getrandbits(24))
        self.state = "ready"
        self.start_time = 1000
        self.announces_leaving = False  # its answers have the header Server-Leaving
        self.duplicate_answer = None    # how it repeats the previous answer on the same connection, see copy_of
        self.events = 10
        self.full = False               # rejects requests unrun with 503
        self.refuses_first = None       # set: rejects the first request with each id unrun, and adds the id
        self.repeats_refusals = False   # writes a refusal once more before the next answer on the same connection
        self.item_statuses = {}         # item id: error status to answer with
        self.status_delay_s = 0         # between a request and such an answer
        self.break_after = None         # closes the connection within this event, once
        self.silent_after = None        # sends nothing after this event, on all runs while set
        self.paused = False             # as by SIGSTOP: neither reads nor writes; then writes at once what piled up
        self.crash_part = None          # crashes before the first event of a request with this part in its prompt
        self.crash_bodies = {}          # body: number of events after which a run with it crashes the replica
        self.crashes = []               # times
        self.unframed = False           # its streams have neither a length nor chunks and end with the connection
        self.end_within = None          # ends an unframed stream within this event, once, without a reset
        self.end_after = None           # (event, bytes): ends an unframed stream after this event with these bytes, once
        self.empty_stream = None        # ends an unframed stream before its first event, with these bytes
        self.empty_resumed = False      # unframed streams that go on after an event end before their next one
        self.cut_head = None            # closes the connection after this many bytes of the answer's head
        self.resumed_answer = None      # (status, headers, body) of its answers to requests that go on after an event
        self.server = None
        self.writers = set()
        self.refused_now = set()        # ids whose refusal was just written

    async def start(self):
        self.addr = self.kit.next_addr()
        ip, port = self.addr.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for w in list(self.writers):
            w.transport.abort()

    async def crash(self):
        """Resets all connections; comes back as a new incarnation after CRASH_S."""
        if not self.server:
            return
        self.crashes.append(time.time())
        self.state = "gone"
        await self.stop()
        await asyncio.sleep(CRASH_S)
        self.id = "i-%s-%d" % (self.name, random.getrandbits(24))
        self.start_time += 1000
        await self.start()
        self.state = "ready"

    def has_crash_part(self, run):
        parts = [x.split(":")[0] for x in run["headers"].get("prompt-prefix", "").split(",")]
        return self.crash_part is not None and self.crash_part in parts[:-1]

    def list_entry(self):
        return {"id": self.id, "service": "llm", "addr": self.addr, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "born": self.start_time}

    async def while_paused(self):
        """Waits until it isn't paused; returns the number of events that piled up."""
        since = time.time()
        if not self.paused:
            return 0
        while self.paused:
            await asyncio.sleep(0.01)
        return int((time.time() - since) / EVENT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        before = refusal = None
        try:
            while True:
                m = await read_message(reader)
                await self.while_paused()
                if m and before and self.duplicate_answer:
                    writer.write(self.copy_of(before))
                if m and refusal and self.repeats_refusals:
                    writer.write(refusal)
                if not m or not await self.answer(m, reader, writer):
                    break
                before = m[1].get("request-id", "")
                refusal = self.refusal_of(before) if before in self.refused_now else refusal
                self.refused_now.discard(before)
                if self.duplicate_answer == "at once":
                    writer.write(self.copy_of(before))
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def events_of(self, run):
        return self.events

    def cut_runs(self):
        """Resets all connections in the middle of their answers and goes on serving."""
        for w in list(self.writers):
            w.transport.abort()

    def copy_of(self, rid):
        """A second copy of the answer to request `rid`, in the form that `duplicate_answer` selects."""
        body = "".join("id: %d\ndata: %s\n\n" % (n, event_text(rid, n)) for n in range(1, self.events + 1)).encode()
        head = "HTTP/1.1 200 OK\r\nSignature: sig-%s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n" % (
            rid, len(body))
        if self.duplicate_answer != "without id":
            head += "Request-Id: %s\r\n" % rid
        full_answer = head.encode() + b"\r\n" + body
        return full_answer[:len(full_answer) // 2] if self.duplicate_answer == "cut" else full_answer

    def refusal_of(self, rid):
        return b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n" % rid.encode()

    def leaving_headers(self):
        return [("Server-Leaving", "1")] if self.announces_leaving else []

    async def reply(self, writer, status, headers, body=b""):
        headers = headers + self.leaving_headers()
        head = "HTTP/1.1 %03d X\r\n%sContent-Length: %d\r\n\r\n" % (
            status, "".join("%s: %s\r\n" % h for h in headers), len(body))
        writer.write(head.encode() + body)
        await writer.drain()
        return True

    async def answer(self, m, reader, writer):
        (method, target, _), h, body = m
        rid = h.get("request-id", "")
        if h.get("expect-instance") != self.id:
            return await self.reply(writer, 421, [("Instance-Id", self.id)])
        if not rid:
            return await self.reply(writer, 400, [("Not-Run", "1")])
        if self.full:
            return await self.reply(writer, 503, [("Not-Run", "1")])
        if self.refuses_first is not None and rid not in self.refuses_first:
            self.refuses_first.add(rid)
            self.refused_now.add(rid)
            writer.write(self.refusal_of(rid))
            await writer.drain()
            return True
        run = {"id": rid, "serial": len(self.kit.runs), "replica": self.id, "after": int(h.get("last-event-id", 0)), "at": time.time(),
               "sent": 0, "end": None, "ended": None, "target": target, "body": body, "method": method,
               "wait": h.get("deadline-ms"), "model": h.get("model"), "headers": h}
        self.kit.runs.append(run)
        signed = [("Request-Id", rid), ("Signature", "sig-" + rid)]
        status = self.item_statuses.get(rid)
        if status is not None:
            await asyncio.sleep(self.status_delay_s)
            run["end"] = status
            return await self.reply(writer, status, signed, b"no")
        if self.resumed_answer and run["after"]:
            status, headers, text = self.resumed_answer
            run["end"] = status
            return await self.reply(writer, status, signed + headers, text)
        return await self.stream(run, signed, reader, writer)

    async def stream(self, run, signed, reader, writer):
        if self.has_crash_part(run):
            await asyncio.sleep(EVENT_S)
            run["end"] = "crash"
            asyncio.ensure_future(self.crash())
            return False
        unframed = self.unframed
        head = "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n" + (
            "\r\n" if unframed else "Transfer-Encoding: chunked\r\n\r\n")
        head = (head % "".join("%s: %s\r\n" % x for x in signed + self.leaving_headers())).encode()
        if self.cut_head is not None:
            run["end"] = "cut"
            writer.write(head[:self.cut_head])
            await writer.drain()
            return False
        writer.write(head)
        empty = b"" if self.empty_resumed and run["after"] else self.empty_stream
        if unframed and empty is not None:
            run["end"] = "cut"
            writer.write(empty)
            await writer.drain()
            return False
        left = asyncio.ensure_future(reader.read(1))  # done when the entry closes the connection
        piled_up = 0
        try:
            for n in range(run["after"] + 1, self.events_of(run) + 1):
                piled_up = max(piled_up - 1, 0) + await self.while_paused()
                done, _ = await asyncio.wait([left], timeout=EVENT_S) if not piled_up else ((), ())
                if done:
                    run["end"] = "left"
                    return False
                while self.silent_after is not None and n > self.silent_after:
                    done, _ = await asyncio.wait([left], timeout=0.05)
                    if done:
                        run["end"] = "left"
                        return False
                if self.crash_bodies.get(run["body"]) == n - 1:
                    run["end"] = "crash"
                    asyncio.ensure_future(self.crash())
                    return False
                data = ("id: %d\ndata: %s\n\n" % (n, self.kit.text_of(run, n))).encode(errors="surrogateescape")
                if self.break_after == n:
                    self.break_after = None
                    run["end"] = "cut"
                    writer.write(b"%x\r\n%s" % (len(data), data[:5]))
                    await writer.drain()
                    writer.transport.abort()
                    return False
                if self.end_within == n:
                    self.end_within = None
                    run["end"] = "cut"
                    writer.write(data[:-5])
                    await writer.drain()
                    return False
                writer.write(data if unframed else b"%x\r\n%s\r\n" % (len(data), data))
                run["sent"] = n
                await writer.drain()
                if self.end_after and self.end_after[0] == n:
                    writer.write(self.end_after[1])
                    self.end_after = None
                    run["end"] = "cut"
                    await writer.drain()
                    return False
            if not unframed:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            run["end"] = "done"
            if unframed:
                return False
            left.cancel()
            try:
                await left
            except asyncio.CancelledError:
                pass
            return True
        finally:
            if left.done() and not left.cancelled():
                left.exception()    # else asyncio reports it
            run["ended"] = time.time()
            if run["end"] is None:
                run["end"] = "broken"


class Proc:
    """A real process with its settings file and log."""

    def __init__(self, kit, program, name, zone, settings):
        self.kit, self.program, self.name, self.zone = kit, program, name, zone
        self.ip = settings.pop("_ip")
        self.bin = kit.bin_of(name)  # folder of the build that it is started from
        self.path = os.path.join(kit.dir, name + ".toml")
        self.log = os.path.join(kit.dir, name + ".log")
        self.disk_full_flag = os.path.join(kit.dir, name + ".full")  # its disk refuses writes while this file exists
        self.sync_ms = 0    # that a sync of its disk takes longer, from its next start on
        self.settings = settings
        self.write_settings()
        self.p = None
        self.exit_expected = False

    def write_settings(self):
        with open(self.path, "w") as f:
            for k, v in self.settings.items():
                f.write("%s = %s\n" % (k, json.dumps(v)))

    def start(self):
        self.exit_expected = False
        with open(self.log, "a") as log:
            self.p = subprocess.Popen([os.path.join(self.bin, self.program), "--config", self.path],
                                      stdout=log, stderr=subprocess.STDOUT,
                                      env=dict(os.environ, AUBURN_DISK_FAULT="sync_ms=%d,full_while_exists=%s" % (
                                          self.sync_ms, self.disk_full_flag)))

    def signal(self, sig):
        if self.p and self.p.poll() is None:
            if sig in (signal.SIGKILL, signal.SIGTERM):
                self.exit_expected = True
            self.p.send_signal(sig)

    def freeze(self):
        """Stops the process; returns once all of its threads stand still. Until then the others go on."""
        self.signal(signal.SIGSTOP)
        tasks = "/proc/%d/task" % self.p.pid

        def state(task):
            with open(os.path.join(tasks, task, "stat")) as f:
                return f.read().rpartition(")")[2].split()[0]
        end = time.time() + 5
        while any(state(t) != "T" for t in os.listdir(tasks)):
            assert time.time() < end, "%s does not stand still" % self.name
            time.sleep(0.001)

    def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.p:
            self.p.wait()

    def fill_disk(self, full=True):
        """Makes its disk refuse writes, or take them again."""
        if full:
            open(self.disk_full_flag, "w").close()
        elif os.path.exists(self.disk_full_flag):
            os.unlink(self.disk_full_flag)

    def log_text(self):
        with open(self.log, errors="replace") as f:
            return f.read()


class Kit:
    replica_class = Replica

    def __init__(self, controls=3, fronts=2, replicas=3, slots=4, seed=None, memory_mib=0,
                 bin_of=lambda name: BIN, revoke_ms=0, snapshot_entries=100, names_runs=False):
        self.memory_mib, self.bin_of, self.revoke_ms = memory_mib, bin_of, revoke_ms
        self.snapshot_entries = snapshot_entries
        self.names_runs = names_runs    # the text of an event names its run, see run_order
        self.dir = tempfile.mkdtemp(prefix="auburn-platform-")
        for bound in (250, 250, 8000):
            random.randint(1, bound)    # older seeds draw as before
        # Not by the seed: two runs of one seed on a machine would take the same addresses.
        fresh = random.SystemRandom()
        self.net = "127.%d.%d" % (fresh.randint(1, 250), fresh.randint(1, 250))
        self.port = fresh.randint(20000, 28000)
        self.last_host = 0
        self.runs = []
        self.loop = Loop()
        self.upstream_list_down = False
        self.odd_entries = []           # bytes of further entries of the upstream list, in its middle
        self.zones = ["za", "zb", "zc"]
        self.list_addr = self.next_addr()
        self.loop.run(self.start_upstream_list())
        self.replicas = [self.replica_class(self, "r%d" % i, self.zones[i % 3], slots) for i in range(replicas)]
        for r in self.replicas:
            self.loop.run(r.start())
        ips = [self.next_ip() for _ in range(controls)]
        self.seeds = ["%s:%d" % (ip, self.port) for ip in ips[:3]]
        self.controls = [self.make_control("control-%d" % i, ip, self.zones[i % 3], True) for i, ip in enumerate(ips)]
        self.fronts = [self.make_front("front-%d" % i, self.zones[i % 3]) for i in range(fronts)]
        self.version = 0
        self.acked_version = 0
        self.before_start()
        for p in self.controls + self.fronts:
            p.start()

    def before_start(self):
        """Changes settings of the processes before their first start."""

    def next_ip(self):
        self.last_host += 1
        return "%s.%d" % (self.net, self.last_host)

    def next_addr(self):
        return "%s:%d" % (self.next_ip(), self.port)

    def make_control(self, name, ip, zone, bootstrap):
        return Proc(self, "auburn-control", name, zone, {
            "_ip": ip, "name": name, "zone": zone, "listen": "%s:%d" % (ip, self.port),
            "data": os.path.join(self.dir, name), "controls": self.seeds, "rpc_port": self.port,
            "link_port": self.port + 1, "operators": "%s:%d" % (ip, self.port + 2),
            "http": "%s:%d" % (ip, self.port + 4), "upstream_list": self.list_addr, "tolerate": 1, "bootstrap": bootstrap, "ledger_groups": 0,
            "replace_grace_ms": 1500, "election_ms": 300, "tick_ms": 10, "snapshot_entries": self.snapshot_entries, "memory_mib": self.memory_mib})

    def make_front(self, name, zone):
        ip = self.next_ip()
        revoke = {"revoke_ms": self.revoke_ms} if self.revoke_ms else {}
        return Proc(self, "auburn-front", name, zone, {
            "_ip": ip, "name": name, "zone": zone, "listen": "%s:%d" % (ip, self.port),
            "ready": "%s:%d" % (ip, self.port + 2), "directory": "%s:%d" % (ip, self.port + 3),
            "metrics": "%s:%d" % (ip, self.port + 4), "upstream_list": self.list_addr,
            "controls": self.seeds, "rpc_port": self.port, "link_port": self.port + 1, "grace_s": 4,
            **revoke})

    async def start_upstream_list(self):
        """Serves the list of all replicas, with a malformed entry without address, which its readers must skip."""
        async def serve(reader, writer):
            try:
                while await read_message(reader):
                    if self.upstream_list_down:
                        await asyncio.sleep(5)
                        break
                    entries = [json.dumps(r.list_entry()).encode() for r in self.replicas if r.state != "gone"]
                    entries[1:1] = self.odd_entries
                    entries.append(b'{"id": "odd"}')
                    body = b'{"instances": [%s], "nextToken": null}' % b", ".join(entries)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            writer.close()
        ip, port = self.list_addr.split(":")
        self.list_server = await asyncio.start_server(serve, ip, int(port))

    async def stop_upstream_list(self):
        self.list_server.close()

    # ---- requests of callers and operators ----

    async def call(self, ip, port, method, target, headers=(), body=b"", timeout=10, events=None):
        """Sends a request on a new connection; returns (status, headers, body). Status 0: the answer was incomplete."""
        writer = None
        got = b""
        status, answer_headers = 0, {}
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
            head = "%s %s HTTP/1.1\r\nContent-Length: %d\r\n" % (method, target, len(body))
            head += "".join("%s: %s\r\n" % h for h in headers) + "\r\n"
            writer.write(head.encode() + body)

            async def read():
                nonlocal got, status, answer_headers
                line = (await reader.readline()).split()
                if len(line) < 2:
                    return 0
                st = int(line[1])
                while True:
                    h = (await reader.readline()).decode("latin-1").rstrip("\r\n")
                    if not h:
                        break
                    k, _, v = h.partition(":")
                    answer_headers[k.strip().lower()] = v.strip()
                status = -st
                if "content-length" in answer_headers:
                    got = await reader.readexactly(int(answer_headers["content-length"]))
                    return st
                while True:
                    size = int((await reader.readline()) or b"", 16)
                    piece = await reader.readexactly(size)
                    await reader.readexactly(2)
                    if size == 0:
                        return st
                    got += piece
                    if events is not None:
                        events.append((time.time(), piece))
            status = await asyncio.wait_for(read(), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            status = 0
        finally:
            if writer:
                writer.transport.abort()
        return status, answer_headers, got

    async def stream(self, front, path, rid, wait_ms=5000, timeout=None, events=None, headers=(), parts="aa:100,bb:100",
                     body=None):
        """Sends an online request with id `rid` and a caller timeout of wait_ms; returns as call() does. parts: the
        parts of its prompt that come before its own."""
        return await self.call(front.ip, self.port, "POST", path, [
            ("Host", HOST), ("Request-Id", rid), ("Deadline-Ms", wait_ms), ("Model", "m"),
            ("Token-Usage", "450,200"), ("Prompt-Prefix", "%s,%s:250" % (parts, rid))] + list(headers),
            body or b"body of " + rid.encode(), timeout or wait_ms / 1000 + 1, events)

    async def raw_answer(self, front, path, rid, timeout=6):
        """All bytes that the entry sends in answer to an online request, which asks it to close the connection."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(front.ip, self.port), 1)
        writer.write(("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nModel: m\r\n"
                      "Connection: close\r\nContent-Length: 0\r\n\r\n" % (path, HOST, rid)).encode())
        got = b""
        try:
            async def read():
                nonlocal got
                while piece := await reader.read(65536):
                    got += piece
            await asyncio.wait_for(read(), timeout)
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()
        return got

    def config(self, version, **changes):
        """The operators' config. Changes: quota (batch tokens), extra (path of a route), more (number of routes),
        tenants (list of customers; adds a public route), without (name of a route that is left out), retention (of
        items, in s)."""
        routes = [
            {"name": "brief", "host": HOST, "pathPrefix": "/brief/", "kind": "stream", "timeoutMs": 5000,
             "sloMs": 300, "priority": 0, "service": "llm", "attempts": 2, "sticky": True, "resumable": True,
             "gapTargetMs": 400},
            {"name": "alert", "host": HOST, "pathPrefix": "/alert/", "kind": "stream", "timeoutMs": 5000,
             "sloMs": 300, "priority": 0, "service": "llm", "attempts": 1, "sticky": True, "resumable": False,
             "gapTargetMs": 400},
            {"name": "digest", "host": HOST, "pathPrefix": "/digest/", "kind": "batch", "timeoutMs": 15000,
             "sloMs": 400, "priority": 2, "service": "llm", "attempts": 3, "dueMs": 18000, "retentionS": changes.get("retention", 60),
             "maxQueued": changes.get("quota", 0)}]
        routes = [r for r in routes if r["name"] != changes.get("without")]
        if changes.get("extra"):
            routes.append(dict(routes[0], name="extra", pathPrefix="/%s/" % changes["extra"]))
        for i in range(changes.get("more", 0)):
            routes.append(dict(routes[0], name="more-%d" % i, host="more%d.example" % i, pathPrefix="/more/"))
        tenants = {}
        if "tenants" in changes:
            routes.append(dict(routes[0], name="open", pathPrefix="/open/", public=True))
            tenants = {"tenants": changes["tenants"]}
        return {"version": version, "routes": routes, **tenants, "services": [
            {"name": "llm", "healthPath": "/health", "maxConns": 100, "proto": "h1", "tls": False,
             "engine": {"slots": 4}}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}

    async def put(self, control, conf):
        """Submits a config to one control process; returns the status."""
        s, _, _ = await self.call(control.ip, self.port + 2, "POST", "/config/put", [], json.dumps(conf).encode(), 3)
        return s

    async def get(self, control):
        """Reads the config from one control process; None if it didn't answer 200."""
        s, _, b = await self.call(control.ip, self.port + 2, "GET", "/config/get", [], b"", 3)
        return json.loads(b) if s == 200 else None

    async def read_config(self, control, s=3):
        """Reads the config; retries while the process answers 503 because it can't confirm the newest version."""
        end = time.time() + s
        while time.time() < end:
            got = await self.get(control)
            if got:
                return got
            await asyncio.sleep(0.05)
        raise AssertionError("%s did not return the config within %d s" % (control.name, s))

    async def submit(self, tries=40, **changes):
        """Submits a new version to the control processes in turn until one acknowledges it; returns it, or 0."""
        self.version += random.randint(1, 5)
        conf = self.config(self.version, **changes)
        for i in range(tries):
            if await self.put(self.controls[i % len(self.controls)], conf) == 200:
                self.acked_version = max(self.acked_version, conf["version"])
                return conf["version"]
            await asyncio.sleep(0.1)
        return 0

    async def metric(self, front, name):
        _, _, b = await self.call(front.ip, self.port + 4, "GET", "/metrics", [], b"", 2)
        return sum(float(x.split()[1]) for x in b.decode().splitlines() if x.startswith(name + " "))

    async def ready(self, front):
        return (await self.call(front.ip, self.port + 2, "GET", "/ready", [], b"", 1))[0] == 200

    async def wait_ready(self, fronts=None, s=15):
        end = time.time() + s
        for f in fronts or self.fronts:
            while not await self.ready(f):
                if time.time() > end:
                    raise AssertionError("%s is not ready, slow syncs: %s, end of its log: %s" % (
                        f.name, self.slow_syncs(), f.log_text()[-2000:]))
                await asyncio.sleep(0.05)

    def slow_syncs(self):
        """What the control processes log of a disk that holds them up."""
        return [x for c in self.controls for x in c.log_text().splitlines() if "event=sync_slow" in x]

    async def directory_addresses(self, front):
        s, _, b = await self.call(front.ip, self.port + 3, "GET", "/resolve?name=x&zone=za", [], b"", 1)
        return json.loads(b)["addresses"] if s == 200 else []

    def up(self, **changes):
        """Submits the first config and waits until all fronts are ready."""
        self.loop.run(self.submit(**changes))
        self.loop.run(self.wait_ready())

    # ---- lots ----

    def lot(self, n, lot=None, body=b"item body"):
        """Returns (lot id, n items)."""
        lot = lot or "%08x" % random.getrandbits(32)
        items = [{"id": "%s%02d" % (lot, i), "path": "/digest/%d" % i,
                  "headers": {"Model": "m", "Token-Usage": "350,200"},
                  "body": base64.b64encode(body + b"%d" % i).decode(), "tokens": 550} for i in range(n)]
        return lot, items

    async def open_lot(self, front, lot, items, headers=()):
        return (await self.call(front.ip, self.port, "POST", "/digest/" + lot,
                                [("Host", HOST), ("Request-Id", lot)] + list(headers), json.dumps({"items": items}).encode(), 4))[0]

    async def read_lot(self, front, lot, after=0, wait=0, headers=()):
        h = [("Host", HOST)] + ([("Wait-Ms", wait)] if wait else []) + list(headers)
        s, _, b = await self.call(front.ip, self.port, "GET", "/lots/%s?after=%d" % (lot, after), h, b"", 4 + wait / 1000)
        return s, json.loads(b) if s == 200 else None

    async def read_whole(self, lot, s=30):
        """Reads the results in pieces, from all entries in turn, until every item is listed or `s` seconds passed."""
        end = time.time() + s
        results, i = [], 0
        while time.time() < end:
            i += 1
            st, r = await self.read_lot(self.fronts[i % len(self.fronts)], lot, len(results), 1000)
            if st == 200:
                results += r["results"]
                if len(results) == r["total"]:
                    return results
            else:
                await asyncio.sleep(0.1)
        return results

    async def end_lot(self, front, lot, headers=()):
        return (await self.call(front.ip, self.port, "DELETE", "/lots/" + lot, [("Host", HOST)] + list(headers), b"", 4))[0]

    def text_of(self, run, n):
        """The text of event `n` of a run; a lone surrogate U+DC80 to U+DCFF in it is sent as a byte 0x80 to 0xff."""
        if self.names_runs:
            return run_order.event_text(run["id"], n, run["serial"], run["after"])
        return event_text(run["id"], n)

    def whole_text(self, rid, events=None):
        """The text that replicas produce for the request or item `rid`."""
        n = events or self.replicas[0].events
        return "\n".join(event_text(rid, i) for i in range(1, n + 1))

    def check_stream(self, rid, body, events=None):
        """Asserts that the caller got each event of its own request once and in order."""
        n = events or self.replicas[0].events
        want = "".join("id: %d\ndata: %s\n\n" % (i, event_text(rid, i)) for i in range(1, n + 1))
        assert body.decode() == want, "%s: %r" % (rid, body)

    def runs_of(self, rid):
        return [r for r in self.runs if r["id"] == rid]

    def leader(self):
        """The live control process that dispatches, according to the logs; None if there is none."""
        for c in self.controls:
            begin_count = c.log_text().count("event=dispatch_begins")
            if c.p and c.p.poll() is None and begin_count > c.log_text().count("event=dispatch_ends"):
                return c
        return None

    def unexpected_exits(self):
        """Names of processes that exited without being stopped by the test."""
        return [p.name for p in self.controls + self.fronts
                if p.p and p.p.poll() is not None and not p.exit_expected]

    def close(self):
        for p in self.fronts + self.controls:
            p.stop()
        for r in self.replicas:
            self.loop.run(r.stop())
        self.loop.run(self.stop_upstream_list())
        self.loop.close()
        if not os.environ.get("AUBURN_KEEP"):
            shutil.rmtree(self.dir, ignore_errors=True)
