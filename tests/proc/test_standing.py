"""An entry that lost its session tells the end that stands in the ledger, not one of its own."""
import json
import threading
import unittest

import fleet as fl


class Standing(unittest.TestCase):
    def test_frozen_entry_tells_the_end_that_stands(self):
        with fl.Fleet(entries=2) as f:
            f.start()
            service = f.plain[0].settings["listen"]
            fl.call(service, "POST", "/fault", json.dumps({"delay_ms": 1500}))
            h = fl.bearer(fl.CALLER_KEY, "reminder-1", X_Deadline_Ms=60000)
            got = []
            t = threading.Thread(target=lambda: got.append(
                fl.call(f.addr(0), "POST", "/v1/services/quotes/remind", "{}", h, 120)))
            t.start()

            def record():
                return fl.get_json(f.addr(1), "/v1/requests/reminder-1", fl.bearer(fl.CALLER_KEY))

            fl.wait_for("the attempt", lambda: record()["state"] == "attempted")
            f.entries[0].freeze()
            fl.wait_for("the end of its session", lambda: record()["state"] == "failed")
            f.entries[0].thaw()
            t.join(60)
            status, _, body = got[0]
            first = json.loads(body)["error"]
            self.assertEqual(first["verdict"], "may_have_run")
            again = fl.wait_for("a resend's answer", lambda: (lambda a: a if a[0] != 503 or b"may_have" in a[2] else None)(
                fl.call(f.addr(1), "POST", "/v1/services/quotes/remind", "{}", h)))
            self.assertEqual((status, first["code"], first["verdict"]),
                             (again[0], json.loads(again[2])["error"]["code"], json.loads(again[2])["error"]["verdict"]))
            self.assertLessEqual(fl.get_json(service, "/runs")["keys"].get("reminder-1", 0), 1)


if __name__ == "__main__":
    unittest.main()
