"""A connection on which a replica gave an answer that belongs to no request.

Guards against such a connection that is used again: what comes on it next may be the rest of that answer, or a copy, and
would be taken for the answer to another request.
"""
import time
import unittest

from platform_kit import Kit, Replica, event_text


class CopyingReplica(Replica):
    """Answers at once. While `copies` is set, an answer on a connection in use again follows, in the same piece, an
    answer without an id."""
    copies = False

    def __init__(self, *args):
        super().__init__(*args)
        self.asked = []         # (request, connection, whether it was in use before)
        self.used = set()

    async def answer(self, m, reader, writer):
        rid = m[1].get("request-id", "")
        reused = writer in self.used
        self.asked.append((rid, writer, reused))
        self.used.add(writer)
        body = "".join("id: %d\ndata: %s\n\n" % (n, event_text(rid, n)) for n in range(1, self.events + 1)).encode()
        head = b"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n" % len(body)
        own = head + b"Request-Id: %s\r\n\r\n" % rid.encode() + body
        writer.write(head + b"\r\n" + body + own if self.copies and reused else own)
        await writer.drain()
        return True


class CopyingKit(Kit):
    replica_class = CopyingReplica


class BadConnections(unittest.TestCase):
    def setUp(self):
        self.kit = CopyingKit(fronts=1, replicas=1)
        self.addCleanup(self.kit.close)
        self.kit.up()

    def send(self, rid):
        return self.kit.loop.run(self.kit.stream(self.kit.fronts[0], "/brief/1", rid))[0]

    def test_connection_with_an_answer_without_an_id_is_not_used_again(self):
        replica = self.kit.replicas[0]
        self.assertEqual(self.send("first"), 200)
        replica.copies = True
        self.send("odd")
        replica.copies = False
        time.sleep(1)       # until the replica gets work again
        self.assertEqual(self.send("next"), 200)
        asked = [(rid, id(c), reused) for rid, c, reused in replica.asked]
        bad = [c for rid, c, reused in asked if rid == "odd" and reused]
        self.assertTrue(bad, asked)
        self.assertNotIn(bad[0], [c for _, c, _ in asked[asked.index(("odd", bad[0], True)) + 1:]], asked)


if __name__ == "__main__":
    unittest.main()
