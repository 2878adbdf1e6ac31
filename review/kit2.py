"""Kit of the cases 6 to 10: the two programs of the deploy file as separate processes on loopback addresses, and
stand-ins for the platform's list, the replicas, the clients and the operator, as PROTOCOL.md describes them.

The settings have the fields of deploy/control.tmpl and deploy/front.tmpl with the values of a small site. A case is a
function run(kit) in review/N/case.py; it returns the list of what broke the rule. main() writes record.txt beside it
and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
LIMIT_S = 115   # a case ends by then, whatever it waits for


class CannotRun(Exception):
    """The case could not bring about what it tests."""


async def read_head(reader):
    """The first line's words and the headers of an HTTP message; None at the end of the stream."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        h = (await reader.readline()).decode("latin-1").rstrip("\r\n")
        if not h:
            return line.decode("latin-1").split(None, 2), headers
        k, _, v = h.partition(":")
        k = k.strip().lower()
        headers[k] = headers[k] + ", " + v.strip() if k in headers else v.strip()


class Replica:
    """A sound model replica: `slots` runs at once and a short queue, one request at a time on a connection, events
    with ids from 1 on, resumed after Last-Event-Id. It drops a run when the connection closes, and ends one at the
    Deadline-Ms that it was given."""

    def __init__(self, kit, name, zone, slots, service):
        self.kit, self.name, self.zone, self.slots, self.service = kit, name, zone, slots, service
        self.id = "i-%s-%06x" % (name, random.getrandbits(24))
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.version = 1                    # of its weights
        self.events_of = lambda h: 10       # number of events of a run
        self.gap_s = 0.02                   # between two events
        self.status_of = lambda h: None     # (status, seconds of work) of a run that fails; None: it streams
        self.running = 0
        self.queue = []
        self.writers = set()

    async def start(self):
        self.addr = self.kit.next_ip() + ":%d" % self.kit.ports[0]
        ip, port = self.addr.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port))

    def entry(self):
        return {"id": self.id, "service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "stage": "mixed",
                "models": [{"name": "m", "version": self.version, "adapters": []}], "born": self.born}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                m = await read_head(reader)
                if not m:
                    break
                words, h = m
                body = await reader.readexactly(int(h.get("content-length", 0)))
                if not await self.answer(words, h, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, writer, status, headers, body=b""):
        writer.write(("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (
            status, "".join("%s: %s\r\n" % x for x in headers), len(body))).encode() + body)
        await writer.drain()
        return True

    async def answer(self, words, h, body, reader, writer):
        rid = h.get("request-id", "")
        echo = [("Request-Id", rid)] if rid else []
        if words[1] == "/health":
            return await self.reply(writer, 200, [("Instance-Id", self.id)])
        if h.get("expect-instance", self.id) != self.id:
            return await self.reply(writer, 421, echo + [("Not-Run", "1")])
        if h.get("expect-version", str(self.version)) != str(self.version):
            self.kit.record("replica", self.name, "has version", self.version, "and refuses", rid)
            return await self.reply(writer, 421, echo + [("Not-Run", "1")])
        if not rid:
            return await self.reply(writer, 400, [("Not-Run", "1")])
        deadline = time.time() + int(h["deadline-ms"]) / 1000 if "deadline-ms" in h else None
        arrival = {"at": time.time(), "id": rid, "replica": self.name, "path": words[1], "headers": h, "body": body,
                   "ran": False, "end": None, "ended": None, "after": int(h.get("last-event-id", 0))}
        self.kit.arrivals.append(arrival)
        if deadline is not None and deadline <= time.time():
            return await self.refuse(writer, arrival, echo, "deadline")
        left = asyncio.ensure_future(reader.read(1))    # done when the caller closes
        try:
            if self.running >= self.slots and not await self.wait_in_queue(left, deadline):
                arrival["end"] = "left the queue"
                return False if left.done() else await self.refuse(writer, arrival, echo, "full")
            self.running += 1
            try:
                return await self.work(arrival, h, rid, left, deadline, writer)
            finally:
                self.running -= 1
                arrival["ended"] = time.time()
                self.kit.record("replica", self.name, "ends", rid, arrival["end"])
                if self.queue:
                    self.queue.pop(0).set()
        finally:
            if not left.done():
                left.cancel()
                try:
                    await left
                except (asyncio.CancelledError, ConnectionError):
                    pass
            elif not left.cancelled():
                left.exception()

    async def refuse(self, writer, arrival, echo, why):
        arrival["end"] = "not run: " + why
        self.kit.record("replica", self.name, "refuses", arrival["id"], why, "Deadline-Ms",
                        arrival["headers"].get("deadline-ms"))
        return await self.reply(writer, 503, echo + [("Not-Run", "1")])

    async def wait_in_queue(self, left, deadline):
        if len(self.queue) >= 2 * self.slots:
            return False
        turn = asyncio.Event()
        self.queue.append(turn)
        waiting = asyncio.ensure_future(turn.wait())
        await asyncio.wait([waiting, left], timeout=deadline and max(0, deadline - time.time()),
                           return_when=asyncio.FIRST_COMPLETED)
        if turn in self.queue:
            self.queue.remove(turn)
        waiting.cancel()
        return turn.is_set() and not left.done()

    async def work(self, arrival, h, rid, left, deadline, writer):
        arrival["ran"] = True
        self.kit.record("replica", self.name, "runs", rid, arrival["path"], "after", arrival["after"],
                        "Tenant", h.get("tenant"))
        signed = [("Request-Id", rid), ("Signature", "sig-" + rid)]
        fails = self.status_of(h)
        if fails:
            done, _ = await asyncio.wait([left], timeout=fails[1])
            arrival["end"] = "left" if done else fails[0]
            return False if done else await self.reply(writer, fails[0], signed, b"no")
        writer.write(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" %
                      "".join("%s: %s\r\n" % x for x in signed)).encode())
        for n in range(arrival["after"] + 1, self.events_of(h) + 1):
            done, _ = await asyncio.wait([left], timeout=self.gap_s)
            if done:
                arrival["end"] = "left after %d" % (n - 1)
                return False
            if deadline is not None and time.time() > deadline:
                arrival["end"] = "deadline after %d" % (n - 1)
                writer.transport.abort()
                return False
            data = ("id: %d\ndata: %s\n\n" % (n, self.kit.text(rid, n))).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        arrival["end"] = "done"
        return True


class Proc:
    def __init__(self, kit, program, name, ip, settings):
        self.kit, self.program, self.name, self.ip, self.settings = kit, program, name, ip, settings
        self.path = os.path.join(kit.dir, name + ".toml")
        self.log = os.path.join(kit.dir, name + ".log")
        self.p = None

    def start(self):
        with open(self.path, "w") as f:
            for k, v in self.settings.items():
                f.write("%s = %s\n" % (k, json.dumps(v)))
        with open(self.log, "a") as log:
            self.p = subprocess.Popen([os.path.join(ROOT, "target/bin", self.program), "--config", self.path],
                                      stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT, cwd=ROOT)
        self.kit.record("start", self.name)

    def alive(self):
        return self.p is not None and self.p.poll() is None

    def signal(self, sig):
        self.kit.record("signal", self.name, signal.Signals(sig).name)
        if self.alive():
            self.p.send_signal(sig)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.p:
            self.p.wait()

    def wipe_disk(self):
        shutil.rmtree(self.settings["data"], ignore_errors=True)
        self.kit.record("wiped", self.name)

    def log_text(self):
        with open(self.log, errors="replace") as f:
            return f.read()


class Kit:
    def __init__(self, record):
        self.out = record
        self.began = time.time()
        self.dir = tempfile.mkdtemp(prefix="auburn-review-")
        self.arrivals = []
        self.replicas, self.controls, self.fronts = [], [], []
        self.net = "127.%d.%d" % (random.randint(1, 250), random.randint(0, 250))
        self.last_host = 0
        self.ports = self.find_ports()
        self.text = lambda rid, n: "%s-%d" % (rid, n)

    def record(self, *words):
        self.out.write("%8.3f %s\n" % (time.time() - self.began, " ".join(str(w) for w in words)))
        self.out.flush()

    def next_ip(self):
        self.last_host += 1
        return "%s.%d" % (self.net, self.last_host)

    def find_ports(self):
        """Ten ports in a row that nothing uses on the loopback addresses of this run."""
        for _ in range(50):
            first = random.randint(20000, 30000)
            try:
                for port in range(first, first + 10):
                    with socket.socket() as s:
                        s.bind(("0.0.0.0", port))
                return range(first, first + 10)
            except OSError:
                continue
        raise CannotRun("no free ports")

    # ---- processes ----

    async def start(self, controls=3, fronts=2, replicas=2, slots=2, services=("llm",), control_settings=None,
                    front_settings=None):
        zones = ["za", "zb", "zc"]
        self.list_addr = "%s:%d" % (self.next_ip(), self.ports[9])
        ip, port = self.list_addr.split(":")
        self.list_server = await asyncio.start_server(self.serve_list, ip, int(port))
        for s in services:
            for i in range(replicas):
                r = Replica(self, "%s%d" % (s, i), zones[i % 3], slots, s)
                await r.start()
                self.replicas.append(r)
        ips = [self.next_ip() for _ in range(controls)]
        self.seeds = ["%s:%d" % (x, self.ports[2]) for x in ips[:3]]
        for i, x in enumerate(ips):
            self.controls.append(Proc(self, "auburn-control", "store-%d" % i, x, {
                "name": "store-%d" % i, "zone": zones[i % 3], "listen": "%s:%d" % (x, self.ports[0]),
                "data": os.path.join(self.dir, "store-%d" % i), "controls": self.seeds, "rpc_port": self.ports[0],
                "link_port": self.ports[1], "operators": "%s:%d" % (x, self.ports[2]),
                "upstream_list": self.list_addr, "tolerate": 1, "bootstrap": True, "ledger_groups": 0,
                "replace_grace_ms": 1500, "snapshot_mib": 16, "memory_mib": 290, "election_ms": 250, "tick_ms": 10,
                "http": "%s:%d" % (x, self.ports[5]), **(control_settings or {})}))
        for i in range(fronts):
            x = self.next_ip()
            self.fronts.append(Proc(self, "auburn-front", "front-%d" % i, x, {
                "name": "front-%d" % i, "zone": zones[i % 3], "listen": "%s:%d" % (x, self.ports[3]),
                "directory": "%s:%d" % (x, self.ports[4]), "ready": "%s:%d" % (x, self.ports[6]),
                "metrics": "%s:%d" % (x, self.ports[7]), "memory_mib": 260, "upstream_list": self.list_addr,
                "controls": self.seeds, "rpc_port": self.ports[0], "link_port": self.ports[1], "capacity": 0.25,
                "grace_s": 8, **(front_settings or {})}))
        for p in self.controls + self.fronts:
            p.start()

    async def serve_list(self, reader, writer):
        try:
            while await read_head(reader):
                body = json.dumps({"instances": [r.entry() for r in self.replicas], "nextToken": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
                    len(body), body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def leader(self):
        """The live control process that dispatches, by its log."""
        for c in self.controls:
            t = c.log_text()
            if c.alive() and t.count("event=dispatch_begins") > t.count("event=dispatch_ends") + c.__dict__.get("lost", 0):
                return c
        return None

    def kill_control(self, c):
        c.kill()
        t = c.log_text()    # a killed process writes no end of its leadership
        c.lost = t.count("event=dispatch_begins") - t.count("event=dispatch_ends")

    async def wait_leader(self, s=10):
        end = time.time() + s
        while time.time() < end:
            if self.leader():
                return self.leader()
            await asyncio.sleep(0.02)
        raise CannotRun("no leader")

    async def close(self):
        for p in self.fronts + self.controls:
            if p.alive():
                p.p.send_signal(signal.SIGCONT)
                p.p.kill()
        for p in self.fronts + self.controls:
            if p.p:
                p.p.wait()
        if os.environ.get("KEEP"):
            print("kept", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    # ---- clients and the operator ----

    async def call(self, ip, port, method, target, headers=(), body=b"", timeout=6.0):
        """One request on a new connection; (status, headers, body). 0: no whole answer."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
            writer.write(("%s %s HTTP/1.1\r\nContent-Length: %d\r\n%s\r\n" % (
                method, target, len(body), "".join("%s: %s\r\n" % x for x in headers))).encode() + body)
            return await asyncio.wait_for(self.read_answer(reader), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, IndexError, TypeError):
            return 0, {}, b""
        finally:
            if writer:
                writer.transport.abort()

    async def read_answer(self, reader):
        words, h = await read_head(reader)
        if "content-length" in h:
            return int(words[1]), h, await reader.readexactly(int(h["content-length"]))
        body = b""
        while True:
            size = int((await reader.readline()).strip(), 16)
            piece = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return int(words[1]), h, body
            body += piece

    async def request(self, front, path, rid=None, wait_ms=5000, headers=(), method="POST", usage="450,200"):
        rid = rid or "%016x" % random.getrandbits(64)
        self.record("client", front.name, method, path, rid)
        st, h, body = await self.call(front.ip, self.ports[3], method, path, [
            ("Host", HOST), ("Request-Id", rid), ("Deadline-Ms", wait_ms), ("Model", "m"), ("Token-Usage", usage),
            ("Prompt-Prefix", "aa:100,bb:100,%s:250" % rid)] + list(headers), b"body of " + rid.encode(),
            wait_ms / 1000 + 1)
        self.record("answer", front.name, rid, st)
        return st, rid, body

    def items(self, lot, n, usage="350,200", path="/digest/"):
        return [{"id": "%s%02x" % (lot, i), "path": "%s%d" % (path, i), "headers": {
            "Model": "m", "Token-Usage": usage, "Prompt-Prefix": "cc:100,%s%02x:250" % (lot, i)},
            "body": base64.b64encode(b"item %d" % i).decode(), "tokens": sum(int(x) for x in usage.split(","))}
            for i in range(n)]

    async def open_lot(self, front, lot, items, path="/digest/", headers=()):
        st, _, _ = await self.call(front.ip, self.ports[3], "POST", path + lot, [
            ("Host", HOST), ("Request-Id", lot), ("Content-Type", "application/json")] + list(headers),
            json.dumps({"items": items}).encode(), 4)
        self.record("lot", lot, "opened at", front.name, "with", len(items), "items:", st)
        return st

    async def open_lot_surely(self, lot, items, path="/digest/", headers=(), s=10):
        end = time.time() + s
        i = 0
        while time.time() < end:
            if await self.open_lot(self.fronts[i % len(self.fronts)], lot, items, path, headers) == 202:
                return
            i += 1
            await asyncio.sleep(0.3)
        raise CannotRun("lot not accepted")

    async def read_lot(self, front, lot, after=0, headers=()):
        st, _, b = await self.call(front.ip, self.ports[3], "GET", "/lots/%s?after=%d" % (lot, after),
                                   [("Host", HOST)] + list(headers), b"", 4)
        r = json.loads(b) if st == 200 else None
        self.record("lot", lot, "read at", front.name, "from", after, "->", st, "" if r is None else "total %d, %s" % (
            r["total"], [(x["id"], x["state"]) for x in r["results"]]))
        return st, r

    async def put_config(self, conf, s=10):
        """Sends a config to the control processes in turn until one acknowledges it."""
        end = time.time() + s
        body = json.dumps(conf).encode()
        i = 0
        while time.time() < end:
            c = self.controls[i % len(self.controls)]
            st, _, _ = await self.call(c.ip, self.ports[2], "POST", "/config/put", [
                ("Content-Type", "application/json")], body, 3)
            self.record("operator puts version", conf["version"], "at", c.name, "->", st)
            if st == 200:
                return
            if 400 <= st < 500:
                raise CannotRun("config refused with %d" % st)
            i += 1
            await asyncio.sleep(0.1)
        raise CannotRun("config not acknowledged")

    def config(self, version, routes, services=("llm",), slots=2, **more):
        return {"version": version, "routes": routes, "services": [
            {"name": s, "healthPath": "/health", "maxConns": 200, "proto": "h1", "tls": False,
             "engine": {"slots": slots, "kvCapacity": 101495, "kvTokenBytes": 163840, "linkMbps": 370000.0,
                        "moves": True, "backups": True, "stride": 6, "maxQueued": 12, "pinMs": 4000.0,
                        "holdMs": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}, **more}

    def stream_route(self, name="ask", prefix="/ask/", **more):
        return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "stream", "timeoutMs": 5000, "sloMs": 300,
                "priority": 0, "service": "llm", "attempts": 2, "sticky": True, "resumable": True,
                "gapTargetMs": 400, **more}

    def batch_route(self, name="digest", prefix="/digest/", **more):
        return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "batch", "timeoutMs": 15000, "sloMs": 500,
                "priority": 2, "service": "llm", "attempts": 3, "dueMs": 18000, "retentionS": 60, "maxQueued": 0,
                **more}

    async def wait_ready(self, s=15):
        end = time.time() + s
        for f in self.fronts:
            while (await self.call(f.ip, self.ports[6], "GET", "/ready", [("Host", "x")], b"", 1))[0] != 200:
                if time.time() > end:
                    raise CannotRun(f.name + " does not get ready")
                await asyncio.sleep(0.05)
        self.record("all entries are ready")

    async def wait_for(self, what, test, s=10):
        end = time.time() + s
        while not test():
            if time.time() > end:
                raise CannotRun("not seen in %d s: %s" % (s, what))
            await asyncio.sleep(0.02)
        self.record("seen:", what)

    def unexpected_exits(self, stopped=()):
        return [p.name for p in self.controls + self.fronts if p.p and not p.alive() and p not in stopped]


def main(run):
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def all_of_it(kit):
        # Streams that the end of the loop cancels are no matter for the terminal.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            return await asyncio.wait_for(run(kit), LIMIT_S)
        finally:
            await kit.close()

    with open(os.path.join(folder, "record.txt"), "w") as out:
        out.write("TROUBLE=%d\n" % TROUBLE)
        try:
            broken = asyncio.run(all_of_it(Kit(out)))
        except (CannotRun, asyncio.TimeoutError, OSError) as e:
            out.write("could not run: %r\n" % e)
            print("could not run: %r" % e)
            sys.exit(2)
        except Exception:
            out.write(traceback.format_exc())
            traceback.print_exc()
            sys.exit(2)
        for b in broken:
            out.write("BROKEN: %s\n" % b)
            print("BROKEN:", b)
        out.write("the rule %s\n" % ("was broken" if broken else "held"))
        print("the rule %s" % ("was broken" if broken else "held"))
        sys.exit(1 if broken else 0)
