"""The platform's list of VMs has entries that describe no upstream that can be used.

Guards against an odd entry that ends a control process, or stops it from following the list.
"""
import http.server
import json
import threading
import unittest

import fleet
from fleet import wait_for

DEPTH = 200000


class OddVms(unittest.TestCase):
    def setUp(self):
        self.body = b""
        test = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):
                self.send_response(200)
                self.send_header("Content-Length", str(len(test.body)))
                self.end_headers()
                self.wfile.write(test.body)

            def log_message(self, *args):
                pass

        self.server = http.server.ThreadingHTTPServer((fleet.net(0) + "8", 7900), Handler)
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.f = fleet.Fleet(controls=1, entries=1, engines=3, plain=0,
                             control={"platform": "http://%s8:7900/v1/vms" % fleet.net(0)})
        self.addCleanup(self.f.close)
        self.list(self.f.vms())
        self.f.start()

    def list(self, vms, odd=()):
        vms = [json.dumps(v).encode() for v in vms]
        self.body = b'{"vms": [%s]}' % b", ".join(vms[:1] + list(odd) + vms[1:])

    def upstreams(self):
        return sorted(u["id"] for u in self.f.status()["upstreams"])

    def test_vms_are_followed_beside_odd_ones(self):
        good = dict(self.f.vms()[0], id="odd")
        odd = [json.dumps(dict(good, **x)).encode() for x in (
            {"addr": "127.0.0.1:99999"}, {"addr": "127.0.0.1:0"}, {"addr": "x" * 100000}, {"addr": None}, {"id": 5},
            {"id": "y" * 100000}, {"zone": None}, {"service": []}, {"more": 10 ** 40})]
        odd += [json.dumps(good).encode()[:-1] + b', "more": %s}' % x for x in (
            b"[" * DEPTH + b"]" * DEPTH, b"1e999", b'"\\u0000"', b'"\xff"')]
        odd += [b"5", b"null", b"[]", b'{"id": "odd"}']
        for entries in (odd, odd[:1], odd[-1:]):
            with self.subTest(entries[0][-80:]):
                for names in ("engine-2", "engine-3"):
                    want = ["engine-1", names]
                    self.list([v for v in self.f.vms() if v["id"] in want], entries)
                    wait_for("upstreams " + names, lambda: self.upstreams() == want, 10)
        self.assertTrue(self.f.controls[0].alive())


if __name__ == "__main__":
    unittest.main()
