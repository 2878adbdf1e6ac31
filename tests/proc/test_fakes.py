"""Tests of the fake engine, plain service, platform and relay that the other process tests rely on.

Guards against a fake that doesn't inject the requested fault, or counts wrongly: the tests that use it would then pass
without having tested anything.
"""
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
    """A completion in progress on an open connection."""

    def __init__(self, addr, rid, prompt, tokens, **options):
        self.c = open_request(addr, "POST", "/v1/completions",
                              dict(request_id=rid, prompt=prompt, max_tokens=tokens, stream=True, **options))
        self.r = None

    def event(self):
        """Reads the next event; returns "[DONE]" at the end of the stream, None if the connection was closed."""
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

    def read_rest(self):
        """Reads to the end; returns the texts, and whether the stream ended with [DONE]."""
        texts = []
        while True:
            e = self.event()
            if e in (None, "[DONE]"):
                self.close()
                return texts, e == "[DONE]"
            texts.append(e["choices"][0]["text"])


class FakeCase(unittest.TestCase):
    def post(self, addr, path, body):
        """Sends a POST without waiting for its answer; returns the connection."""
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

    def inject_fault(self, **fault):
        self.assertEqual(call(ENGINE, "POST", "/fault", fault)[0], 200)


class EngineStreams(FakeCase):
    def test_resume_produces_the_missing_tokens(self):
        self.engine()
        full, done = Stream(ENGINE, "a", "the prompt", 12).read_rest()
        again, _ = Stream(ENGINE, "b", "the prompt", 12).read_rest()
        part, _ = Stream(ENGINE, "c", "the prompt", 12, resume_from=5).read_rest()
        none, ended = Stream(ENGINE, "d", "the prompt", 12, resume_from=12).read_rest()
        other, _ = Stream(ENGINE, "e", "another prompt", 12).read_rest()
        self.assertTrue(done and ended)
        self.assertEqual(len(set(full)), 12)
        self.assertEqual((again, part, none), (full, full[5:], []))
        self.assertNotEqual(other, full)

    def test_event_carries_id_and_index(self):
        self.engine()
        s = Stream(ENGINE, "a", "p", 4, resume_from=2)
        self.assertEqual([(e["id"], e["index"]) for e in (s.event(), s.event())], [("a", 2), ("a", 3)])
        self.assertEqual(s.event(), "[DONE]")
        s.close()

    def test_cancel_ends_running_and_waiting_streams(self):
        self.engine(slots=1)
        running = Stream(ENGINE, "a", "p", 100000)
        running.event()
        waiting = Stream(ENGINE, "b", "p", 10)
        wait_for("waiting stream", lambda: call(ENGINE, "GET", "/v1/load")[1]["waiting"] == 1)
        for rid in ("b", "a"):
            self.assertTrue(self.cancel(rid))
        self.assertFalse(self.cancel("a"))
        self.assertEqual(waiting.read_rest(), ([], False))
        self.assertFalse(running.read_rest()[1])
        c = self.counts()
        self.assertEqual((c["started"], c["cancelled"], c["finished"], c["max_waiting"]), (2, 2, 0, 1))

    def test_disconnect_of_a_client_cancels_its_stream(self):
        self.engine(slots=1)
        running = Stream(ENGINE, "a", "p", 100000)
        running.event()
        waiting = Stream(ENGINE, "b", "p", 10)
        wait_for("second start", lambda: self.counts()["started"] == 2)
        waiting.close()
        wait_for("cancel of the waiting stream", lambda: self.counts()["cancelled"] == 1)
        running.close()
        wait_for("cancel of the running stream", lambda: self.counts()["cancelled"] == 2)

    def added_prefixes(self):
        """The prefixes that the engine has added to its cache, in order."""
        events = call(ENGINE, "GET", "/v1/cache_events?after=0")[1]["events"]
        return [e["prefix"] for e in events if e["op"] == "add"]

    def test_admits_in_order_of_arrival(self):
        """With a cache of one prefix, each admission of another prompt produces an event: the events show the order."""
        self.engine(slots=1, cache_prefixes=1)
        for i in range(4):
            Stream(ENGINE, "alone", "prompt %d" % i, 1).read_rest()
        prefixes = self.added_prefixes()
        first = Stream(ENGINE, "first", "long", 100000)
        first.event()
        order, streams = [2, 0, 3, 1], []
        for n, i in enumerate(order):
            streams.append(Stream(ENGINE, "s%d" % i, "prompt %d" % i, 2))
            wait_for("start", lambda: self.counts()["started"] == 6 + n)
        self.cancel("first")
        for s in streams:
            self.assertEqual(s.read_rest()[1], True)
        first.close()
        self.assertEqual(self.added_prefixes()[5:], [prefixes[i] for i in order])
        self.assertEqual(self.counts()["max_running"], 1)

    def test_many_streams_at_once(self):
        self.engine(slots=300, step_base_us=20000)
        streams = [Stream(ENGINE, "s%d" % i, "p%d" % i, 20) for i in range(300)]
        ended = [s.read_rest() for s in streams]
        self.assertTrue(all(done and len(t) == 20 for t, done in ended))
        self.assertEqual(self.counts()["finished"], 300)

    def test_counts_starts_by_request(self):
        self.engine()
        for _ in range(2):
            Stream(ENGINE, "a", "p", 1).read_rest()
        self.assertEqual(self.counts("/v1/counts?by_request=1")["by_request"], {"a": 2})

    def test_bad_requests(self):
        self.engine()
        for body in ({}, {"request_id": "a"}, {"request_id": "a", "prompt": "p", "max_tokens": -1},
                     {"request_id": "a", "prompt": "p", "max_tokens": 2, "resume_from": 3}, [1]):
            self.assertEqual(call(ENGINE, "POST", "/v1/completions", body)[0], 400)
        body = {"request_id": "a", "prompt": "x {never} y", "max_tokens": 2}
        self.assertEqual(call(ENGINE, "POST", "/v1/completions", body)[0], 422)
        self.assertEqual(self.counts()["started"], 0)


class EngineCache(FakeCase):
    def test_cached_prefix_saves_prefill_until_evicted(self):
        self.engine(cache_prefixes=2, prefix_bytes=100)
        prompts = [c * 100 for c in "abc"]

        def prefill_tokens(prompt):
            before = self.counts()["prefill_tokens"]
            Stream(ENGINE, "r", prompt, 1).read_rest()
            return self.counts()["prefill_tokens"] - before

        self.assertEqual([prefill_tokens(prompts[0]), prefill_tokens(prompts[0]),
                          prefill_tokens(prompts[0] + "x" * 40)], [25, 0, 10])
        self.assertEqual([prefill_tokens(prompts[1]), prefill_tokens(prompts[2]), prefill_tokens(prompts[1])],
                         [25, 25, 0])
        self.assertEqual(prefill_tokens(prompts[0]), 25)
        self.assertEqual(self.counts()["prefix_hits"], 3)
        events = call(ENGINE, "GET", "/v1/cache_events?after=0")[1]
        full = call(ENGINE, "GET", "/v1/cache")[1]
        cached = set()
        for e in events["events"]:
            (cached.add if e["op"] == "add" else cached.remove)(e["prefix"])
        self.assertEqual(cached, set(full["prefixes"]))
        self.assertEqual(events["last"], full["last"])
        self.assertEqual(call(ENGINE, "GET", "/v1/cache_events?after=5")[1]["events"], events["events"][5:])

    def test_cache_events_have_gaps(self):
        self.engine(event_gap_percent=50, seed=7)
        for i in range(40):
            Stream(ENGINE, "r", "prompt %d" % i, 1).read_rest()
        e = call(ENGINE, "GET", "/v1/cache_events?after=0")[1]
        self.assertEqual(e["last"], 40)
        self.assertTrue(0 < len(e["events"]) < 40)

    def test_cache_events_and_load_reports_lag(self):
        self.engine(event_lag_ms=3600000, report_lag_ms=3600000)
        s = Stream(ENGINE, "r", "prompt", 100000)
        s.event()
        self.assertEqual(call(ENGINE, "GET", "/v1/cache_events?after=0")[1], {"events": [], "last": 0})
        load = call(ENGINE, "GET", "/v1/load")[1]
        self.assertEqual((load["running"], load["age_ms"], load["slots"]), (0, 3600000, 8))
        s.close()


class EngineOrders(FakeCase):
    def order(self, fence, **options):
        return call(ENGINE, "POST", "/v1/orders", dict(fence=fence, **options))

    def test_fencing_refuses_old_tokens(self):
        self.engine(load_ms=0)
        self.assertEqual(self.order(5, op="role", role="prefill")[0], 202)
        self.assertEqual(self.order(4, op="role", role="decode"), (409, {"error": "old fence", "fence": 5}))
        body = {"request_id": "a", "prompt": "p", "max_tokens": 1, "fence": 4}
        self.assertEqual(call(ENGINE, "POST", "/v1/completions", body)[0], 409)
        self.assertTrue(Stream(ENGINE, "b", "p", 1, fence=6).read_rest()[1])
        self.assertEqual(self.order(5, op="load", model="m")[0], 409)
        state = call(ENGINE, "GET", "/v1/state")[1]
        self.assertEqual((state["fence"], state["role"], state["loads_total"]), (6, "prefill", 0))
        self.assertEqual(self.order(9, op="other")[0], 400)

    def test_without_fencing_old_tokens_are_accepted(self):
        self.engine(fencing=False)
        self.order(5, op="role", role="prefill")
        self.assertEqual(self.order(4, op="role", role="decode")[0], 202)
        self.assertEqual(call(ENGINE, "GET", "/v1/state")[1]["role"], "decode")

    def test_load_order_fetches_weights(self):
        self.start("auburn-fake-platform", PLATFORM, listen=PLATFORM, weight_ms=0)
        self.engine(load_ms=1, weight_store="http://" + PLATFORM)
        for version in ("1", "2"):
            self.assertEqual(self.order(1, op="load", model="m", version=version)[0], 202)
        want = [{"model": "m", "version": "2", "adapter": ""}]
        state = wait_for("load", lambda: (lambda s: s["loaded"] == want and not s["loading"] and s)(
            call(ENGINE, "GET", "/v1/state")[1]))
        self.assertEqual(state["loads_total"], 2)
        self.assertEqual(call(PLATFORM, "GET", "/v1/counts")[1]["weights"], 2)


class EngineFaults(FakeCase):
    def test_poisoned_prompt_and_die_fault_end_the_process(self):
        p = self.engine()
        Stream(ENGINE, "a", "{poison}", 5).read_rest()
        self.assertEqual(p.wait(WAIT_S), 9)
        p = self.engine()
        with self.assertRaises((OSError, http.client.HTTPException)):
            call(ENGINE, "POST", "/fault", {"die": True})
        self.assertEqual(p.wait(WAIT_S), 9)

    def test_lose_and_cross_faults_hit_the_given_number_of_streams(self):
        self.engine()
        self.inject_fault(lose=1)
        self.assertEqual([(len(t), d) for t, d in (Stream(ENGINE, "a", "p", 9).read_rest() for _ in range(2))],
                         [(3, False), (9, True)])
        self.inject_fault(cross=1)
        for rid, same in (("b", False), ("c", True)):
            s = Stream(ENGINE, rid, "p", 1)
            self.assertEqual(s.event()["id"] == rid, same)
            s.close()

    def test_stalled_stream_stays_silent(self):
        self.engine()
        self.inject_fault(stall=1)
        s = Stream(ENGINE, "a", "p", 50)
        self.assertEqual([s.event()["index"], s.event()["index"]], [0, 1])
        for _ in range(3):
            self.assertTrue(Stream(ENGINE, "b", "p", 50).read_rest()[1])
        self.assertTrue(self.cancel("a"))
        self.assertIsNone(s.event())
        s.close()

    def test_freeze_and_late_faults_delay_tokens(self):
        self.engine()
        self.inject_fault(freeze_ms=3600000)
        s = Stream(ENGINE, "a", "p", 5)
        wait_for("start", lambda: self.counts()["started"] == 1)
        self.assertEqual(self.counts()["tokens"], 0)
        self.inject_fault(freeze_ms=0)
        self.assertTrue(s.read_rest()[1])
        self.inject_fault(late_ms=3600000)
        late = Stream(ENGINE, "b", "p", 5)
        wait_for("admission", lambda: call(ENGINE, "GET", "/v1/load")[1]["running"] == 1)
        self.inject_fault(late_ms=0)
        self.assertTrue(Stream(ENGINE, "c", "p", 5).read_rest()[1])
        self.assertEqual(self.counts()["tokens"], 10)
        late.close()


class PlainService(FakeCase):
    def call_service(self, key):
        return call(SERVICE, "POST", "/quote", {}, {"Idempotency-Key": key})

    def test_counts_runs_whose_answer_is_lost(self):
        self.start("auburn-fake-service", SERVICE, listen=SERVICE, delay_ms=0)
        self.assertEqual(self.call_service("k"), (200, {"ok": True, "run": 1, "key": "k"}))
        call(SERVICE, "POST", "/fault", {"lose": 1})
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.call_service("k")
        call(SERVICE, "POST", "/fault", {"fail": 1})
        self.assertEqual(self.call_service("x")[0], 503)
        self.assertEqual(self.call_service("y")[1]["run"], 1)
        self.assertEqual(call(SERVICE, "GET", "/runs")[1], {"total": 3, "keys": {"k": 2, "y": 1}})


class Platform(FakeCase):
    VMS = {"vms": [{"id": "v1", "addr": ENGINE, "zone": "a", "service": "s", "state": "live"}]}

    def test_list_shows_a_change_after_its_lag(self):
        self.start("auburn-fake-platform", PLATFORM, listen=PLATFORM, lag_ms=300)
        self.assertEqual(call(PLATFORM, "PUT", "/v1/vms", self.VMS)[0], 200)
        wait_for("changed list", lambda: call(PLATFORM, "GET", "/v1/vms")[1] == self.VMS)

    def test_list_shows_the_old_state_during_its_lag(self):
        self.start("auburn-fake-platform", PLATFORM, listen=PLATFORM, lag_ms=3600000)
        call(PLATFORM, "PUT", "/v1/vms", self.VMS)
        self.assertEqual(call(PLATFORM, "GET", "/v1/vms")[1], {"vms": []})
        self.assertEqual(call(PLATFORM, "PUT", "/v1/vms", {"vms": 1})[0], 400)

    def test_weight_store_refuses_over_its_rate(self):
        self.start("auburn-fake-platform", PLATFORM, listen=PLATFORM, weight_ms=0, weight_rate=2)
        self.assertEqual([call(PLATFORM, "GET", "/v1/weights/m")[0] for _ in range(3)], [200, 200, 429])
        self.assertEqual(call(PLATFORM, "GET", "/v1/counts")[1], {"weights": 2, "refused": 1})


class Relay(FakeCase):
    def setUp(self):
        self.start("auburn-fake-service", SERVICE, listen=SERVICE, delay_ms=0)
        self.start("auburn-relay", CONTROL, listen=RELAY, target=SERVICE, control=CONTROL)

    def set_mode(self, mode, ms=0):
        self.assertEqual(call(CONTROL, "POST", "/mode", {"mode": mode, "ms": ms})[0], 200)

    def runs(self):
        return call(SERVICE, "GET", "/runs")[1]["total"]

    def test_pass_and_delay(self):
        self.assertEqual(call(RELAY, "POST", "/a", {})[0], 200)
        self.set_mode("delay", 30)
        self.assertEqual(call(RELAY, "POST", "/a", {})[0], 200)
        self.assertEqual(call(CONTROL, "GET", "/mode")[1]["mode"], "delay")
        self.assertEqual(call(CONTROL, "POST", "/mode", {"mode": "other"})[0], 400)

    def test_hold_delivers_the_bytes_later(self):
        self.set_mode("hold")
        c = self.post(RELAY, "/a", {})
        wait_for("connection", lambda: call(CONTROL, "GET", "/mode")[1]["connections"] >= 1)
        self.assertEqual(self.runs(), 0)
        self.set_mode("pass")
        self.assertEqual(c.getresponse().status, 200)
        self.assertEqual(self.runs(), 1)

    def test_cut_drops_the_bytes(self):
        c = self.post(RELAY, "/a", {})
        c.getresponse().read()
        self.set_mode("cut")
        c.request("POST", "/a", "{}")
        unanswered = self.post(RELAY, "/a", {})
        c.sock.settimeout(0.3)
        unanswered.sock.settimeout(0.3)
        for x in (c, unanswered):
            with self.assertRaises(TimeoutError):
                x.getresponse()
        self.set_mode("pass")
        wait_for("end of the connections that lost bytes", lambda: call(CONTROL, "GET", "/mode")[1]["connections"] == 0)
        self.assertEqual(self.runs(), 1)
        self.assertEqual(call(RELAY, "POST", "/a", {})[0], 200)


if __name__ == "__main__":
    unittest.main()
