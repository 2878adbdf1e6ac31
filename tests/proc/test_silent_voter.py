"""A voter that acknowledges nothing, although its process is linked, must be seen and counted as lost.

Guards against a group that bears no further loss while operators, metrics and logs show all of its voters.
"""
import json
import os
import subprocess
import time
import unittest

from disk_kit import DiskTest
from platform_kit import BIN

GRACE_S = 1.5   # replace_grace_ms of the kit
MARGIN_S = 2.0


class SilentVoter(DiskTest):
    def ctl(self, *args):
        """Output of auburnctl."""
        path = os.path.join(self.kit.dir, "ctl.toml")
        with open(path, "w") as f:
            f.write("entries = %s\ncontrols = %s\n" % (
                json.dumps(["%s:%d" % (self.kit.fronts[0].ip, self.kit.port)]), json.dumps(self.kit.seeds)))
        return subprocess.run([os.path.join(BIN, "auburnctl"), "--config", path] + list(args), capture_output=True,
                              text=True, timeout=60).stdout

    def test_voter_whose_disk_refuses_writes_is_shown_until_it_acknowledges_again(self):
        leader, follower = self.kit.leader(), self.follower()
        addr = "%s:%d" % (follower.ip, self.kit.port)
        self.assertEqual(self.voters_acknowledging(leader), 3)
        self.assertNotIn("acknowledges nothing", self.ctl("status"))
        self.fill_disk(follower)
        silent = self.wait_line(leader, "voter_silent", GRACE_S + MARGIN_S)
        self.assertEqual((silent["addr"], silent["linked"]), (addr, "1"))
        self.assertGreater(int(silent["commit"]), int(silent["match"]))
        self.assertGreaterEqual(int(silent["ms"]), 1000 * GRACE_S)
        self.assertEqual(self.voters_acknowledging(leader), 2)
        self.assertIn("voter %s zone= acknowledges nothing" % addr, self.ctl("status"))
        for _ in range(5):
            self.assertTrue(self.kit.loop.run(self.kit.submit()))
        follower.fill_disk(False)
        back = self.wait_line(leader, "voter_acknowledges", MARGIN_S)
        self.assertEqual((back["replica"], back["linked"]), (silent["replica"], "1"))
        self.assertGreaterEqual(int(back["ms"]), int(silent["ms"]))
        self.wait_line(leader, "voter_caught_up", MARGIN_S)
        self.assertEqual(self.voters_acknowledging(leader), 3)
        self.assertNotIn("acknowledges nothing", self.ctl("status"))
        self.assertEqual(len(self.log_lines(leader, "voter_silent")), 1)


class SilentSpare(DiskTest):
    """A spare whose disk refuses writes must neither delay the repair for good nor count as a voter to be."""
    kit_options = {"controls": 5}

    def setUp(self):
        super().setUp()
        self.wait_voters(3)

    def wait_voters(self, n):
        end = time.time() + 10
        while self.kit.leader() is None or self.voters_acknowledging(self.kit.leader()) != n:
            self.assertLess(time.time(), end)
            time.sleep(0.1)

    def retire(self, node):
        """Retires a process; retries while the outcome is unclear; returns the status."""
        end = time.time() + 8
        got = 503
        while got in (0, 503) and time.time() < end:
            control = self.kit.leader() or self.kit.controls[0]
            got = self.kit.loop.run(self.kit.call(control.ip, self.kit.port + 2, "POST", "/retire/%s/start" % node.name,
                                                  [], b'{"durationS":5}'))[0]
            time.sleep(0.05)
        return got

    def test_spare_whose_disk_refuses_writes_is_not_added_again_and_again(self):
        bad, good = self.kit.controls[3:]     # `bad` is in the availability zone of the voter that is lost
        bad.fill_disk()
        self.lose_disk(self.kit.controls[0])
        end = time.time() + 3 * GRACE_S + 4 * MARGIN_S
        while not any("event=voter_promoted group=0 addr=%s:" % good.ip in c.log_text() for c in self.kit.controls):
            self.assertLess(time.time(), end, "the other spare is not made a voter")
            time.sleep(0.05)

    def test_voter_whose_disk_refuses_writes_does_not_count_when_another_is_retired(self):
        voters, spares = self.kit.controls[:3], self.kit.controls[3:]
        leader = self.kit.leader()
        silent, other = (c for c in voters if c is not leader)
        for c in [silent] + spares:
            c.fill_disk()
        since = time.time() * 1000
        self.assertTrue(self.kit.loop.run(self.kit.submit()))
        self.wait_line(leader, "voter_silent", GRACE_S + MARGIN_S, since)
        for _ in spares:    # each of the spares is tried and found to refuse writes
            self.wait_line(leader, "learner_removed", 2 * GRACE_S + MARGIN_S, since)
            since = float(self.log_lines(leader, "learner_removed", since)[0]["t"]) + 1
        self.assertEqual(self.retire(other), 409)
        since = time.time() * 1000
        silent.fill_disk(False)
        self.wait_line(leader, "voter_acknowledges", MARGIN_S, since)
        self.assertEqual(self.retire(other), 409)
        since = time.time() * 1000
        spares[0].fill_disk(False)
        self.wait_line(leader, "peer_disk_back", MARGIN_S, since, peer=spares[0].name)
        self.assertEqual(self.retire(other), 200)

    def test_replaced_voter_is_added_again_as_itself_once_its_disk_takes_writes(self):
        leader = self.kit.leader()
        silent, other = (c for c in self.kit.controls[:3] if c is not leader)
        self.kit.controls[4].stop()
        since = time.time() * 1000
        silent.fill_disk()
        self.assertTrue(self.kit.loop.run(self.kit.submit()))
        self.assertTrue(self.wait_line(leader, "voter_removed", 2 * GRACE_S + MARGIN_S, since)["addr"].startswith(silent.ip))
        silent.fill_disk(False)
        self.wait_line(leader, "peer_disk_back", MARGIN_S, since)
        since = time.time() * 1000
        self.lose_disk(other)
        added = self.wait_line(leader, "voter_promoted", 2 * GRACE_S + MARGIN_S, since)
        self.assertTrue(added["addr"].startswith(silent.ip + ":"))
        self.assertEqual(len(self.log_lines(silent, "group_opened")), 1)


if __name__ == "__main__":
    unittest.main()
