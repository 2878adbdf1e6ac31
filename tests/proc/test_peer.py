"""Authentication of the calls between entries.

Guards against callers or operators that reach the internal calls with their own keys: such a call runs work without
admission, and cancels other callers' jobs.
"""
import json
import unittest

import fleet as fl


class Peer(unittest.TestCase):
    def test_internal_calls_need_the_peer_key(self):
        with fl.Fleet(entries=2) as f:
            f.start()
            s = f.status(0)
            owned = next(u for u in s["upstreams"] if u["owned_here"] and u["service"] == "sammandrag-llm")
            work = {"session": s["session"], "upstream": owned["id"], "fence": owned["fence"], "left_ms": 5000,
                    "max_tokens": 2, "resume_from": 0, "caller": "desk", "key": "x", "service": "sammandrag-llm",
                    "model": "sammandrag-llm", "prompt": "x"}
            for wrong in ({}, fl.bearer(fl.CALLER_KEY), fl.bearer(fl.OPERATOR_KEY)):
                for path, body in (("run", work), ("cancel", {"session": s["session"], "caller": "desk", "job": "j"})):
                    status, _, answer = fl.call(f.addr(), "POST", "/internal/v1/" + path, json.dumps(body), wrong)
                    self.assertEqual(status, 401, answer)
            status, _, answer = fl.call(f.addr(), "POST", "/internal/v1/run", json.dumps(work), fl.bearer(fl.PEER_KEY))
            self.assertEqual(status, 200, answer)


if __name__ == "__main__":
    unittest.main()
