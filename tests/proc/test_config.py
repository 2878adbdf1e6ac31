"""The operators' config: races under one number, lost answers, restarts, and time to reach all entries.

Guards against two configs that are both accepted under one number, which happens if a new leader or a restarted process
doesn't have the decision that an earlier one acknowledged.
"""
import json
import socket
import threading
import time
import unittest

import fleet as fl


def submit_without_answer(addr, number, text):
    """Submits a config and closes the connection without reading the answer."""
    host, port = addr.rsplit(":", 1)
    body = text.encode()
    head = "PUT /v1/config?number=%d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n" % (
        number, fl.OPERATOR_KEY, len(body))
    with socket.create_connection((host, int(port)), 5) as s:
        s.sendall(head.encode() + body)


class Config(unittest.TestCase):
    def resend_statuses(self, f, texts, number):
        """Submits each text again under the number, each through another entry; returns the statuses."""
        out = []
        for i, t in enumerate(texts):
            out.append(f.submit(number, t, i)[0])
        return out

    def test_two_operators_race_lose_their_answers_and_resend(self):
        """One of two texts wins a number, and stays the winner when the leader or all control processes are killed."""
        with fl.Fleet() as f:
            f.start()
            for number in range(2, 8):
                texts = [f.text + "\n# operator %d wants %d\n" % (i, number) for i in range(2)]
                threads = [threading.Thread(target=submit_without_answer, args=(f.addr(i), number, t))
                           for i, t in enumerate(texts)]
                for t in threads:
                    t.start()
                for t in threads:
                    t.join()
                if number == 4:
                    f.leader().kill()
                first = self.resend_statuses(f, texts, number)
                self.assertEqual(sorted(first), [200, 409])
                if number == 4:
                    dead = [c for c in f.controls if not c.alive()][0]
                    dead.start()
                if number == 6:
                    for c in f.controls:
                        c.kill()
                    for c in f.controls:
                        c.start()
                self.assertEqual(self.resend_statuses(f, texts, number), first)
                winner = texts[first.index(200)]
                got = fl.wait_for("config", lambda: fl.get_json(f.addr(2), "/v1/config", fl.bearer(fl.OPERATOR_KEY)))
                self.assertEqual((got["number"], got["text"]), (number, winner))

    def test_restart_after_500_changes_loads_a_snapshot(self):
        """The answer to a resend of an old number must not depend on log entries that compaction removed."""
        with fl.Fleet(entries=2, control={"snapshot_entries": 100}) as f:
            f.start()
            for n in range(2, 502):
                self.assertEqual(f.submit(n, f.text + "\n# change %d\n" % n, n % 2)[0], 200)
            for c in f.controls:
                c.kill()
            for c in f.controls:
                c.start()
            fl.wait_for("config 501", lambda: fl.get_json(
                f.addr(), "/v1/config", fl.bearer(fl.OPERATOR_KEY))["number"] == 501)
            # A majority has the config as soon as two are up: the third may still be opening its port.
            fl.wait_for("status of all", lambda: all("groups" in c for c in f.control_status().values()))
            for c in f.control_status().values():
                g = c["groups"][0]
                self.assertGreater(g["snapshot"], 300)
                self.assertGreater(g["first"], 300)
            self.assertEqual(f.submit(7, f.text + "\n# change 7\n")[0], 200)
            status, answer = f.submit(7, f.text + "\n# something else\n")
            self.assertEqual((status, answer["code"]), (409, "number_taken"))
            f.wait_in_force(501)
            self.assertEqual(f.submit(502, f.text)[0], 200)

    def test_change_is_in_force_everywhere_within_seconds(self):
        """Prints the time from the submission until all entries have the config."""
        with fl.Fleet(entries=6) as f:
            f.start()
            start = time.monotonic()
            f.submit(2, f.text + "\n# spread\n")
            f.wait_in_force(2)
            print("spread_ms=%d entries=6" % ((time.monotonic() - start) * 1000))
            f.wait_in_force(2)

    def test_job_resent_five_times_during_a_leader_change_is_one_job(self):
        """Each entry repeats the submission to the new leader, which may have committed it already."""
        with fl.Fleet() as f:
            f.start()
            items = [{"prompt": "lot item %d" % i, "max_tokens": 1} for i in range(10000)]
            got = []

            def send(i):
                got.append(fl.wait_for("acceptance of the job", lambda: (lambda a: a if a[0] == 202 else None)(
                    f.submit_job("lot", items, entry=i % 3))))

            threads = [threading.Thread(target=send, args=(i,)) for i in range(5)]
            for t in threads:
                t.start()
            f.leader(1).kill()
            for t in threads:
                t.join()
            self.assertEqual([json.loads(g[2])["count"] for g in got], [10000] * 5)
            f.wait_sessions()
            jobs = fl.wait_for("list of jobs", lambda: fl.get_json(f.addr(), "/v1/jobs", fl.bearer(fl.CALLER_KEY)))
            self.assertEqual(len(jobs["jobs"]), 1)
            self.assertEqual(jobs["jobs"][0]["count"], 10000)


if __name__ == "__main__":
    unittest.main()
