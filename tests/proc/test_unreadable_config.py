"""A config that an entry can't decode.

Guards against an entry that acknowledges such a config as if it used its routes: the leader then takes it for up to date and
sends it nothing more.
"""
import struct
import time
import unittest

from link_kit import CONFIG, CONFIG_IN_FORCE, SimulatedLeader, opaque
from platform_kit import Kit

NUMBER = 7
ASKED_AGAIN_S = 8
PACED_MAX = 5       # messages on the config in that time: an entry that asks at once would send thousands


class BadConfigLeader(SimulatedLeader):
    """Sends its entry a config of random bytes, again whenever the entry says that it has another one."""

    def __init__(self, kit):
        super().__init__(kit)
        self.held = []      # numbers of the configs that the entry says it uses

    def config(self):
        return struct.pack(">IQQQQI", CONFIG, NUMBER, 1, 0, 0, 100) + opaque(b"\xff" * 40)

    def on_hello(self, m, send):
        send(self.config())

    def on_message(self, kind, m, send):
        if kind == CONFIG_IN_FORCE:
            number, = struct.unpack(">Q", m[:8])
            self.held.append(number)
            if number != NUMBER:
                send(self.config())


class UnreadableConfig(unittest.TestCase):
    def test_config_that_cannot_be_decoded_is_asked_for_again_and_not_acknowledged(self):
        kit = Kit(controls=0, fronts=0, replicas=1)
        self.addCleanup(kit.close)
        leader = BadConfigLeader(kit)
        front = leader.start()
        end = time.time() + 10
        while "event=text_unreadable" not in front.log_text():
            self.assertLess(time.time(), end, "the entry gets no config")
            time.sleep(0.02)
        time.sleep(ASKED_AGAIN_S)
        self.assertNotIn(NUMBER, leader.held)
        self.assertTrue(1 <= len(leader.held) <= PACED_MAX, leader.held)
        self.assertEqual(kit.unexpected_exits(), [])


if __name__ == "__main__":
    unittest.main()
