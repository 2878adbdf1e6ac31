"""Process tests of auburn-entry: planned stops under load, upstreams that leave, lost entries."""
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
    """Asks for addresses, keeps the answer as long as it may, sends one request after another."""

    def __init__(self, f, name, ask):
        super().__init__()
        self.f, self.name_, self.ask = f, name, ask
        self.stop = threading.Event()
        self.done, self.refused, self.bad = [], [], []

    def addresses(self):
        for a in self.ask:
            try:
                got = fl.get_json(a, "/v1/addresses")
                return [x["addr"] for x in got["addresses"]], got["valid_until_wall_ms"] / 1000
            except (OSError, ValueError, http.client.HTTPException):
                continue
        return [], 0

    def run(self):
        import time
        addrs, until, n = [], 0, 0
        while not self.stop.is_set():
            if time.time() >= until or not addrs:
                addrs, until = self.addresses()
                if not addrs:
                    continue
            key, n = "%s-%d" % (self.name_, n), n + 1
            body = json.dumps({"model": "sammandrag-llm", "prompt": key, "max_tokens": TOKENS, "stream": True})
            try:
                status, _, out = fl.call(addrs[0], "POST", "/v1/completions", body, fl.bearer(fl.CALLER_KEY, key))
                texts, done, _ = fl.sse_texts(out)
                if status == 200 and done and len(texts) == TOKENS:
                    self.done.append(key)
                elif status == 503 and json.loads(out)["error"]["verdict"] == "not_run":
                    self.refused.append(key)
                else:
                    self.bad.append((key, status, out[-200:]))
            except (OSError, http.client.HTTPException) as e:
                self.bad.append((key, repr(e)))


class Callers:
    def __init__(self, f, n):
        ask = [f.addr(i) for i in range(len(f.entries))]
        self.all = [Caller(f, "c%d" % i, ask[i % len(ask):] + ask[:i % len(ask)]) for i in range(n)]

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
        return sum(len(c.done) for c in self.all)

    def bad(self):
        return [b for c in self.all for b in c.bad] + [r for c in self.all for r in c.refused]


class EntryStop(unittest.TestCase):
    def fleet(self, **more):
        f = fl.Fleet(**dict({"controls": 1, "entries": 3, "engines": 3, "engine": ENGINE}, **more))
        self.addCleanup(f.close)
        return f.start()

    def test_planned_stop_and_rolling_restart_interrupt_no_request(self):
        f = self.fleet()
        f.submit_job("batch", [{"prompt": "b%d" % i, "max_tokens": 60} for i in range(400)])
        with Callers(f, 6) as callers:
            fl.wait_for("load", lambda: callers.done() > 20)
            for i, e in enumerate(f.entries):
                self.assertEqual(e.stop(), 0)
                e.start()
                fl.wait_for("return of " + e.name, lambda i=i: fl.call(f.addr(i), "GET", "/readyz")[0] == 200)
                f.wait_owned()
                more = callers.done() + 20
                fl.wait_for("load", lambda more=more: callers.done() > more)
        self.assertEqual(callers.bad(), [])
        job = fl.wait_for("end of the job", lambda: (lambda j: j if j["state"] == "done" else None)(f.job("batch")))
        self.assertEqual((job["done"], job["failed"]), (400, 0))

    def test_killed_entry_loses_no_accepted_request(self):
        f = self.fleet()
        f.submit_job("batch", [{"prompt": "b%d" % i, "max_tokens": 60} for i in range(200)])
        keys = ["kill-%d" % i for i in range(6)]
        threads = [threading.Thread(target=self.lost_call, args=(f, k)) for k in keys]
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
    def lost_call(f, key):
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
            fl.wait_for("load there", lambda: started() > 5)
            f.set_vms(f.vms(leaving=[leaving.name]))
            fl.wait_for("leaving", lambda: all(
                u["state"] != "live" for i in range(3) for u in f.status(i)["upstreams"] if u["id"] == leaving.name))
            last, more = started(), callers.done() + 60
            fl.wait_for("load elsewhere", lambda: callers.done() > more)
            self.assertEqual(started(), last)
        self.assertEqual(callers.bad(), [])


if __name__ == "__main__":
    unittest.main()
