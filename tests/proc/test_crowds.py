"""Crowds of clients that send too much, stop before the end or do not read: a process must stay within its memory.

Guards against processes that buffer whatever clients send or leave unread: 60 callers that stopped before the end of
their bodies took an entry to 250 MB on a VM of 120 MB. The tests check only what does not depend on the machine's
speed: the process is alive, its memory and descriptors stay under a bound, and one ordinary request is answered while
the clients are still connected. AUBURN_CROWDS_PLAIN=1 leaves out the settings that programs of before do not know.
"""
import os
import socket
import threading
import time
import unittest

from platform_kit import HOST, Kit, Replica

CLIENTS = 60            # at once
IDLE_CLIENTS = 400
BUDGET_MIB = 24         # the processes' own limits
CONNECTIONS = 150
FRONT_MB, CONTROL_MB = 80, 112  # bounds on peak resident memory
DESCRIPTORS = 260       # bound on open descriptors: CONNECTIONS, links, replicas and files
BODY = 4 << 20          # maximum of an entry's config
CONTROL_BODY = 16 << 20
SEND_S = 1.5            # for which a client waits for a write
SETTLE_S = 1            # for the process to read what the clients have sent
PIECE = 65536
JUNK = memoryview(bytes(16 << 20))
LIMITS = {} if os.environ.get("AUBURN_CROWDS_PLAIN") else {
    "client_memory_mib": BUDGET_MIB, "client_connections": CONNECTIONS}


class FloodReplica(Replica):
    """Streams 24 MB for each request whose id has `flood`, and otherwise as its base class."""

    async def answer(self, m, reader, writer):
        if "flood" not in m[1].get("request-id", ""):
            return await super().answer(m, reader, writer)
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n"
                     % m[1]["request-id"].encode())
        for n in range(1, 385):
            writer.write(b"id: %d\ndata: %s\n\n" % (n, b"x" * PIECE))
            await writer.drain()
        return False


class CrowdKit(Kit):
    replica_class = FloodReplica

    def before_start(self):
        for p in self.controls + self.fronts:
            p.settings.update(LIMITS)
            p.write_settings()


def head(path, framing, host=HOST):
    return ("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: c\r\nDeadline-Ms: 5000\r\nModel: m\r\n%s\r\n\r\n" % (
        path, host, framing)).encode()


def whole(path, size):
    """Announces `size` and sends all but the last byte in one write."""
    return [head(path, "Content-Length: %d" % size), JUNK[:size - 1]]


def piecewise(path, size):
    return [head(path, "Content-Length: %d" % size)] + [JUNK[:PIECE]] * (size // PIECE - 1)


def chunked(path, size):
    chunk = b"%x\r\n%s\r\n" % (PIECE, bytes(PIECE))
    return [head(path, "Transfer-Encoding: chunked")] + [chunk] * (size // PIECE - 1)


def small_chunks(path, size):
    """Chunks of 16 bytes, up to the same size without framing."""
    chunks = b"10\r\n0123456789abcdef\r\n" * 4096
    return [head(path, "Transfer-Encoding: chunked")] + [chunks] * (size // PIECE - 1)


def extensions(path, size):
    """One chunk whose extension does not end."""
    return [head(path, "Transfer-Encoding: chunked"), b"1;"] + [b"x" * PIECE] * (size // PIECE)


def trailers(path, size):
    return [head(path, "Transfer-Encoding: chunked"), b"1\r\nx\r\n0\r\n"] + [b"X: y\r\n" * 8192] * (size // PIECE)


def announced(path, size):
    return [head(path, "Content-Length: %d" % (size * 4))] + [JUNK[:PIECE]] * (size * 2 // PIECE)


def sent(path, size):
    return chunked(path, size * 2)


class Crowd:
    """Clients on threads; each writes its pieces and stays connected until close()."""

    def __init__(self, addr, n, pieces):
        self.socks, self.lock = [], threading.Lock()
        threads = [threading.Thread(target=self.run, args=(addr, pieces, i), daemon=True) for i in range(n)]
        for t in threads:
            t.start()
        for t in threads:
            t.join(30)

    def run(self, addr, pieces, i):
        try:
            s = socket.socket()
            s.settimeout(SEND_S)
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            with self.lock:
                self.socks.append(s)
            s.connect(addr)
            for piece in pieces(i) if callable(pieces) else pieces:
                s.sendall(piece)
        except OSError:
            pass

    def close(self):
        for s in self.socks:
            s.close()


class Crowds(unittest.TestCase):
    def setUp(self):
        self.kit = CrowdKit(controls=1, fronts=1, replicas=3, slots=16)
        self.addCleanup(self.kit.close)
        self.kit.up()
        self.front, self.control = self.kit.fronts[0], self.kit.controls[0]

    def peak_mb(self, proc):
        with open("/proc/%d/status" % proc.p.pid) as f:
            return int([x.split()[1] for x in f if x.startswith("VmHWM")][0]) / 1024

    def ordinary(self, proc):
        """Whether an ordinary request is answered; retried as callers and operators do."""
        end = time.time() + 10
        while time.time() < end:
            if proc is self.front:
                s = self.kit.loop.run(self.kit.stream(proc, "/brief/1", "%016x" % time.time_ns()))[0]
            else:
                s = 200 if self.kit.loop.run(self.kit.get(proc)) else 0
            if s == 200:
                return True
            time.sleep(0.1)
        return False

    def check(self, proc, name, port, pieces, clients=CLIENTS):
        """Runs a crowd against one of the process's listeners and checks the process while it is connected."""
        with open("/proc/%d/clear_refs" % proc.p.pid, "w") as f:
            f.write("5")    # the peak starts anew
        crowd = Crowd((proc.ip, port), clients, pieces)
        time.sleep(SETTLE_S)
        try:
            self.assertIsNone(proc.p.poll(), name)
            peak, fds = self.peak_mb(proc), len(os.listdir("/proc/%d/fd" % proc.p.pid))
            served = self.ordinary(proc)
            print("%s, %s: peak %.0f MB, %d descriptors, ordinary request answered: %s" % (
                proc.program, name, peak, fds, served), flush=True)
            self.assertTrue(served, name)
            self.assertIsNone(proc.p.poll(), name)
            self.assertLess(self.peak_mb(proc), FRONT_MB if proc is self.front else CONTROL_MB, name)
            self.assertLess(fds, DESCRIPTORS, name)
        finally:
            crowd.close()

    def targets(self):
        return ((self.front, self.kit.port, "/brief/1", BODY, CLIENTS),
                (self.control, self.kit.port + 2, "/config/put", CONTROL_BODY, CLIENTS // 4))

    def check_kinds(self, *kinds):
        for proc, port, path, size, clients in self.targets():
            for kind in kinds:
                with self.subTest(program=proc.program, kind=kind.__name__):
                    self.check(proc, kind.__name__, port, kind(path, size), clients)

    def test_large_bodies_that_stop_before_their_end(self):
        self.check_kinds(whole, piecewise)

    def test_chunked_bodies_that_stop_before_their_end(self):
        self.check_kinds(chunked, small_chunks, extensions, trailers)

    def test_bodies_over_the_limit(self):
        self.check_kinds(announced, sent)

    def test_slow_readers_of_streams(self):
        """Guards against an entry that buffers a replica's answer for a caller that does not read."""
        self.check(self.front, "streams", self.kit.port, lambda i: [
            head("/brief/1", "Content-Length: 0").replace(b"Request-Id: c", b"Request-Id: flood-%d" % i)], 24)

    def test_slow_readers_of_pipelined_answers(self):
        """Guards against a listener that goes on answering pipelined requests whose answers are not read."""
        self.kit.loop.run(self.kit.submit(more=500))
        for proc, port, get in ((self.front, self.kit.port + 4, b"/metrics"),
                                (self.control, self.kit.port + 2, b"/config/get")):
            with self.subTest(program=proc.program):
                self.check(proc, "pipelined", port, [b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % get * 1000], CLIENTS // 4)

    def test_idle_connections(self):
        for proc, port, _, _, _ in self.targets():
            with self.subTest(program=proc.program):
                self.check(proc, "idle", port, [], IDLE_CLIENTS)

    def test_idle_connections_to_the_metrics_of_a_control_process(self):
        """Guards against a thread and a descriptor for each of them."""
        self.check(self.control, "idle, metrics", self.kit.port + 4, [], IDLE_CLIENTS)


if __name__ == "__main__":
    unittest.main()
