"""Entries under load: rolling restarts, a killed entry, and an upstream that leaves.

Guards against requests that fail because an entry exits before it has handed over its work, against accepted work that
is lost with an entry, and against new work on an upstream that is being drained.
"""
import http.client
import json
import os
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fl  # noqa: E402

TOKENS = 20
ENGINE = {"step_base_us": 10000}


class Caller(threading.Thread):
    """Sends one request after another; reads the entries' addresses again when they are no longer valid."""

    def __init__(self, f, name, directory):
        super().__init__()
        self.f, self.caller_name, self.directory = f, name, directory
        self.stop = threading.Event()
        self.done, self.refused, self.failed = [], [], []

    def addresses(self):
        """Reads them from the first entry that answers; returns (addresses, Unix time until which they are valid)."""
        for a in self.directory:
            try:
                got = fl.get_json(a, "/v1/addresses")
                return [x["addr"] for x in got["addresses"]], got["valid_until_wall_ms"] / 1000
            except (OSError, ValueError, http.client.HTTPException):
                continue
        return [], 0

    def run(self):
        import time
        addrs, valid_until, n = [], 0, 0
        while not self.stop.is_set():
            if time.time() >= valid_until or not addrs:
                addrs, valid_until = self.addresses()
                if not addrs:
                    continue
            key, n = "%s-%d" % (self.caller_name, n), n + 1
            body = json.dumps({"model": "sammandrag-llm", "prompt": key, "max_tokens": TOKENS, "stream": True})
            try:
                status, _, out = fl.call(addrs[0], "POST", "/v1/completions", body, fl.bearer(fl.CALLER_KEY, key))
                texts, done, _ = fl.sse_texts(out)
                if status == 200 and done and len(texts) == TOKENS:
                    self.done.append(key)
                elif status == 503 and json.loads(out)["error"]["verdict"] == "not_run":
                    self.refused.append(key)
                else:
                    self.failed.append((key, status, out[-200:]))
            except (OSError, http.client.HTTPException) as e:
                self.failed.append((key, repr(e)))


class Callers:
    """Context manager that runs n callers; each starts with another entry."""

    def __init__(self, f, n):
        addrs = [f.addr(i) for i in range(len(f.entries))]
        self.all = [Caller(f, "c%d" % i, addrs[i % len(addrs):] + addrs[:i % len(addrs)]) for i in range(n)]

    def __enter__(self):
        for c in self.all:
            c.start()
        return self

    def __exit__(self, *exc):
        for c in self.all:
            c.stop.set()
        for c in self.all:
            c.join()

    def done(self):
        """Number of requests that were served."""
        return sum(len(c.done) for c in self.all)

    def not_served(self):
        """Requests that failed or were refused."""
        return [b for c in self.all for b in c.failed] + [r for c in self.all for r in c.refused]


class EntryStop(unittest.TestCase):
    def fleet(self, **options):
        f = fl.Fleet(**dict({"controls": 1, "entries": 3, "engines": 3, "engine": ENGINE}, **options))
        self.addCleanup(f.close)
        return f.start()

    def test_rolling_restart_interrupts_no_request(self):
        f = self.fleet()
        f.submit_job("batch", [{"prompt": "b%d" % i, "max_tokens": 60} for i in range(400)])
        with Callers(f, 6) as callers:
            fl.wait_for("load", lambda: callers.done() > 20)
            for i, e in enumerate(f.entries):
                self.assertEqual(e.stop(), 0)
                e.start()
                fl.wait_for("return of " + e.name, lambda i=i: fl.call(f.addr(i), "GET", "/readyz")[0] == 200)
                f.wait_owned()
                target = callers.done() + 20
                fl.wait_for("load", lambda target=target: callers.done() > target)
        self.assertEqual(callers.not_served(), [])
        job = fl.wait_for("end of the job", lambda: (lambda j: j if j["state"] == "done" else None)(f.job("batch")))
        self.assertEqual((job["done"], job["failed"]), (400, 0))

    def test_killed_entry_loses_no_accepted_request(self):
        f = self.fleet()
        f.submit_job("batch", [{"prompt": "b%d" % i, "max_tokens": 60} for i in range(200)])
        keys = ["kill-%d" % i for i in range(6)]
        threads = [threading.Thread(target=self.complete_ignoring_errors, args=(f, k)) for k in keys]
        for t in threads:
            t.start()
        fl.wait_for("accepted requests", lambda: f.status(0)["requests"] >= len(keys))
        f.entries[0].kill()
        for t in threads:
            t.join()

        def done(key):
            rec = fl.get_json(f.addr(1), "/v1/requests/" + key, fl.bearer(fl.CALLER_KEY))
            return rec if rec["state"] == "done" else None
        for k in keys:
            rec = fl.wait_for("result of " + k, lambda k=k: done(k))
            self.assertEqual(rec["result"]["tokens"], 300)
        job = fl.wait_for("end of the job", lambda: (lambda j: j if j["state"] == "done" else None)(f.job("batch", 1)))
        self.assertEqual((job["done"], job["failed"]), (200, 0))

    @staticmethod
    def complete_ignoring_errors(f, key):
        try:
            f.complete(key, key, 300)
        except (OSError, http.client.HTTPException):
            pass

    def test_leaving_upstream_gets_no_new_work(self):
        f = self.fleet()
        leaving = f.engines[0]

        def started():
            return fl.get_json(leaving.settings["listen"], "/v1/counts")["started"]
        with Callers(f, 6) as callers:
            fl.wait_for("load on the upstream", lambda: started() > 5)
            f.set_vms(f.vms(leaving=[leaving.name]))
            fl.wait_for("state of the leaving upstream at all entries", lambda: all(
                u["state"] != "live" for i in range(3) for u in f.status(i)["upstreams"] if u["id"] == leaving.name))
            started_before, target = started(), callers.done() + 60
            fl.wait_for("load on the other upstreams", lambda: callers.done() > target)
            self.assertEqual(started(), started_before)
        self.assertEqual(callers.not_served(), [])


if __name__ == "__main__":
    unittest.main()
