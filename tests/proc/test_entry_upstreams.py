"""Entries with engines that crash, entries that freeze or lose the control processes, and orders to load weights.

Guards against an item that crashes every engine it runs on and so stops its job for ever, against replicas that keep an
owner that no longer runs, and against weights that several owners load again and again.
"""
import json
import os
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fl  # noqa: E402

MODEL_KEYS = 'checks_fencing = true\nmodel = "svenska"\nversion = "%s"\n'


class EntryUpstreams(unittest.TestCase):
    def fleet(self, **options):
        f = fl.Fleet(**dict({"controls": 1, "entries": 2, "engines": 3}, **options))
        self.addCleanup(f.close)
        return f.start()

    def restart_engines(self, f, stop):
        """Restarts engines that exited, as their platform would, until `stop` is set."""
        while not stop.wait(0.1):
            for e in f.engines:
                if not e.alive():
                    e.start()

    def test_items_that_can_never_be_completed_end_as_failed(self):
        """One item is rejected and one crashes its engine each time; the job's other items must still be done."""
        f = self.fleet()
        stop = threading.Event()
        t = threading.Thread(target=self.restart_engines, args=(f, stop))
        t.start()
        self.addCleanup(t.join)
        self.addCleanup(stop.set)
        items = [{"prompt": "good %d" % i, "max_tokens": 20} for i in range(60)]
        f.submit_job("beside", [{"prompt": "beside %d" % i, "max_tokens": 400} for i in range(400)])
        items[7]["prompt"] = "{never} 7"
        items[33]["prompt"] = "{poison} 33"
        self.assertEqual(f.submit_job("mixed", items)[0], 202)
        job = fl.wait_for("end of the job", lambda: (lambda j: j if j["state"] == "done" else None)(f.job("mixed")), 120)
        self.assertEqual((job["done"], job["failed"], job["waiting"], job["leased"]), (58, 2, 0, 0))
        self.assertEqual(f.job("beside")["state"], "running")
        fl.call(f.addr(), "DELETE", "/v1/jobs/beside", headers=fl.bearer(fl.CALLER_KEY))
        body = fl.call(f.addr(1), "GET", "/v1/jobs/mixed/results?max=100", headers=fl.bearer(fl.CALLER_KEY))[2]
        states = {r["index"]: r["state"] for r in map(json.loads, body.splitlines())}
        self.assertEqual(sorted(i for i, s in states.items() if s == "failed"), [7, 33])

    def test_replicas_of_a_frozen_entry_get_a_new_owner(self):
        f = self.fleet()
        f.complete("warm", "warm")
        frozen, session = f.entries[0], f.status(0)["session"]
        fence = {u["id"]: u["fence"] for u in f.status(0)["upstreams"] if u["owned_here"]}
        self.assertTrue(fence)
        frozen.freeze()
        self.addCleanup(frozen.thaw)

        def taken_over():
            now = {u["id"]: u for u in f.status(1)["upstreams"]}
            return all(now[i]["owned_here"] and now[i]["fence"] > n for i, n in fence.items())
        fl.wait_for("new owner with a higher fence", taken_over)
        self.assertEqual(f.complete("while", "while", entry=1)[0], 200)
        frozen.thaw()
        fl.wait_for("new session", lambda: f.status(0)["session"] > session and f.status(0)["lease_left_ms"] > 0)
        self.assertTrue(frozen.log_lines("event=lease_lost") or frozen.log_lines("event=session_opened"))
        self.assertEqual(f.complete("after", "after", entry=0)[0], 200)

    def test_entry_without_a_control_process_refuses_as_not_run(self):
        f = self.fleet()
        f.complete("warm", "warm")
        f.controls[0].freeze()
        self.addCleanup(f.controls[0].thaw)

        def refused():
            status, headers, body = f.complete("cut", "cut")
            return (status, headers, body) if status == 503 and b"no_lease" in body else None
        _, headers, body = fl.wait_for("refusal", refused)
        self.assertEqual(json.loads(body)["error"]["verdict"], "not_run")
        self.assertGreaterEqual(int(headers["Retry-After"]), 1)
        self.assertIn(f.addr(1), headers["X-Auburn-Addresses"])
        f.controls[0].thaw()
        fl.wait_for("completion", lambda: f.complete("cut-after", "cut")[0] == 200)

    def test_each_replica_loads_each_version_once(self):
        text = fl.TEXT.replace("checks_fencing = true\n", MODEL_KEYS % "1")
        f = self.fleet(text=text, engine={"load_ms": 1500})

        def loaded(version):
            for e in f.engines:
                s = fl.get_json(e.settings["listen"], "/v1/state")
                if [m["version"] for m in s["loaded"] if m["model"] == "svenska"][-1:] != [version]:
                    return None
            return True
        f.submit(2, text.replace("[[service]]", "weight_loads_per_min = 6000\n\n[[service]]", 1))
        f.wait_in_force(2)
        fl.wait_for("version 1 on all engines", lambda: loaded("1"))
        f.submit(3, text.replace("[[service]]", "weight_loads_per_min = 6000\n\n[[service]]", 1).replace(
            'version = "1"', 'version = "2"'))
        fl.wait_for("version 2 on all engines", lambda: loaded("2"))
        fl.wait_for("completion", lambda: f.complete("x", "x")[0] == 200)
        for e in f.engines:
            self.assertEqual(fl.get_json(e.settings["listen"], "/v1/state")["loads_total"], 2)


if __name__ == "__main__":
    unittest.main()
