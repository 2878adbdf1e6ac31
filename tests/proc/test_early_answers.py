"""Replicas that answer a long upload before they have read it and reset the connection.

Guards against the part of an answer that came before a reset and reaches its caller as a complete one: an answer without
length ends with its connection, and a reset that a write has reported doesn't show in the reads that follow.
"""
import asyncio
import signal
import socket
import struct
import time
import unittest

from platform_kit import Kit, Replica, event_text

BODY = b"x" * (3 << 20)     # more than the buffers between an entry and a replica that doesn't read
EVENTS = 3                  # of the part that comes before the reset
REPLY_S = 3                 # a request that has failed is answered long before its deadline of 5 s


class EarlyReplica(Replica):
    """Answers before it has read the body, in the way that `early` selects, once; else as Replica."""
    early = None        # (head lines and part of the body) to send before the reset

    async def start(self):
        self.addr = self.addr_of_start()
        ip, port = self.addr.split(":")
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.bind((ip, int(port)))
        self.server = await asyncio.start_server(self.serve_early, sock=s)

    def addr_of_start(self):
        return self.kit.next_addr()

    async def serve_early(self, reader, writer):
        if not self.early:
            await self.serve(reader, writer)
            return
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        h = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        rid = h["Request-Id"]
        part, self.early = self.early, None
        self.kit.runs.append({"id": rid, "replica": self.id, "after": int(h.get("Last-Event-Id", 0)), "end": "reset",
                              "at": time.time(), "ended": time.time()})
        await asyncio.sleep(0.1)    # the entry has filled the buffers
        front = self.kit.fronts[0]
        front.freeze()      # it finds the part and the reset at once
        sock = writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.write(part % {b"rid": rid.encode()})
        writer.transport.abort()
        await asyncio.sleep(0.05)
        front.signal(signal.SIGCONT)


class EarlyKit(Kit):
    replica_class = EarlyReplica


def head(content_type, *more):
    return b"\r\n".join((b"HTTP/1.1 200 OK", b"Request-Id: %(rid)s", b"Signature: sig-%(rid)s",
                         b"Content-Type: " + content_type) + more) + b"\r\n\r\n"


PART_OF_EVENTS = head(b"text/event-stream") + b"".join(b"id: %d\ndata: %%(rid)s-%d\n\n" % (n, n)
                                                       for n in range(1, EVENTS + 1))
PART_OF_TEXT = head(b"text/plain") + b"a part of the answer"


class EarlyAnswers(unittest.TestCase):
    def setUp(self):
        self.kit = EarlyKit(fronts=1, replicas=2)
        self.addCleanup(self.kit.close)
        self.kit.up()

    def send(self, path, part):
        """Sends a long request that reaches a replica which answers early; returns its id and the answer."""
        k = self.kit
        for r in k.replicas:
            r.early = part
        self.rid = "early%04d" % len(k.runs)

        async def play():
            answer = asyncio.ensure_future(k.stream(k.fronts[0], path, self.rid, body=BODY))
            while not k.runs_of(self.rid):
                await asyncio.sleep(0.002)
            for r in k.replicas:
                r.early = None
            return await answer
        return k.loop.run(play())

    def test_part_of_a_stream_before_a_reset_is_not_complete(self):
        status, _, body = self.send("/alert/1", PART_OF_EVENTS)
        self.assertNotEqual(status, 200, body)

    def test_part_of_a_text_before_a_reset_is_not_complete(self):
        status, _, body = self.send("/alert/1", PART_OF_TEXT)
        self.assertNotEqual(status, 200, body)

    def test_stream_that_was_reset_during_its_upload_goes_on_elsewhere(self):
        status, _, body = self.send("/brief/1", PART_OF_EVENTS)
        self.assertEqual(status, 200)
        self.kit.check_stream(self.rid, body)
        self.assertEqual([r["after"] for r in self.kit.runs_of(self.rid)], [0, EVENTS])

    def test_whole_answer_before_a_reset_is_delivered(self):
        text = b"the whole answer"
        status, _, body = self.send("/alert/1", head(b"text/plain", b"Content-Length: %d" % len(text)) + text)
        self.assertEqual((status, body), (200, text))


if __name__ == "__main__":
    unittest.main()
