"""Entries of unequal capacity in the answers to look-ups, at entries and at control processes.

Guards against answers that load a small entry like a large one, also after the leader was replaced or a capacity has
changed, and against capacities that don't reach a process that answers look-ups.
"""
import json
import signal
import time
import unittest

from platform_kit import Kit

LARGE, SMALL = 6, 9     # fronts; the small ones are so small that each is named for its own zone only
ARRIVES_S = 10          # within which a change is in all answers


class ShareKit(Kit):
    def before_start(self):
        for i, f in enumerate(self.fronts):
            f.settings["capacity"] = 0.3 if i < LARGE else 0.09
        for c in self.controls:
            c.settings["directory"] = "%s:%d" % (c.ip, self.port + 3)
        for p in self.fronts + self.controls:
            p.write_settings()


class EntryShare(unittest.TestCase):
    def setUp(self):
        self.kit = ShareKit(controls=3, fronts=LARGE + SMALL, replicas=1)
        self.addCleanup(self.kit.close)
        self.kit.up()

    def answer(self, process, zone):
        """Names of the fronts in the answer of the process to a caller in the zone."""
        s, _, b = self.kit.loop.run(self.kit.call(
            process.ip, self.kit.port + 3, "GET", "/resolve?name=x&zone=" + zone, timeout=2))
        by_addr = {f.settings["listen"]: f.name for f in self.kit.fronts}
        return {by_addr[a] for a in json.loads(b)["addresses"]} if s == 200 else set()

    def wait_for_answers(self, expected):
        """Waits until each live process answers look-ups in each zone with the fronts for which expected(f, zone)."""
        end = time.time() + ARRIVES_S
        for p in [x for x in self.kit.fronts + self.kit.controls if x.p.poll() is None]:
            for zone in self.kit.zones:
                want = {f.name for f in self.kit.fronts if expected(f, zone)}
                while (got := self.answer(p, zone)) != want:
                    self.assertLess(time.time(), end, "%s in %s: %s instead of %s" % (
                        p.name, zone, sorted(got), sorted(want)))
                    time.sleep(0.05)

    def set_capacity(self, front, capacity):
        front.settings["capacity"] = capacity
        front.write_settings()
        front.signal(signal.SIGHUP)

    def test_answers_follow_capacities(self):
        def by_capacity(f, zone):
            return f.settings["capacity"] > 0.1 or f.zone == zone

        self.wait_for_answers(by_capacity)
        old = self.kit.leader()
        old.signal(signal.SIGKILL)
        old.p.wait()
        end = time.time() + ARRIVES_S
        while not self.kit.leader():
            self.assertLess(time.time(), end, "no leader")
            time.sleep(0.05)
        time.sleep(2.5)     # the entries of the previous leader's view are kept for up to 2 s
        self.wait_for_answers(by_capacity)
        again = self.kit.fronts[0]      # knows only what the new leader sends
        again.signal(signal.SIGKILL)
        again.p.wait()
        again.start()
        self.kit.loop.run(self.kit.wait_ready([again]))
        self.wait_for_answers(by_capacity)
        self.set_capacity(self.kit.fronts[-1], 0.3)
        self.wait_for_answers(by_capacity)
        self.set_capacity(self.kit.fronts[-1], 0)   # unknown
        self.wait_for_answers(lambda f, zone: True)
        self.assertEqual(self.kit.unexpected_exits(), [])


if __name__ == "__main__":
    unittest.main()
