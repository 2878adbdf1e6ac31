"""Streams that have begun at a caller when a replica answers with an error instead of events.

Guards against the error's head or text in the middle of a stream, and against a stream that ends as complete without
its last events.
"""
import random
import unittest

from platform_kit import Kit

ERROR_TEXT = b"upstream failed"
ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"


class ErrorAfterBegin(unittest.TestCase):
    def setUp(self):
        self.kit = Kit()
        self.addCleanup(self.kit.close)
        self.kit.up()

    def send(self):
        rid = "%016x" % random.getrandbits(64)
        return rid, self.kit.loop.run(self.kit.stream(self.kit.fronts[0], "/brief/1", rid))

    def break_streams(self, answer):
        """All replicas break off after event 3 and give this answer to the request that goes on."""
        for r in self.kit.replicas:
            r.resumed_answer = answer
            r.break_after = 4

    def check_prefix(self, rid, body):
        """Each event that the caller got is its own, and there is nothing else between them."""
        events = body.decode().split("\n\n")[:-1]
        self.assertEqual(body, b"".join(b"id: %d\ndata: %s-%d\n\n" % (n, rid.encode(), n)
                                        for n in range(1, len(events) + 1)))

    def check_resumed_answer(self, status, headers=(), body=ERROR_TEXT):
        self.break_streams((status, list(headers), body))
        rid, (s, _, b) = self.send()
        self.assertEqual([r["after"] for r in self.kit.runs_of(rid)][:2], [0, 3])
        self.assertEqual(s, 0, b)  # the answer was broken off, so it does not look complete
        self.check_prefix(rid, b)
        self.check_next_requests()

    def check_next_requests(self):
        """The entry and its connections are sound afterwards."""
        for r in self.kit.replicas:
            r.resumed_answer = r.break_after = None
        for _ in range(6):
            rid, (s, _, b) = self.send()
            self.assertEqual(s, 200)
            self.kit.check_stream(rid, b)

    def test_error_of_the_next_replica_is_not_passed_on(self):
        self.check_resumed_answer(500)

    def test_error_without_signature_is_not_passed_on(self):
        self.check_resumed_answer(502, [("Signature", "")])

    def test_refusal_of_the_next_replica_as_invalid_is_not_passed_on(self):
        self.check_resumed_answer(400, [("Not-Run", "1")])

    def test_no_second_head_follows_the_first(self):
        for answer in [(500, [], ERROR_TEXT), (400, [("Not-Run", "1")], ERROR_TEXT)]:
            self.break_streams(answer)
            raw = self.kit.loop.run(self.kit.raw_answer(self.kit.fronts[0], "/brief/1", "%016x" % random.getrandbits(64)))
            self.assertEqual(raw.count(b"HTTP/1.1 "), 1, raw)
            self.assertNotIn(ERROR_TEXT, raw)

    def test_refusal_of_the_next_replica_as_full_is_not_passed_on(self):
        self.check_resumed_answer(503, [("Not-Run", "1")])

    def test_success_of_another_type_is_not_passed_on(self):
        self.check_resumed_answer(200, [("Content-Type", "text/plain")])

    def test_stream_without_events_does_not_complete_the_answer(self):
        self.check_resumed_answer(200, [("Content-Type", "text/event-stream")], ERROR_TEXT + b"\n\n")

    def test_error_head_within_a_stream_is_not_passed_on(self):
        for r in self.kit.replicas:
            r.unframed = True
            r.end_after = 3, ERROR_HEAD
        rid, (s, _, b) = self.send()
        self.check_prefix(rid, b)
        self.assertEqual([r["after"] for r in self.kit.runs_of(rid)], [0, 3])

    def test_refusal_before_the_first_event_is_an_answer_of_its_own(self):
        for r in self.kit.replicas:
            r.full = True
        rid, (s, h, b) = self.send()
        self.assertEqual((s, b, self.kit.runs_of(rid)), (503, b"", []))


if __name__ == "__main__":
    unittest.main()
