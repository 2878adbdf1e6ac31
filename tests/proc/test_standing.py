"""An entry that lost its session must answer with the outcome in the ledger, not with its own.

Guards against two outcomes of one request: while the entry is frozen its session ends and the ledger marks the attempt
as failed; when the entry continues, the service answers it with a success.
"""
import json
import threading
import unittest

import fleet as fl


class LostSession(unittest.TestCase):
    def test_frozen_entry_answers_with_the_recorded_outcome(self):
        with fl.Fleet(entries=2) as f:
            f.start()
            service = f.plain[0].settings["listen"]
            fl.call(service, "POST", "/fault", json.dumps({"delay_ms": 1500}))
            headers = fl.bearer(fl.CALLER_KEY, "reminder-1", X_Deadline_Ms=60000)
            answers = []
            t = threading.Thread(target=lambda: answers.append(
                fl.call(f.addr(0), "POST", "/v1/services/quotes/remind", "{}", headers, 120)))
            t.start()

            def record():
                return fl.get_json(f.addr(1), "/v1/requests/reminder-1", fl.bearer(fl.CALLER_KEY))

            fl.wait_for("start of the attempt", lambda: record()["state"] == "attempted")
            f.entries[0].freeze()
            fl.wait_for("end of its session", lambda: record()["state"] == "failed")
            f.entries[0].thaw()
            t.join(60)
            status, _, body = answers[0]
            first = json.loads(body)["error"]
            self.assertEqual(first["verdict"], "may_have_run")
            again = fl.wait_for("answer to a resend", lambda: (
                lambda a: a if a[0] != 503 or b"may_have" in a[2] else None)(
                fl.call(f.addr(1), "POST", "/v1/services/quotes/remind", "{}", headers)))
            self.assertEqual((status, first["code"], first["verdict"]),
                             (again[0], json.loads(again[2])["error"]["code"], json.loads(again[2])["error"]["verdict"]))
            self.assertLessEqual(fl.get_json(service, "/runs")["keys"].get("reminder-1", 0), 1)


if __name__ == "__main__":
    unittest.main()
