"""Process tests of auburn-entry: engines that die, entries that freeze or are cut off, orders."""
import json
import os
import sys
import threading
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fl  # noqa: E402

MODEL = 'checks_fencing = true\nmodel = "svenska"\nversion = "%s"\n'


class EntryUpstreams(unittest.TestCase):
    def fleet(self, **more):
        f = fl.Fleet(**dict({"controls": 1, "entries": 2, "engines": 3}, **more))
        self.addCleanup(f.close)
        return f.start()

    def revive(self, f, stop):
        """Starts engines again that died, as an outside supplier would."""
        while not stop.wait(0.1):
            for e in f.engines:
                if not e.alive():
                    e.start()

    def test_items_that_can_never_be_completed_end_as_failed(self):
        f = self.fleet()
        stop = threading.Event()
        t = threading.Thread(target=self.revive, args=(f, stop))
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

    def test_replicas_of_a_frozen_entry_get_new_owners(self):
        f = self.fleet()
        f.complete("warm", "warm")
        frozen, session = f.entries[0], f.status(0)["session"]
        fence = {u["id"]: u["fence"] for u in f.status(0)["upstreams"] if u["owned_here"]}
        self.assertTrue(fence)
        frozen.freeze()
        self.addCleanup(frozen.thaw)

        def taken():
            now = {u["id"]: u for u in f.status(1)["upstreams"]}
            return all(now[i]["owned_here"] and now[i]["fence"] > n for i, n in fence.items())
        fl.wait_for("new owner", taken)
        self.assertEqual(f.complete("while", "while", entry=1)[0], 200)
        frozen.thaw()
        fl.wait_for("new session", lambda: f.status(0)["session"] > session and f.status(0)["lease_left_ms"] > 0)
        self.assertTrue(frozen.lines("event=lease_lost") or frozen.lines("event=session_opened"))
        self.assertEqual(f.complete("after", "after", entry=0)[0], 200)

    def test_entry_that_is_cut_off_refuses_as_not_run(self):
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
        fl.wait_for("service", lambda: f.complete("cut-after", "cut")[0] == 200)

    def test_one_load_for_a_replica_and_version(self):
        text = fl.TEXT.replace("checks_fencing = true\n", MODEL % "1")
        f = self.fleet(text=text, engine={"load_ms": 1500})

        def loaded(version):
            for e in f.engines:
                s = fl.get_json(e.settings["listen"], "/v1/state")
                if [m["version"] for m in s["loaded"] if m["model"] == "svenska"][-1:] != [version]:
                    return None
            return True
        f.submit(2, text.replace("[[service]]", "weight_loads_per_min = 6000\n\n[[service]]", 1))
        f.wait_in_force(2)
        fl.wait_for("version 1", lambda: loaded("1"))
        f.submit(3, text.replace("[[service]]", "weight_loads_per_min = 6000\n\n[[service]]", 1).replace(
            'version = "1"', 'version = "2"'))
        fl.wait_for("version 2", lambda: loaded("2"))
        fl.wait_for("two more rounds", lambda: f.complete("x", "x")[0] == 200)
        for e in f.engines:
            self.assertEqual(fl.get_json(e.settings["listen"], "/v1/state")["loads_total"], 2)


if __name__ == "__main__":
    unittest.main()
