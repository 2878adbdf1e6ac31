"""Another program writes entries into the list of replicas that describe no replica that can be used; odd configs.

Guards against an odd entry that ends a process, stops it from following the list, or gets requests, and against a config
that ends the process which reads it.
"""
import json
import random
import time
import unittest

from platform_kit import Kit, Replica

DEPTH = 200000
FOLLOW_S = 6    # within which a replica that comes gets requests


def odd(**fields):
    """An entry that would be usable without these fields."""
    return json.dumps({"id": "i-odd-%d" % random.getrandbits(32), "service": "llm", "addr": "127.0.0.1:9", "zone": "za",
                       "version": "v1", "slots": 4, "state": "ready", "coldLeftMs": 0, "born": 1000, **fields}).encode()


def with_member(text):
    return odd()[:-1] + b', "more": ' + text + b"}"


ADDRS = ["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:8e3", "127.0.0.1", "127.0.0.1:",
         ":8080", "", "localhost:8080", "[::1]:8080", "127.0.0.1:" + "0" * 40 + "80", "1" * 100000]
UNUSABLE = ([odd(addr=a) for a in ADDRS] +
            [odd(slots=n) for n in (-1, 2 ** 32 - 1, 2 ** 32 + 4, 2 ** 40, 2 ** 62)] +
            [odd(born=-1), odd(born=0.5), odd(id=""), odd(id="x" * 100000), odd(id="i\r\nX-More: 1"),
             odd(service="y" * 64), odd(zone="z" * 64)])
UNREADABLE = [
    with_member(b"[" * DEPTH + b"]" * DEPTH),
    with_member(b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    odd(slots=10 ** 40), odd(born=-10 ** 40),
    with_member(b"1e999"), with_member(b'"\\u0000"'), with_member(b'"\\ud800"'), with_member(b'"\xff"'), with_member(b"01"),
    b"[]", b"7", b"null"]
UNBALANCED = [with_member(b"[" * DEPTH), with_member(b'"'), with_member(b"}"), b"]", b'{"id": "i-']


class OddEntries(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(controls=3, fronts=2, replicas=2)
        self.addCleanup(self.kit.close)
        self.kit.up()

    def replace_replicas(self):
        """Lists new replicas in place of all others, which end."""
        old = list(self.kit.replicas)
        for r in old:
            new = Replica(self.kit, "r%d" % len(self.kit.replicas), r.zone)
            self.kit.loop.run(new.start())
            self.kit.replicas.append(new)
        for r in old:
            r.state = "gone"
            self.kit.loop.run(r.stop())

    def check_followed(self):
        """Requests at each entry are answered by the replicas that are listed now, and by no other."""
        end = time.time() + FOLLOW_S
        for front in self.kit.fronts:
            while True:
                rid = "%016x" % random.getrandbits(64)
                s, _, b = self.kit.loop.run(self.kit.stream(front, "/brief/1", rid, wait_ms=1500))
                if s == 200:
                    break
                self.assertLess(time.time(), end, "%s: %d" % (front.name, s))
            self.kit.check_stream(rid, b)
        for front in self.kit.fronts:
            self.assertNotIn("i-odd-", front.log_text())
        self.assertEqual(self.kit.unexpected_exits(), [])

    def check_with(self, entries):
        self.kit.odd_entries = entries
        self.replace_replicas()
        self.check_followed()

    def skipped(self):
        lines = [x for x in self.kit.leader().log_text().splitlines() if "event=list_entries_skipped" in x]
        return len(lines), lines[-1]

    def test_replicas_are_followed_beside_unusable_entries(self):
        self.check_with(UNUSABLE)

    def test_replicas_are_followed_beside_unreadable_entries(self):
        self.check_with(UNREADABLE)
        before = self.skipped()
        time.sleep(2.5)     # two reads of the list
        self.assertEqual(self.skipped(), before, "a line for each read")

    def test_replicas_are_followed_beside_an_unbalanced_entry(self):
        for x in UNBALANCED:
            with self.subTest(x[-80:]):
                self.check_with([x])

    def test_an_entry_without_a_leader_follows_the_list_beside_odd_entries(self):
        self.kit.odd_entries = UNUSABLE + UNREADABLE + UNBALANCED[:1]
        for c in self.kit.controls:
            c.stop()
        self.replace_replicas()
        self.check_followed()

    def test_a_second_entry_with_the_id_of_a_replica_does_not_replace_it(self):
        replica, other = self.kit.replicas
        other.state = "gone"
        self.kit.odd_entries = [odd(id=replica.id, slots=64), odd(id=replica.id, service="other")]
        time.sleep(2.5)     # two reads of the list
        self.check_followed()

    def test_an_odd_config_is_refused_and_ends_no_process(self):
        good = json.dumps(self.kit.config(10 ** 6)).encode()
        odd = [good[:-1] + b', "more": ' + x + b"}" for x in (
            b"[" * DEPTH + b"]" * DEPTH, b'{"a":' * DEPTH + b"1" + b"}" * DEPTH, b"9" * 40, b"1e999", b'"\\u0000"', b'"\xff"')]
        odd += [x + b"a." * DEPTH + b"a = 1" for x in (b"", b"[", b"x = {")] + [b"x = " + b"[" * DEPTH + b"]" * DEPTH]
        for body in odd:
            for c in self.kit.controls:
                s, _, _ = self.kit.loop.run(self.kit.call(c.ip, self.kit.port + 2, "POST", "/config/put", [], body, 3))
                self.assertEqual((s, self.kit.unexpected_exits()), (400, []), (body[:20], body[-20:]))
        self.check_followed()


if __name__ == "__main__":
    unittest.main()
