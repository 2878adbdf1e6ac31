"""Control processes that are replaced again and again, each by one at another address.

Guards against a process that no longer reaches new ones, as it keeps something for each address that it ever sent to.
"""
import signal
import time
import unittest

from platform_kit import Kit

REPLACED = 20       # more than twice the members that a group can have, PEERS_MAX in src/control/control_peer.c
KNOWN_S = 10        # a new process is known, and a retired one empty, within this time


class ReplacedStores(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(fronts=1)
        self.addCleanup(self.kit.close)
        self.kit.up()
        self.live = list(self.kit.controls)
        self.leader = self.kit.leader()

    def call(self, method, path, want, body=b""):
        """An operator's call at the leader, until its answer has what is wanted."""
        end = time.time() + KNOWN_S
        while time.time() < end:
            s, _, b = self.kit.loop.run(self.kit.call(self.leader.ip, self.kit.port + 2, method, path, [], body, 1))
            if s == 200 and want in b:
                return
            time.sleep(0.05)
        self.fail("%s: %d %r" % (path, s, b))

    def replace(self, n):
        k, old = self.kit, next(c for c in self.live if c is not self.leader)
        k.seeds = [c.settings["listen"] for c in self.live]
        new = k.make_control("store-%d" % n, k.next_ip(), old.zone, False)
        new.start()
        k.controls.append(new)
        self.live.append(new)
        self.call("POST", "/retire/%s/start" % old.name, b"", b'{"durationS":10}')
        self.call("GET", "/retire/%s/get" % old.name, b"completed")
        self.live.remove(old)
        old.signal(signal.SIGTERM)
        old.p.wait(10)

    def test_last_of_many_replaced_processes_is_reached_like_the_first(self):
        for n in range(REPLACED):
            self.replace(n)
            self.assertIs(self.kit.leader(), self.leader)
        self.assertIn("event=peer_dropped", self.leader.log_text())
        # The two others are new; the group bears the loss of either.
        for c in [c for c in self.live if c is not self.leader]:
            c.stop()
            time.sleep(0.5)
            self.assertTrue(self.kit.loop.run(self.kit.submit()), c.name)
            c.start()
            time.sleep(1)


if __name__ == "__main__":
    unittest.main()
