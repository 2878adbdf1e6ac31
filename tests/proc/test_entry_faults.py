"""Entries with engines and plain services that fail, and callers that disconnect.

Guards against callers that get another request's answer, tokens twice or not at all, and against work that runs twice
although it may not be repeated, or goes on after its cancellation.
"""
import http.client
import json
import os
import re
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fl  # noqa: E402

TOKENS = 24


def inject_fault(proc, **fault):
    status, _, body = fl.call(proc.settings["listen"], "POST", "/fault", json.dumps(fault))
    assert status == 200, body


def counts(proc):
    return fl.get_json(proc.settings["listen"], "/v1/counts")


def metric(f, name):
    """Sum of a counter over all entries."""
    total = 0
    for i, _ in enumerate(f.entries):
        body = fl.call(f.addr(i), "GET", "/metrics")[2].decode()
        total += sum(int(float(v)) for v in re.findall(r"^%s(?:\{[^}]*\})? (\S+)$" % name, body, re.M))
    return total


class EntryFaults(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.f = fl.Fleet(controls=1, entries=2, engines=2)
        cls.addClassCleanup(cls.f.close)
        cls.f.start()

    def complete_texts(self, key, prompt, **options):
        """Completes a request; asserts that each token arrives once, and returns the texts."""
        status, _, body = self.f.complete(key, prompt, TOKENS, **options)
        texts, done, error = fl.sse_texts(body)
        self.assertEqual((status, done, error), (200, True, None), body)
        self.assertEqual(sorted(texts), list(range(TOKENS)))
        self.assertEqual([len(t) for t in texts.values()], [1] * TOKENS)
        return [texts[i][0] for i in range(TOKENS)]

    def test_answer_to_another_request_is_discarded(self):
        """An engine that mixes up two streams sends events with another request's id."""
        want = self.complete_texts("cross-0", "crossed")
        before = metric(self.f, "auburn_crossed_answers_total")
        for e in self.f.engines:
            inject_fault(e, cross=1)
        self.assertEqual(self.complete_texts("cross-1", "crossed"), want)
        self.assertGreater(metric(self.f, "auburn_crossed_answers_total"), before)

    def test_stalled_stream_resumes_without_a_repeated_or_missing_token(self):
        want = self.complete_texts("stall-0", "stalled")
        before = metric(self.f, "auburn_resumed_total")
        for e in self.f.engines:
            inject_fault(e, stall=1)
        self.assertEqual(self.complete_texts("stall-1", "stalled"), want)
        self.assertGreater(metric(self.f, "auburn_resumed_total"), before)
        for e in self.f.engines:
            inject_fault(e, stall=0)

    def test_broken_stream_resumes_without_repeating_tokens(self):
        """The engine closes the connection in mid-stream; a retry from the start would compute all tokens again."""
        want = self.complete_texts("lose-0", "lost")
        before = sum(counts(e)["tokens"] for e in self.f.engines)
        for e in self.f.engines:
            inject_fault(e, lose=1)
        self.assertEqual(self.complete_texts("lose-1", "lost"), want)
        computed = sum(counts(e)["tokens"] for e in self.f.engines) - before
        self.assertLessEqual(computed, TOKENS + 2, "tokens were computed again")
        for e in self.f.engines:
            inject_fault(e, lose=0)

    def test_accepted_request_completes_after_its_caller_disconnects(self):
        host, port = self.f.addr().rsplit(":", 1)
        c = http.client.HTTPConnection(host, int(port), timeout=30)
        c.request("POST", "/v1/completions",
                  json.dumps({"model": "sammandrag-llm", "prompt": "gone", "max_tokens": TOKENS, "stream": True}),
                  fl.bearer(fl.CALLER_KEY, "gone-1"))
        r = c.getresponse()
        r.readline()
        c.sock.close()
        r.close()

        def done():
            rec = fl.get_json(self.f.addr(1), "/v1/requests/gone-1", fl.bearer(fl.CALLER_KEY))
            return rec if rec["state"] == "done" else None
        rec = fl.wait_for("result of the abandoned request", done)
        self.assertEqual(rec["result"]["tokens"], TOKENS)
        self.assertEqual(rec["result"]["text"], "".join(self.complete_texts("gone-2", "gone")))

    def test_unrepeatable_call_runs_once_when_its_answer_is_lost(self):
        """The call may have run although its answer is lost, so a resend to another entry must not run it again."""
        service = self.f.plain[0]
        inject_fault(service, lose=1)
        url, key = "/v1/services/quotes/reminder", fl.bearer(fl.CALLER_KEY, "once-1")
        first = fl.call(self.f.addr(), "POST", url, "{}", key)
        again = fl.call(self.f.addr(1), "POST", url, "{}", key)
        for status, _, body in (first, again):
            self.assertEqual(status, 502, body)
            self.assertEqual(json.loads(body)["error"]["verdict"], "may_have_run")
        self.assertEqual(fl.get_json(service.settings["listen"], "/runs")["keys"]["once-1"], 1)

    def test_unrepeatable_call_that_was_refused_unrun_is_retried(self):
        service = self.f.plain[0]
        inject_fault(service, fail=1)
        status, _, body = fl.call(self.f.addr(), "POST", "/v1/services/quotes/q", "{}",
                                  fl.bearer(fl.CALLER_KEY, "once-2"))
        self.assertEqual((status, json.loads(body)["run"]), (200, 1), body)

    def test_cancelled_job_stops_on_all_entries_and_engines(self):
        f = self.f
        items = [{"prompt": "slow %d" % i, "max_tokens": 2000} for i in range(200)]
        self.assertEqual(f.submit_job("stop-1", items)[0], 202)
        fl.wait_for("running items", lambda: f.job("stop-1")["leased"] > 0 and
                    sum(e["running_batch"] for i in range(2) for e in f.status(i)["upstreams"]) > 0)
        finished = sum(counts(e)["finished"] for e in f.engines)
        status, _, body = fl.call(f.addr(1), "DELETE", "/v1/jobs/stop-1", headers=fl.bearer(fl.CALLER_KEY))
        self.assertEqual(status, 200, body)
        started = sum(counts(e)["started"] for e in f.engines)
        job = fl.wait_for("end of all leases", lambda: (lambda j: j if j["leased"] == 0 else None)(f.job("stop-1")))
        self.assertEqual(job["state"], "cancelled")
        self.assertEqual(job["done"] + job["failed"] + job["dropped"], 200)
        self.assertGreater(job["dropped"], 100)
        fl.wait_for("idle engines", lambda: all(
            fl.get_json(e.settings["listen"], "/v1/load")["running"] == 0 for e in f.engines))
        self.assertEqual(sum(counts(e)["started"] for e in f.engines), started)
        self.assertEqual(sum(counts(e)["finished"] for e in f.engines), finished)

    def test_resends_during_a_run_get_its_answer(self):
        """The same key arrives six times at two entries; the request must run once."""
        answers = []

        def send(entry):
            answers.append(self.f.complete("twice", "två", 200, entry=entry))
        before = sum(counts(e)["started"] for e in self.f.engines)
        threads = [threading.Thread(target=send, args=(i % 2,)) for i in range(6)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        texts = {"".join("".join(t) for _, t in sorted(fl.sse_texts(body)[0].items())) for _, _, body in answers}
        self.assertEqual({status for status, _, _ in answers}, {200}, answers)
        self.assertEqual(len(texts), 1)
        self.assertEqual(sum(counts(e)["started"] for e in self.f.engines), before + 1)
        status, _, body = self.f.complete("twice", "annan", 200)
        self.assertEqual((status, json.loads(body)["error"]["code"]), (409, "key_conflict"))


if __name__ == "__main__":
    unittest.main()
