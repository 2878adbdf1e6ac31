"""Invalid input: wrong settings for each program except auburn-front (see test_platform.py), and malformed, huge or
slow input on the HTTP and RPC ports of entries and control processes.

Guards against programs that start with settings they misread, and against processes that crash, run out of memory,
block other clients or lose accepted work because of input that no proper client sends.
"""
import json
import os
import random
import re
import socket
import struct
import subprocess
import tempfile
import time
import unittest

import fleet
from fleet import CALLER_KEY, OPERATOR_KEY, bearer, call, wait_for

WRONG_ADDR = ["nonsense", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:1x", "300.0.0.1:80", ""]
WRONG_WORD = ["", "x" * 5000, 5]
WRONG_INT = [-1, 1 << 40, 1.5, "5", True]
ADDR, ADDR2, ADDR3 = "127.0.40.1:4101", "127.0.40.2:4102", "127.0.40.3:4103"
KEYS = [{"name": "desk", "key": "12345678"}]

# Program: valid settings, and by key the values that must be refused; other keys get the values of their type.
PROGRAMS = {
    "auburn-control": (
        {"name": "c", "zone": "z", "listen": ADDR, "http": ADDR2, "data": "/nowhere", "platform": "http://" + ADDR3,
         "controls": [ADDR], "spares": [ADDR3], "routes": [ADDR + "=" + ADDR2], "ledger_groups": 2, "tick_ms": 20,
         "election_ms": 400, "lease_ms": 2000, "replace_grace_ms": 60000, "platform_poll_ms": 1000,
         "snapshot_entries": 1000, "snapshot_mib": 64},
        {"listen": WRONG_ADDR, "http": WRONG_ADDR, "controls": [[], [5], ["x"], 5, ADDR], "spares": [["x"], 5],
         "routes": [["x"], [ADDR + "="], 5]}),
    "auburn-entry": (
        {"name": "e", "zone": "z", "listen": ADDR, "peer": ADDR2, "peer_key": "a-key-of-peers", "controls": [ADDR3],
         "ledger_groups": 2,
         "address_ttl_ms": 1000, "max_body_bytes": 1000, "max_items": 10, "max_connections": 10, "caller": KEYS,
         "operator": KEYS, "bench": {"way": "owner", "preempt": "resume", "keep": "peak"}},
        {"listen": WRONG_ADDR, "peer": WRONG_ADDR, "controls": [[], [5], ["x"], 5]}),
    "auburnctl": (
        {"entries": [ADDR], "controls": [ADDR2], "key": "k", "operator_key": "k"},
        {"entries": [[], [5], ["x"], 5], "controls": [["x"], 5]}),
    "auburn-fake-engine": (
        {"listen": ADDR, "name": "n", "weight_store": "http://" + ADDR2, "slots": 8, "step_base_us": 1,
         "step_per_stream_us": 1, "prefill_us_per_token": 1, "cache_prefixes": 1, "prefix_bytes": 1,
         "report_lag_ms": 1, "event_lag_ms": 1, "event_gap_percent": 1, "load_ms": 1, "seed": 1, "fencing": True},
        {"listen": WRONG_ADDR, "name": ["x" * 5000, 5], "weight_store": ["x" * 5000, 5]}),
    "auburn-fake-service": ({"listen": ADDR, "name": "n", "delay_ms": 1},
                            {"listen": WRONG_ADDR, "name": ["x" * 5000, 5]}),
    "auburn-fake-platform": (
        {"listen": ADDR, "lag_ms": 1, "weight_ms": 1, "weight_rate": 1,
         "vm": [{"id": "v", "addr": ADDR, "zone": "z", "service": "s", "state": "live"}]}, {"listen": WRONG_ADDR}),
    "auburn-relay": ({"listen": ADDR, "target": ADDR2, "control": ADDR3},
                     {k: WRONG_ADDR for k in ("listen", "target", "control")}),
}
OPTIONAL = {"http", "platform", "spares", "routes", "weight_store", "name", "state", "bench", "caller", "operator",
            "vm", "controls", "key", "operator_key", "way", "preempt", "keep"}


def wrong_values(key, value, special):
    if key in special:
        return special[key]
    if isinstance(value, bool):
        return [1, "true"]
    return WRONG_INT if isinstance(value, int) else WRONG_WORD


def variants(settings, special):
    """Yields (key, settings in which this key is invalid, unknown or missing) for each key of each table."""
    yield "unknown_key", dict(settings, unknown_key=1)
    for k, v in settings.items():
        if isinstance(v, dict) or (isinstance(v, list) and isinstance(v[0], dict)):
            first = v if isinstance(v, dict) else v[0]
            yield k, dict(settings, **{k: 5})
            for inner, table in variants(first, {}):
                yield inner, dict(settings, **{k: table if isinstance(v, dict) else [table]})
            continue
        for wrong in wrong_values(k, v, special):
            yield k, dict(settings, **{k: wrong})
        if k not in OPTIONAL and not isinstance(v, (int, float)):
            yield k, {x: y for x, y in settings.items() if x != k}


class Settings(unittest.TestCase):
    """A program must refuse invalid settings with one line that names file, line and key."""

    def check(self, program, text):
        with tempfile.NamedTemporaryFile("wb", suffix=".toml") as f:
            f.write(text)
            f.flush()
            p = subprocess.run([os.path.join(fleet.BIN, program), "--config", f.name, "--check"],
                               capture_output=True, text=True, errors="replace", timeout=60)
            return p, f.name

    def assert_refused(self, program, text, key):
        p, path = self.check(program, text)
        self.assertGreater(p.returncode, 0, (program, text, p))
        self.assertRegex(p.stderr, r"\A[^\n]*%s:\d+:[^\n]{3,}\n\Z" % re.escape(path), (program, text))
        if key:
            m = re.search(r"%s:(\d+): %s: ." % (re.escape(path), key), p.stderr)
            self.assertTrue(m, (program, text, p.stderr))
            line = text.decode().split("\n")[max(int(m.group(1)) - 1, 0)]
            if (key + " =") in text.decode():
                self.assertIn(key, line, p.stderr)

    def test_valid_settings_pass(self):
        for program, (settings, _) in PROGRAMS.items():
            p, _ = self.check(program, fleet.toml(settings).encode())
            self.assertEqual((p.returncode, p.stderr), (0, ""), program)

    def test_each_key_with_invalid_values(self):
        for program, (settings, special) in PROGRAMS.items():
            for key, wrong in variants(settings, special):
                with self.subTest(program=program, key=key):
                    self.assert_refused(program, fleet.toml(wrong).encode(), key)

    def test_invalid_toml(self):
        for program in PROGRAMS:
            for text in (b"listen = ", b"a = 1\na = 2\n", b"[[[", b"\xff\xfe\x00junk", b"x = \"" + b"y" * 100000):
                with self.subTest(program=program, text=text[:20]):
                    self.assert_refused(program, text, None)

    def test_prompt_that_is_no_utf8_is_refused_before_it_is_sent(self):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as f:
            f.write(fleet.toml({"entries": ["127.0.0.1:1"], "key": "k"}))
            f.flush()
            p = subprocess.run([os.path.join(fleet.BIN, "auburnctl"), "--config", f.name, "request", "send", "--service",
                                "chat", "--prompt", b"caf\xe9"], capture_output=True, text=True, timeout=60)
        self.assertEqual((p.returncode, p.stderr), (2, "auburnctl: --service and --prompt must be UTF-8\n"))

    def test_settings_file_missing_or_a_directory(self):
        for program in PROGRAMS:
            for path in ("/nowhere/x.toml", tempfile.gettempdir()):
                p = subprocess.run([os.path.join(fleet.BIN, program), "--config", path, "--check"],
                                   capture_output=True, text=True, timeout=60)
                self.assertGreater(p.returncode, 0, (program, path))
                self.assertEqual(p.stderr.count("\n"), 1, (program, p.stderr))
                self.assertIn(path, p.stderr)


CONTROL_PROGRAM, PEER_PROGRAM = 0x20ab0001, 0x20ab0002
EXEC, QUERY, HEARTBEAT, RAFT, STATUS, EVENTS = range(1, 7)  # procedures of control processes
LOAD = 1  # procedure of entries


def rpc_call(program, proc, args=b"", xid=7):
    """The bytes of an ONC RPC call in a record of its own."""
    msg = struct.pack(">IIIIII", xid, 0, 2, program, 1, proc) + struct.pack(">IIII", 0, 0, 0, 0) + args
    return struct.pack(">I", 0x80000000 | len(msg)) + msg


def opaque(data):
    return struct.pack(">I", len(data)) + data + b"\0" * (-len(data) % 4)


def rpc_reply(s):
    """Reads the next RPC reply; None if the peer closes the connection."""
    data = b""
    try:
        while len(data) < 4 or len(data) < 4 + (struct.unpack(">I", data[:4])[0] & 0x7fffffff):
            more = s.recv(65536)
            if not more:
                return None
            data += more
    except OSError:
        return None
    return data[4:]


def rpc_status(s, proc, args):
    """Calls a control process; returns the status that its answer begins with, or -1 if the RPC layer refused."""
    send_all(s, rpc_call(CONTROL_PROGRAM, proc, args))
    body = rpc_reply(s)
    accept = struct.unpack(">I", body[20:24])[0]
    return struct.unpack(">i", body[24:28])[0] if accept == 0 else -1


def connect(addr):
    host, port = addr.rsplit(":", 1)
    s = socket.create_connection((host, int(port)), 10)
    s.settimeout(10)
    return s


def send_all(s, data):
    """Sends data; ignores errors, as the peer may close the connection first."""
    try:
        s.sendall(data)
    except OSError:
        pass


def answer(s, wait_s=10):
    """Reads until the header of an answer is complete, the peer closes, or nothing arrives for wait_s."""
    s.settimeout(wait_s)
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            more = s.recv(65536)
            if not more:
                break
            data += more
    except OSError:
        pass
    return data


def request_head(path, *lines, method="POST", key=CALLER_KEY):
    return ("\r\n".join(["%s %s HTTP/1.1" % (method, path), "Host: x", "Authorization: Bearer " + key] + list(lines)) +
            "\r\n\r\n").encode()


def rss_mib(proc):
    with open("/proc/%d/status" % proc.p.pid) as f:
        return int(re.search(r"VmRSS:\s+(\d+)", f.read()).group(1)) // 1024


class Ports(unittest.TestCase):
    """Invalid input on the HTTP and RPC ports of one fleet.

    After each test all processes must run, new work must be accepted, and all work accepted before must be finished.
    """

    @classmethod
    def setUpClass(cls):
        cls.f = fleet.Fleet(controls=3, entries=2, engines=1, plain=1, zones=2, entry={"max_body_bytes": 20000})
        cls.addClassCleanup(cls.f.close)
        cls.f.start()
        cls.accepted_count = 0
        cls.accepted, cls.jobs = {}, []
        cls.http = [e.settings["listen"] for e in cls.f.entries] + [c.settings["http"] for c in cls.f.controls]
        cls.rpc = ([(e.settings["peer"], PEER_PROGRAM) for e in cls.f.entries] +
                   [(c.settings["listen"], CONTROL_PROGRAM) for c in cls.f.controls])

    def setUp(self):
        self.accept_work()

    def tearDown(self):
        self.assertEqual([p.name for p in self.f.procs if not p.alive()], [])
        self.accept_work()
        for key, text in self.accepted.items():
            r = fleet.get_json(self.f.addr(1), "/v1/requests/" + key, bearer(CALLER_KEY))
            self.assertEqual(r["state"], "done", key)
            self.assertIn(text, json.dumps(r["result"]))
        for job in self.jobs:
            wait_for("end of " + job, lambda: self.f.job(job, entry=1)["done"] == 5)

    def accept_work(self):
        """Completes a request, submits a job, and stores both for the check in tearDown."""
        type(self).accepted_count += 1
        key, job = "key-%d" % self.accepted_count, "job-%d" % self.accepted_count
        status, _, body = self.f.complete(key, prompt="prompt " + key, entry=self.accepted_count % 2)
        texts, done, error = fleet.sse_texts(body)
        self.assertEqual((status, done, error, len(texts)), (200, True, None, 8), body)
        self.accepted[key] = "".join(t for i in sorted(texts) for t in texts[i])
        status, _, body = self.f.submit_job(job, [{"prompt": "p%d" % i, "max_tokens": 2} for i in range(5)])
        self.assertEqual(status, 202, body)
        self.jobs.append(job)

    def all_addrs(self):
        """The HTTP and RPC addresses of all entries and control processes."""
        return self.http + [a for a, _ in self.rpc]

    def test_random_bytes(self):
        rng = random.Random(20261204)
        for addr in self.all_addrs() * 20:
            with connect(addr) as s:
                send_all(s, rng.randbytes(rng.randrange(1, 4096)))

    def test_truncated_http(self):
        """A job must not be accepted from the part of its items that arrived before the connection was closed."""
        body = b'{"prompt":"p","max_tokens":2}\n'
        full_request = request_head("/v1/jobs?service=sammandrag-llm", "Idempotency-Key: cut",
                                    "Content-Length: %d" % len(body)) + body
        for addr in self.http:
            for n in range(1, len(full_request), 7):
                with connect(addr) as s:
                    send_all(s, full_request[:n])
        self.assertEqual(call(self.f.addr(), "GET", "/v1/jobs/cut", headers=bearer(CALLER_KEY))[0], 404)

    def test_invalid_rpc(self):
        rng = random.Random(7)
        for addr, program in self.rpc:
            full_request = rpc_call(program, 1, rng.randbytes(64))
            messages = [full_request[:n] for n in range(1, len(full_request), 5)]
            messages += [rpc_call(program, proc, rng.randbytes(4 * rng.randrange(200))) for proc in range(12)]
            messages += [rpc_call(program, proc, b"\xff" * 400) for proc in range(12)]
            messages += [rpc_call(program + 9, 1), b"\x00" * 4096, struct.pack(">I", 0xffffffff) + b"x" * 100,
                         struct.pack(">I", 0x7fffffff) + b"x" * 100, struct.pack(">I", 0x80000001) + b"x"]
            for m in messages:
                with connect(addr) as s:
                    send_all(s, m)
                    try:
                        s.shutdown(socket.SHUT_WR)
                    except OSError:
                        pass  # the peer has closed the connection

    def test_well_framed_rpc_with_invalid_content(self):
        """Includes lengths of 128 MiB that are not sent: a decoder that allocates by such a length shows in the RSS."""
        rng = random.Random(11)
        for addr, program in self.rpc:
            before = {p.name: rss_mib(p) for p in self.f.controls + self.f.entries}
            with connect(addr) as s:
                if program == CONTROL_PROGRAM:
                    for group in (0, 1, 2, 3, 0xffffffff):
                        for payload in (b"", rng.randbytes(40), struct.pack(">II", 11, 1), struct.pack(">II", 6, 0x7ffffff)):
                            args = struct.pack(">III", group, 100, 0) + opaque(payload)
                            self.assertNotEqual(rpc_status(s, EXEC, args), 0, (group, payload))
                            self.assertNotEqual(rpc_status(s, QUERY, args), 0, (group, payload))
                            send_all(s, rpc_call(program, RAFT, opaque(b"x") + struct.pack(">II", 1, group) + opaque(payload)))
                            self.assertIsNotNone(rpc_reply(s))
                    self.assertNotEqual(rpc_status(s, HEARTBEAT, b"\0" * 60), 0)
                    send_all(s, rpc_call(program, EVENTS, opaque(b"") + b"\xff" * 4))
                    self.assertIsNotNone(rpc_reply(s))
                for proc in (RAFT, LOAD):
                    send_all(s, rpc_call(program, proc, struct.pack(">III", 0, 0x07ffffff, 0x07ffffff)))
                    send_all(s, rpc_call(program, proc, struct.pack(">III", 0, 0, 0x07ffffff) + b"\0" * 64))
                    rpc_reply(s)
            for p in self.f.controls + self.f.entries:
                self.assertLess(rss_mib(p) - before[p.name], 64, p.name)
        members = fleet.get_json(self.f.addr(), "/v1/addresses")["addresses"]
        self.assertEqual(sorted(m["addr"] for m in members), sorted(e.settings["listen"] for e in self.f.entries))

    def test_huge_bodies_are_not_buffered(self):
        """Declares 1 GiB and sends 48 MiB of it. Covers only HTTP, because an RPC record may have up to 64 MiB."""
        mebibyte = b"x" * (1 << 20)
        procs = {e.settings["listen"]: e for e in self.f.entries}
        procs.update({c.settings["http"]: c for c in self.f.controls})
        for addr, proc in procs.items():
            before = rss_mib(proc)
            for path in ("/v1/jobs?service=sammandrag-llm", "/v1/completions", "/internal/v1/run", "/none"):
                with connect(addr) as s:
                    send_all(s, request_head(path, "Idempotency-Key: big", "Content-Length: %d" % (1 << 30)))
                    for _ in range(48):
                        send_all(s, mebibyte)
                    self.assertLess(rss_mib(proc) - before, 32, (addr, path))

    def test_body_over_the_limit_is_refused_as_a_whole(self):
        """A chunked body has no declared length, so the limit is noticed only after some items were read."""
        items = b"".join(b'{"prompt":"%d","max_tokens":1}\n' % i for i in range(1000))
        chunked = b"".join(b"%x\r\n%s\r\n" % (len(items[i:i + 310]), items[i:i + 310]) for i in range(0, len(items), 310))
        with connect(self.f.addr()) as s:
            send_all(s, request_head("/v1/jobs?service=sammandrag-llm", "Idempotency-Key: over",
                                     "Transfer-Encoding: chunked") +
                     chunked + b"0\r\n\r\n")
            self.assertIn(b" 413 ", answer(s).split(b"\r\n")[0])
        status, _, body = self.f.submit_job("over", [{"prompt": "x" * 100, "max_tokens": 1}] * 300)
        self.assertEqual((status, json.loads(body)["error"]["verdict"]), (413, "not_run"))
        self.assertEqual(call(self.f.addr(), "GET", "/v1/jobs/over", headers=bearer(CALLER_KEY))[0], 404)

    def test_huge_header(self):
        """One long line, a long path, and many lines: each must be refused, or its connection closed."""
        for addr in self.http:
            for data in (request_head("/v1/jobs", "X-Big: " + "x" * (1 << 20), method="GET"),
                         ("GET /" + "x" * (1 << 20) + " HTTP/1.1\r\n\r\n").encode(),
                         request_head("/v1/jobs", *["X-%d: y" % i for i in range(20000)], method="GET")):
                with connect(addr) as s:
                    send_all(s, data)
                    first = answer(s).split(b"\r\n")[0]
                    self.assertTrue(first == b"" or re.match(rb"HTTP/1.1 4\d\d ", first), first)

    def test_slow_clients_do_not_block_others(self):
        """Sends one byte a second on every port; a reader that blocks on one connection would block all others."""
        body = json.dumps({"model": "sammandrag-llm", "prompt": "slow", "max_tokens": 2}).encode()
        request = request_head("/v1/completions", "Idempotency-Key: slow", "Content-Length: %d" % len(body)) + body
        slow = [(connect(a), request) for a in self.http] + [(connect(a), rpc_call(p, 1, b"\0" * 64)) for a, p in self.rpc]
        try:
            for i in range(5):
                for s, data in slow:
                    send_all(s, data[i:i + 1])
                self.accept_work()
                time.sleep(1)
            s, data = slow[0]
            send_all(s, data[5:])
            self.assertIn(b" 200 ", answer(s).split(b"\r\n")[0])
        finally:
            for s, _ in slow:
                s.close()

    def test_500_idle_connections_on_each_port(self):
        """Each connection occupies a thread while it is open; idle ones must not use up what other clients need."""
        for addr in self.all_addrs():
            idle = [connect(addr) for _ in range(500)]
            try:
                self.accept_work()
            finally:
                for s in idle:
                    s.close()

    def test_invalid_requests_are_refused_and_not_run(self):
        """The refusal says `not_run`, so an invalid request must not reach an engine before it is refused."""
        good = {"model": "sammandrag-llm", "prompt": "p", "max_tokens": 2}
        bodies = [b"", b"{", b"[]", b"5", b"null", b"\xff\xfe", b"[" * 10000, b'{"a":' * 3000,
                  json.dumps(dict(good, max_tokens=-1)).encode(), json.dumps(dict(good, max_tokens=0)).encode(),
                  json.dumps(dict(good, max_tokens=1 << 62)).encode(), json.dumps(dict(good, max_tokens="2")).encode(),
                  json.dumps(dict(good, prompt=5)).encode(), json.dumps(dict(good, model="none")).encode(),
                  json.dumps(dict(good, max_tokens=10 ** 30)).encode(), json.dumps({"model": "sammandrag-llm"}).encode()]
        started = fleet.get_json(self.f.engines[0].settings["listen"], "/v1/counts")["started"]
        for i, body in enumerate(bodies):
            for path in ("/v1/completions", "/v1/jobs?service=sammandrag-llm", "/v1/services/none/x", "/internal/v1/run"):
                if b"none" in body and path.startswith("/v1/jobs"):
                    continue  # items have no field `model`
                key = fleet.PEER_KEY if path.startswith("/internal") else CALLER_KEY
                status, _, out = call(self.f.addr(), "POST", path, body, bearer(key, "bad-%d" % i))
                is_expected = status == 503 if path.startswith("/internal") else 400 <= status < 500
                self.assertTrue(is_expected or status == 400, (path, body[:60], status, out))
                self.assertEqual(json.loads(out)["error"]["verdict"], "not_run", (path, body[:60]))
        wait_for("end of all jobs", lambda: all(self.f.job(j)["done"] == 5 for j in self.jobs))
        after = fleet.get_json(self.f.engines[0].settings["listen"], "/v1/counts")["started"]
        self.assertLessEqual(after - started, 5)

    def test_invalid_headers_and_parameters(self):
        body = json.dumps({"model": "sammandrag-llm", "prompt": "p", "max_tokens": 2}) + "\n"
        bad_numbers = ("9223372036854775807", "-9223372036854775808", "1e9", "abc", "99999999999999999999")
        for i, v in enumerate(bad_numbers):
            more = dict(bearer(CALLER_KEY, "odd-%d" % i), **{"X-Deadline-Ms": v, "traceparent": v})
            for path in ("/v1/completions", "/v1/jobs?service=sammandrag-llm&deadline_ms=" + v):
                self.assertLess(call(self.f.addr(), "POST", path, body, more)[0], 600)
            for path in ("/v1/jobs/job-1/results?first=%s&max=%s" % (v, v), "/v1/jobs?max=%s&after=%s" % (v, v),
                         "/v1/requests/%00%ff%2f..", "/v1/jobs/" + "k" * 5000, "/v1/addresses?zone=" + "%ff" * 500):
                self.assertLess(call(self.f.addr(), "GET", path, headers=more)[0], 500, path)
            for method, path in (("GET", "/v1/config?number=" + v), ("PUT", "/v1/config?number=" + v),
                                 ("GET", "/v1/events?max=" + v)):
                status = call(self.f.addr(), method, path, "[[" if method == "PUT" else None, bearer(OPERATOR_KEY))[0]
                self.assertLess(status, 500, path)
        for key in ("k" * 5000, "a b", "\x01", "\xff"):
            for path in ("/v1/completions", "/v1/jobs?service=sammandrag-llm"):
                self.assertEqual(call(self.f.addr(), "POST", path, body, bearer(CALLER_KEY, key))[0], 400, (path, key))
        for length in ("abc", "-1", "99999999999999999999", "18446744073709551615"):
            with connect(self.f.addr()) as s:
                send_all(s, request_head("/v1/completions", "Idempotency-Key: len",
                                         "Content-Length: " + length) + b"{}")
                self.assertNotIn(b" 200 ", answer(s, 2).split(b"\r\n")[0])


if __name__ == "__main__":
    unittest.main()
