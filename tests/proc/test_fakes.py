"""Process tests of the stand-ins: engine, plain service, platform and relay."""
import http.client
import json
import os
import subprocess
import tempfile
import unittest

import fleet
from fleet import wait_for

WAIT_S = 30
ENGINE, SERVICE, PLATFORM, RELAY, CONTROL = (fleet.net() + "%d:40%02d" % (i, i) for i in range(1, 6))


def open_request(addr, method, path, body=None, headers=None):
    host, port = addr.split(":")
    c = http.client.HTTPConnection(host, int(port), timeout=WAIT_S)
    c.request(method, path, json.dumps(body) if body is not None else None, headers or {})
    return c


def call(addr, method, path, body=None, headers=None):
    status, _, data = fleet.call(addr, method, path, json.dumps(body) if body is not None else None, headers)
    return status, json.loads(data) if data else None


class Stream:
    """A completion in progress; its connection is open."""

    def __init__(self, addr, rid, prompt, tokens, **more):
        self.c = open_request(addr, "POST", "/v1/completions",
                              dict(request_id=rid, prompt=prompt, max_tokens=tokens, stream=True, **more))
        self.r = None

    def event(self):
        """The next event, "[DONE]", or None when the connection was closed before."""
        try:
            self.r = self.r or self.c.getresponse()
            line = self.r.readline()
            self.r.readline()
        except (OSError, http.client.HTTPException):
            return None
        if not line.startswith(b"data: "):
            return None
        data = line[6:].strip()
        return "[DONE]" if data == b"[DONE]" else json.loads(data)

    def close(self):
        if self.r:
            self.r.close()
        self.c.close()

    def rest(self):
        """All texts, and whether the stream ended whole."""
        texts = []
        while True:
            e = self.event()
            if e in (None, "[DONE]"):
                self.close()
                return texts, e == "[DONE]"
            texts.append(e["choices"][0]["text"])


class Case(unittest.TestCase):
    def open(self, addr, path, body):
        """A POST whose answer isn't awaited."""
        c = open_request(addr, "POST", path, body)
        self.addCleanup(c.close)
        return c

    def start(self, program, addr, **settings):
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as f:
            f.write(fleet.toml(settings))
        self.addCleanup(os.unlink, f.name)
        quiet = None if os.environ.get("AUBURN_KEEP") else subprocess.DEVNULL
        p = subprocess.Popen([os.path.join(fleet.BIN, program), "--config", f.name], stderr=quiet)
        self.addCleanup(p.wait)
        self.addCleanup(p.kill)
        wait_for("listener", lambda: fleet.call(addr, "GET", "/"))
        return p

    def engine(self, **settings):
        base = dict(listen=ENGINE, step_base_us=2000, step_per_stream_us=0, prefill_us_per_token=0,
                    report_lag_ms=0, event_lag_ms=0, event_gap_percent=0)
        return self.start("auburn-fake-engine", ENGINE, **dict(base, **settings))

    def counts(self, path="/v1/counts"):
        return call(ENGINE, "GET", path)[1]

    def cancel(self, rid):
        return call(ENGINE, "POST", "/v1/cancel", {"request_id": rid})[1]["cancelled"]

    def fault(self, **what):
        self.assertEqual(call(ENGINE, "POST", "/fault", what)[0], 200)


class EngineStreams(Case):
    def test_resume_gives_the_missing_tokens(self):
        self.engine()
        whole, done = Stream(ENGINE, "a", "the prompt", 12).rest()
        again, _ = Stream(ENGINE, "b", "the prompt", 12).rest()
        part, _ = Stream(ENGINE, "c", "the prompt", 12, resume_from=5).rest()
        none, ended = Stream(ENGINE, "d", "the prompt", 12, resume_from=12).rest()
        other, _ = Stream(ENGINE, "e", "another prompt", 12).rest()
        self.assertTrue(done and ended)
        self.assertEqual(len(set(whole)), 12)
        self.assertEqual((again, part, none), (whole, whole[5:], []))
        self.assertNotEqual(other, whole)

    def test_event_carries_id_and_index(self):
        self.engine()
        s = Stream(ENGINE, "a", "p", 4, resume_from=2)
        self.assertEqual([(e["id"], e["index"]) for e in (s.event(), s.event())], [("a", 2), ("a", 3)])
        self.assertEqual(s.event(), "[DONE]")
        s.close()

    def test_cancel_breaks_off_running_and_waiting(self):
        self.engine(slots=1)
        running = Stream(ENGINE, "a", "p", 100000)
        running.event()
        waiting = Stream(ENGINE, "b", "p", 10)
        wait_for("waiting stream", lambda: call(ENGINE, "GET", "/v1/load")[1]["waiting"] == 1)
        for rid in ("b", "a"):
            self.assertTrue(self.cancel(rid))
        self.assertFalse(self.cancel("a"))
        self.assertEqual(waiting.rest(), ([], False))
        self.assertFalse(running.rest()[1])
        c = self.counts()
        self.assertEqual((c["started"], c["cancelled"], c["finished"], c["max_waiting"]), (2, 2, 0, 1))

    def test_client_that_leaves_cancels(self):
        self.engine(slots=1)
        running = Stream(ENGINE, "a", "p", 100000)
        running.event()
        waiting = Stream(ENGINE, "b", "p", 10)
        wait_for("second start", lambda: self.counts()["started"] == 2)
        waiting.close()
        wait_for("cancel of the waiting one", lambda: self.counts()["cancelled"] == 1)
        running.close()
        wait_for("cancel of the running one", lambda: self.counts()["cancelled"] == 2)

    def added(self):
        events = call(ENGINE, "GET", "/v1/cache_events?after=0")[1]["events"]
        return [e["prefix"] for e in events if e["op"] == "add"]

    def test_admits_in_order_of_arrival(self):
        """A cache of one prefix notes each admission of another prompt."""
        self.engine(slots=1, cache_prefixes=1)
        for i in range(4):
            Stream(ENGINE, "alone", "prompt %d" % i, 1).rest()
        prefixes = self.added()
        first = Stream(ENGINE, "first", "long", 100000)
        first.event()
        order, streams = [2, 0, 3, 1], []
        for n, i in enumerate(order):
            streams.append(Stream(ENGINE, "s%d" % i, "prompt %d" % i, 2))
            wait_for("start", lambda: self.counts()["started"] == 6 + n)
        self.cancel("first")
        for s in streams:
            self.assertEqual(s.rest()[1], True)
        first.close()
        self.assertEqual(self.added()[5:], [prefixes[i] for i in order])
        self.assertEqual(self.counts()["max_running"], 1)

    def test_many_streams_at_once(self):
        self.engine(slots=300, step_base_us=20000)
        streams = [Stream(ENGINE, "s%d" % i, "p%d" % i, 20) for i in range(300)]
        ended = [s.rest() for s in streams]
        self.assertTrue(all(done and len(t) == 20 for t, done in ended))
        self.assertEqual(self.counts()["finished"], 300)

    def test_by_request_counts_starts(self):
        self.engine()
        for _ in range(2):
            Stream(ENGINE, "a", "p", 1).rest()
        self.assertEqual(self.counts("/v1/counts?by_request=1")["by_request"], {"a": 2})

    def test_bad_requests(self):
        self.engine()
        for body in ({}, {"request_id": "a"}, {"request_id": "a", "prompt": "p", "max_tokens": -1},
                     {"request_id": "a", "prompt": "p", "max_tokens": 2, "resume_from": 3}, [1]):
            self.assertEqual(call(ENGINE, "POST", "/v1/completions", body)[0], 400)
        body = {"request_id": "a", "prompt": "x {never} y", "max_tokens": 2}
        self.assertEqual(call(ENGINE, "POST", "/v1/completions", body)[0], 422)
        self.assertEqual(self.counts()["started"], 0)


class EngineCache(Case):
    def test_known_prefix_saves_prefill_until_dropped(self):
        self.engine(cache_prefixes=2, prefix_bytes=100)
        prompts = [c * 100 for c in "abc"]

        def cost(prompt):
            before = self.counts()["prefill_tokens"]
            Stream(ENGINE, "r", prompt, 1).rest()
            return self.counts()["prefill_tokens"] - before

        self.assertEqual([cost(prompts[0]), cost(prompts[0]), cost(prompts[0] + "x" * 40)], [25, 0, 10])
        self.assertEqual([cost(prompts[1]), cost(prompts[2]), cost(prompts[1])], [25, 25, 0])
        self.assertEqual(cost(prompts[0]), 25)
        self.assertEqual(self.counts()["prefix_hits"], 3)
        events = call(ENGINE, "GET", "/v1/cache_events?after=0")[1]
        whole = call(ENGINE, "GET", "/v1/cache")[1]
        held = set()
        for e in events["events"]:
            (held.add if e["op"] == "add" else held.remove)(e["prefix"])
        self.assertEqual(held, set(whole["prefixes"]))
        self.assertEqual(events["last"], whole["last"])
        self.assertEqual(call(ENGINE, "GET", "/v1/cache_events?after=5")[1]["events"], events["events"][5:])

    def test_events_have_gaps(self):
        self.engine(event_gap_percent=50, seed=7)
        for i in range(40):
            Stream(ENGINE, "r", "prompt %d" % i, 1).rest()
        e = call(ENGINE, "GET", "/v1/cache_events?after=0")[1]
        self.assertEqual(e["last"], 40)
        self.assertTrue(0 < len(e["events"]) < 40)

    def test_events_and_load_lag(self):
        self.engine(event_lag_ms=3600000, report_lag_ms=3600000)
        s = Stream(ENGINE, "r", "prompt", 100000)
        s.event()
        self.assertEqual(call(ENGINE, "GET", "/v1/cache_events?after=0")[1], {"events": [], "last": 0})
        load = call(ENGINE, "GET", "/v1/load")[1]
        self.assertEqual((load["running"], load["age_ms"], load["slots"]), (0, 3600000, 8))
        s.close()


class EngineOrders(Case):
    def order(self, fence, **more):
        return call(ENGINE, "POST", "/v1/orders", dict(fence=fence, **more))

    def test_fencing_refuses_old_numbers(self):
        self.engine(load_ms=0)
        self.assertEqual(self.order(5, op="role", role="prefill")[0], 202)
        self.assertEqual(self.order(4, op="role", role="decode"), (409, {"error": "old fence", "fence": 5}))
        body = {"request_id": "a", "prompt": "p", "max_tokens": 1, "fence": 4}
        self.assertEqual(call(ENGINE, "POST", "/v1/completions", body)[0], 409)
        self.assertTrue(Stream(ENGINE, "b", "p", 1, fence=6).rest()[1])
        self.assertEqual(self.order(5, op="load", model="m")[0], 409)
        state = call(ENGINE, "GET", "/v1/state")[1]
        self.assertEqual((state["fence"], state["role"], state["loads_total"]), (6, "prefill", 0))
        self.assertEqual(self.order(9, op="other")[0], 400)

    def test_fencing_off_takes_old_numbers(self):
        self.engine(fencing=False)
        self.order(5, op="role", role="prefill")
        self.assertEqual(self.order(4, op="role", role="decode")[0], 202)
        self.assertEqual(call(ENGINE, "GET", "/v1/state")[1]["role"], "decode")

    def test_load_gets_weight(self):
        self.start("auburn-fake-platform", PLATFORM, listen=PLATFORM, weight_ms=0)
        self.engine(load_ms=1, weight_store="http://" + PLATFORM)
        for version in ("1", "2"):
            self.assertEqual(self.order(1, op="load", model="m", version=version)[0], 202)
        want = [{"model": "m", "version": "2", "adapter": ""}]
        state = wait_for("load", lambda: (lambda s: s["loaded"] == want and not s["loading"] and s)(
            call(ENGINE, "GET", "/v1/state")[1]))
        self.assertEqual(state["loads_total"], 2)
        self.assertEqual(call(PLATFORM, "GET", "/v1/counts")[1]["weights"], 2)


class EngineFaults(Case):
    def test_poison_and_die_end_the_process(self):
        p = self.engine()
        Stream(ENGINE, "a", "{poison}", 5).rest()
        self.assertEqual(p.wait(WAIT_S), 9)
        p = self.engine()
        with self.assertRaises((OSError, http.client.HTTPException)):
            call(ENGINE, "POST", "/fault", {"die": True})
        self.assertEqual(p.wait(WAIT_S), 9)

    def test_lose_and_cross_hit_as_many_streams_as_named(self):
        self.engine()
        self.fault(lose=1)
        self.assertEqual([(len(t), d) for t, d in (Stream(ENGINE, "a", "p", 9).rest() for _ in range(2))],
                         [(3, False), (9, True)])
        self.fault(cross=1)
        for rid, same in (("b", False), ("c", True)):
            s = Stream(ENGINE, rid, "p", 1)
            self.assertEqual(s.event()["id"] == rid, same)
            s.close()

    def test_stalled_stream_stays_silent(self):
        self.engine()
        self.fault(stall=1)
        s = Stream(ENGINE, "a", "p", 50)
        self.assertEqual([s.event()["index"], s.event()["index"]], [0, 1])
        for _ in range(3):
            self.assertTrue(Stream(ENGINE, "b", "p", 50).rest()[1])
        self.assertTrue(self.cancel("a"))
        self.assertIsNone(s.event())
        s.close()

    def test_freeze_and_late_hold_tokens_back(self):
        self.engine()
        self.fault(freeze_ms=3600000)
        s = Stream(ENGINE, "a", "p", 5)
        wait_for("start", lambda: self.counts()["started"] == 1)
        self.assertEqual(self.counts()["tokens"], 0)
        self.fault(freeze_ms=0)
        self.assertTrue(s.rest()[1])
        self.fault(late_ms=3600000)
        late = Stream(ENGINE, "b", "p", 5)
        wait_for("admission", lambda: call(ENGINE, "GET", "/v1/load")[1]["running"] == 1)
        self.fault(late_ms=0)
        self.assertTrue(Stream(ENGINE, "c", "p", 5).rest()[1])
        self.assertEqual(self.counts()["tokens"], 10)
        late.close()


class PlainService(Case):
    def run_once(self, key):
        return call(SERVICE, "POST", "/quote", {}, {"Idempotency-Key": key})

    def test_counts_runs_also_without_answer(self):
        self.start("auburn-fake-service", SERVICE, listen=SERVICE, delay_ms=0)
        self.assertEqual(self.run_once("k"), (200, {"ok": True, "run": 1, "key": "k"}))
        call(SERVICE, "POST", "/fault", {"lose": 1})
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.run_once("k")
        call(SERVICE, "POST", "/fault", {"fail": 1})
        self.assertEqual(self.run_once("x")[0], 503)
        self.assertEqual(self.run_once("y")[1]["run"], 1)
        self.assertEqual(call(SERVICE, "GET", "/runs")[1], {"total": 3, "keys": {"k": 2, "y": 1}})


class Platform(Case):
    VMS = {"vms": [{"id": "v1", "addr": ENGINE, "zone": "a", "service": "s", "state": "live"}]}

    def test_list_lags(self):
        self.start("auburn-fake-platform", PLATFORM, listen=PLATFORM, lag_ms=300)
        self.assertEqual(call(PLATFORM, "PUT", "/v1/vms", self.VMS)[0], 200)
        wait_for("change", lambda: call(PLATFORM, "GET", "/v1/vms")[1] == self.VMS)

    def test_list_shows_the_past(self):
        self.start("auburn-fake-platform", PLATFORM, listen=PLATFORM, lag_ms=3600000)
        call(PLATFORM, "PUT", "/v1/vms", self.VMS)
        self.assertEqual(call(PLATFORM, "GET", "/v1/vms")[1], {"vms": []})
        self.assertEqual(call(PLATFORM, "PUT", "/v1/vms", {"vms": 1})[0], 400)

    def test_weight_store_refuses_over_its_rate(self):
        self.start("auburn-fake-platform", PLATFORM, listen=PLATFORM, weight_ms=0, weight_rate=2)
        self.assertEqual([call(PLATFORM, "GET", "/v1/weights/m")[0] for _ in range(3)], [200, 200, 429])
        self.assertEqual(call(PLATFORM, "GET", "/v1/counts")[1], {"weights": 2, "refused": 1})


class Relay(Case):
    def setUp(self):
        self.start("auburn-fake-service", SERVICE, listen=SERVICE, delay_ms=0)
        self.start("auburn-relay", CONTROL, listen=RELAY, target=SERVICE, control=CONTROL)

    def mode(self, mode, ms=0):
        self.assertEqual(call(CONTROL, "POST", "/mode", {"mode": mode, "ms": ms})[0], 200)

    def runs(self):
        return call(SERVICE, "GET", "/runs")[1]["total"]

    def test_pass_and_delay(self):
        self.assertEqual(call(RELAY, "POST", "/a", {})[0], 200)
        self.mode("delay", 30)
        self.assertEqual(call(RELAY, "POST", "/a", {})[0], 200)
        self.assertEqual(call(CONTROL, "GET", "/mode")[1]["mode"], "delay")
        self.assertEqual(call(CONTROL, "POST", "/mode", {"mode": "other"})[0], 400)

    def test_hold_passes_the_bytes_on_later(self):
        self.mode("hold")
        c = self.open(RELAY, "/a", {})
        wait_for("connection", lambda: call(CONTROL, "GET", "/mode")[1]["connections"] >= 1)
        self.assertEqual(self.runs(), 0)
        self.mode("pass")
        self.assertEqual(c.getresponse().status, 200)
        self.assertEqual(self.runs(), 1)

    def test_cut_drops_the_bytes(self):
        c = self.open(RELAY, "/a", {})
        c.getresponse().read()
        self.mode("cut")
        c.request("POST", "/a", "{}")
        hung = self.open(RELAY, "/a", {})
        c.sock.settimeout(0.3)
        hung.sock.settimeout(0.3)
        for x in (c, hung):
            with self.assertRaises(TimeoutError):
                x.getresponse()
        self.mode("pass")
        wait_for("end of the broken ones", lambda: call(CONTROL, "GET", "/mode")[1]["connections"] == 0)
        self.assertEqual(self.runs(), 1)
        self.assertEqual(call(RELAY, "POST", "/a", {})[0], 200)


if __name__ == "__main__":
    unittest.main()
