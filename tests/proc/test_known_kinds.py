"""Messages that a leader of an older build doesn't know.

Guards against a link that such a leader ends for each of them, so that entries of this build serve without a leader while an
upgrade goes on.
"""
import struct
import time
import unittest

from link_kit import SimulatedLeader
from platform_kit import Kit

# link_kind_t in src/proto/link.x
LAST_OF_OLD_BUILDS, ENTRY_CAPACITIES, KINDS_KNOWN, LAST = 29, 32, 33, 36
LINKED_S = 1.5


class RecordingLeader(SimulatedLeader):
    """Says which kinds it knows, unless it is an old one."""

    def __init__(self, kit, last_kind=None):
        super().__init__(kit)
        self.last_kind, self.hellos, self.kinds = last_kind, 0, set()

    def on_hello(self, m, send):
        self.hellos += 1
        if self.last_kind:
            send(struct.pack(">II", KINDS_KNOWN, self.last_kind))

    def on_message(self, kind, m, send):
        self.kinds.add(kind)


class KnownKinds(unittest.TestCase):
    def kinds_sent_to(self, last_kind):
        kit = Kit(controls=0, fronts=0, replicas=1)
        self.addCleanup(kit.close)
        leader = RecordingLeader(kit, last_kind)
        leader.start(capacity=0.25)
        end = time.time() + 10
        while not leader.hellos:
            self.assertLess(time.time(), end, "the entry doesn't link")
            time.sleep(0.02)
        time.sleep(LINKED_S)
        return leader.kinds

    def test_leader_that_does_not_say_what_it_knows_gets_no_newer_kinds(self):
        self.assertLessEqual(max(self.kinds_sent_to(None)), LAST_OF_OLD_BUILDS)

    def test_leader_that_knows_them_gets_newer_kinds(self):
        self.assertIn(ENTRY_CAPACITIES, self.kinds_sent_to(LAST))

    def test_leader_that_knows_some_gets_those(self):
        self.assertNotIn(ENTRY_CAPACITIES, self.kinds_sent_to(ENTRY_CAPACITIES - 1))


if __name__ == "__main__":
    unittest.main()
