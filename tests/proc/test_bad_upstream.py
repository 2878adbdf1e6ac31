"""An engine that sends malformed, truncated, reordered or foreign answers.

Guards against entries that pass such an answer on as a complete one, crash on it, or buffer it without limit: a caller
must get its own complete text, a correct prefix of it with an error, or an error.
"""
import json
import re
import socket
import struct
import threading
import unittest

import fleet
from fleet import CALLER_KEY, bearer, call, wait_for

TOKENS = 6
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
DONE = b"data: [DONE]\n\n"


def event(rid, index, text):
    e = {"id": rid, "index": index, "choices": [{"index": 0, "text": text}]}
    return b"data: " + json.dumps(e).encode() + b"\n\n"


def all_events(rid, texts, order):
    return b"".join(event(rid, i, texts[i]) for i in order)


# Modes of the bad engine: its answer to a completion, given the request's id and the correct texts.
ANSWERS = {
    "closes": lambda rid, t: b"",
    "not_http": lambda rid, t: b"\x00\xff junk \r\n\r\n" * 100,
    "huge_header": lambda rid, t: b"HTTP/1.1 200 OK\r\nX: " + b"x" * (4 << 20),
    "huge_line": lambda rid, t: HEAD + b"data: " + b"x" * (64 << 20),
    "not_json": lambda rid, t: HEAD + b"data: {nonsense\n\n" + DONE,
    "deep_json": lambda rid, t: HEAD + b"data: " + b"[" * 100000 + b"\n\n" + DONE,
    "not_utf8": lambda rid, t: HEAD + event(rid, 0, "Z").replace(b"Z", b"\xff\xfe") + DONE,
    "text_is_a_number": lambda rid, t: HEAD + event(rid, 0, 5) + DONE,
    "index_is_text": lambda rid, t: HEAD + event(rid, "0", t[0]) + DONE,
    "index_is_huge": lambda rid, t: HEAD + event(rid, 1 << 40, t[0]) + DONE,
    "index_is_negative": lambda rid, t: HEAD + event(rid, -1, t[0]) + DONE,
    "no_choices": lambda rid, t: HEAD + b'data: {"id":"%s","index":0,"choices":[]}\n\n' % rid.encode() + DONE,
    "other_id": lambda rid, t: HEAD + all_events("another", ["wrong "] * TOKENS, range(TOKENS)) + DONE,
    "gap": lambda rid, t: HEAD + all_events(rid, t, [0, 2, 3, 4, 5]) + DONE,
    "done_too_early": lambda rid, t: HEAD + all_events(rid, t, range(TOKENS - 2)) + DONE,
    "no_tokens": lambda rid, t: HEAD + DONE,
    "breaks_off": lambda rid, t: HEAD + all_events(rid, t, range(3)),
    "no_done": lambda rid, t: HEAD + all_events(rid, t, range(TOKENS)),
    "repeats": lambda rid, t: HEAD + all_events(rid, t, [0, 0, 1, 1, 2, 3, 4, 5]) + DONE,
    "out_of_order": lambda rid, t: HEAD + all_events(rid, t, [1, 0, 2, 3, 5, 4]) + DONE,
    "too_many": lambda rid, t: HEAD + all_events(rid, t + ["extra "] * 3, range(TOKENS + 3)) + DONE,
    "error_500": lambda rid, t: b"HTTP/1.1 500 X\r\nContent-Length: 9999999\r\n\r\n" + b"x" * 100000,
    "redirect": lambda rid, t: b"HTTP/1.1 302 X\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
}
# Its answers to all other requests, which ask for its load, state and cache.
REPORTS = [b"", b"[]", b"{", b'{"running":"x","waiting":-5,"slots":[],"step_us":1e300,"age_ms":-1}',
           b'{"events":5,"last":-1}', b'{"events":[{"seq":"x","op":5,"prefix":"zz"},5],"last":99999999999}',
           b'{"last":1,"prefixes":[5,"x"]}', b"[" * 100000, b"\xff" * 1000]


class BadEngine(threading.Thread):
    """Answers completions according to `mode`, and all other requests with malformed reports."""

    def __init__(self, addr, good):
        super().__init__(daemon=True)
        self.good, self.mode, self.completions, self.reports = good, "closes", 0, 0
        host, port = addr.split(":")
        self.sock = socket.create_server((host, int(port)), backlog=256)

    def run(self):
        while True:
            try:
                c, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(c,), daemon=True).start()

    def read_request(self, c):
        data = b""
        while b"\r\n\r\n" not in data:
            more = c.recv(65536)
            if not more:
                return b"", b""
            data += more
        head, body = data.split(b"\r\n\r\n", 1)
        m = re.search(rb"(?i)content-length: (\d+)", head)
        while m and len(body) < int(m.group(1)):
            body += c.recv(65536)
        return head, body

    def serve(self, c):
        try:
            c.settimeout(10)
            head, body = self.read_request(c)
            if head.startswith(b"POST /v1/completions"):
                self.completions += 1
                want = json.loads(body)
                _, _, answer = call(self.good, "POST", "/v1/completions", json.dumps(
                    dict(want, request_id="direct", fence=None, resume_from=0, max_tokens=TOKENS)))
                texts, _, _ = fleet.sse_texts(answer)
                c.sendall(ANSWERS[self.mode](want["request_id"], [texts[i][0] for i in sorted(texts)]))
            elif head:
                self.reports += 1
                body = REPORTS[self.reports % len(REPORTS)]
                c.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body)
        except (OSError, ValueError, KeyError):
            c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        finally:
            c.close()


class BadUpstream(unittest.TestCase):
    def setUp(self):
        self.f = fleet.Fleet(controls=3, entries=2, engines=2, plain=0, zones=2)
        self.addCleanup(self.f.close)
        self.f.start()
        self.good = self.f.engines[0].settings["listen"]
        self.bad = BadEngine(self.f.net + "180:7700", self.good)
        self.addCleanup(self.bad.sock.close)
        self.bad.start()
        vms = self.f.vms()
        self.f.set_vms(vms + [dict(vms[0], id="bad-1", addr=self.f.net + "180:7700")])
        wait_for("owner of the bad engine", lambda: any(
            u["id"] == "bad-1" and u["owned_here"] for i in range(2) for u in self.f.status(i)["upstreams"]))

    def expected_texts(self, prompt):
        """The texts that the good engine produces for the prompt."""
        body = {"request_id": "direct", "prompt": prompt, "max_tokens": TOKENS}
        texts, _, _ = fleet.sse_texts(call(self.good, "POST", "/v1/completions", json.dumps(body))[2])
        return [texts[i] for i in range(TOKENS)]

    def test_no_caller_gets_a_wrong_answer(self):
        n, seen = 0, {}
        for mode in ANSWERS:
            self.bad.mode, before = mode, self.bad.completions
            for _ in range(40):
                n += 1
                key, prompt = "bad-%d" % n, "%s prompt %d" % (mode, n)
                status, _, body = self.f.complete(key, prompt=prompt, tokens=TOKENS, entry=n % 2)
                texts, done, error = fleet.sse_texts(body) if status == 200 else ({}, False, body)
                want = self.expected_texts(prompt)
                got = [texts[i] for i in sorted(texts)]
                self.assertTrue(done != bool(error), (mode, status, body[-300:]))
                self.assertEqual(got, want[:len(got)], mode)
                if done:
                    self.assertEqual(got, want, mode)
                if self.bad.completions >= before + 2:
                    break
            seen[mode] = self.bad.completions - before
        self.assertEqual([m for m in ANSWERS if not seen[m]], [])
        self.assertGreater(self.bad.reports, 0)
        self.assertEqual([p.name for p in self.f.procs if not p.alive()], [])
        for i, e in enumerate(self.f.entries):
            with open("/proc/%d/status" % e.p.pid) as f:
                self.assertLess(int(re.search(r"VmRSS:\s+(\d+)", f.read()).group(1)), 256 << 10)
            self.assertEqual(call(self.f.addr(i), "GET", "/v1/jobs", headers=bearer(CALLER_KEY))[0], 200)


if __name__ == "__main__":
    unittest.main()
