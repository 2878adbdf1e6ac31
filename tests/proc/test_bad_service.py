"""A plain service whose answers have a status that HTTP does not know, are reset while the call is still being sent, or
are no UTF-8.

Guards against an entry that stores such an answer as the result of a call and gives it to its caller, and against a
stored result that can't be looked up because of its bytes.
"""
import json
import os
import signal
import socket
import struct
import threading
import time
import unittest

import fleet
from fleet import CALLER_KEY, bearer, call

PLAIN = "/v1/services/quotes/send"
BODY = json.dumps({"x": "y" * 700000})      # more than the buffers between an entry and a service that doesn't read
PART = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part of the answer"


class BadService(threading.Thread):
    """Reads the head of each call only, then sends `answer` and closes the connection, with a reset if `resets`."""

    def __init__(self, f, addr):
        super().__init__(daemon=True)
        self.f, self.answer, self.resets, self.calls = f, b"", False, 0
        host, port = addr.split(":")
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.bind((host, int(port)))
        self.sock.listen(64)

    def close(self):
        self.sock.shutdown(socket.SHUT_RDWR)    # ends accept()
        self.sock.close()
        self.join()

    def run(self):
        while True:
            try:
                c, _ = self.sock.accept()
            except OSError:
                return
            self.serve(c)

    def serve(self, c):
        data = b""
        while b"\r\n\r\n" not in data:
            more = c.recv(1024)
            if not more:
                return c.close()
            data += more
        if not data.startswith(b"POST"):
            c.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return c.close()
        self.calls += 1
        if not self.resets:
            c.sendall(self.answer)
            time.sleep(0.1)
            return c.close()
        time.sleep(0.1)     # the entry has filled the buffers
        for p in self.f.entries:    # they find the part and the reset at once
            os.kill(p.p.pid, signal.SIGSTOP)
        time.sleep(0.05)
        c.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        c.sendall(self.answer)
        c.close()
        time.sleep(0.05)
        for p in self.f.entries:
            os.kill(p.p.pid, signal.SIGCONT)


class BadPlainService(unittest.TestCase):
    def setUp(self):
        self.f = fleet.Fleet(controls=3, entries=1, engines=1, plain=0, zones=1)
        self.addCleanup(self.f.close)
        self.f.start()
        addr = self.f.net + "181:7800"
        self.service = BadService(self.f, addr)
        self.addCleanup(self.service.close)
        self.service.start()
        vms = self.f.vms()
        self.f.set_vms(vms + [dict(vms[0], id="bad-1", addr=addr, service="quotes")])

    def send(self, body="{}"):
        """Calls the service, again with another key while it isn't known yet."""
        for i in range(100):
            self.key = "call-%d" % i
            status, _, b = call(self.f.addr(), "POST", PLAIN, body, bearer(CALLER_KEY, self.key))
            if self.service.calls:
                return status, b
            time.sleep(0.1)
        self.fail("the service is not called")

    def check_not_a_result(self, status, body):
        self.assertEqual((self.service.calls, status), (1, 502), body)
        self.assertEqual(json.loads(body)["error"]["verdict"], "may_have_run", body)

    def check_status(self, status):
        self.service.answer = b"HTTP/1.1 %03d X\r\nContent-Length: 2\r\n\r\nno" % status
        self.check_not_a_result(*self.send())

    def test_status_000_is_no_result(self):
        self.check_status(0)

    def test_status_099_is_no_result(self):
        self.check_status(99)

    def test_status_600_is_no_result(self):
        self.check_status(600)

    def test_part_of_an_answer_before_a_reset_is_no_result(self):
        self.service.answer, self.service.resets = PART, True
        self.check_not_a_result(*self.send(BODY))

    def test_result_that_is_no_utf8_can_be_looked_up(self):
        self.service.answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\ncaf\xe9"
        self.assertEqual(self.send(), (200, b"caf\xe9"))
        status, _, b = call(self.f.addr(), "GET", "/v1/requests/" + self.key, None, bearer(CALLER_KEY))
        self.assertEqual((status, json.loads(b)["result"]), (200, "caf\ufffd"))


if __name__ == "__main__":
    unittest.main()
