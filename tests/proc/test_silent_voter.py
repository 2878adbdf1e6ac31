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

    def voters_acknowledging(self, control):
        _, _, b = self.kit.loop.run(self.kit.call(control.ip, self.kit.port + 4, "GET", "/metrics", [], b"", 2))
        return [x.split()[1] for x in b.decode().splitlines() if x.startswith("auburn_group_voters_acknowledging{")]

    def test_voter_whose_disk_refuses_writes_is_shown_until_it_acknowledges_again(self):
        leader, follower = self.kit.leader(), self.follower()
        addr = "%s:%d" % (follower.ip, self.kit.port)
        self.assertEqual(self.voters_acknowledging(leader), ["3"])
        self.assertNotIn("acknowledges nothing", self.ctl("status"))
        self.fill_disk(follower)
        silent = self.wait_line(leader, "voter_silent", GRACE_S + MARGIN_S)
        self.assertEqual((silent["addr"], silent["linked"]), (addr, "1"))
        self.assertGreater(int(silent["commit"]), int(silent["match"]))
        self.assertGreaterEqual(int(silent["ms"]), 1000 * GRACE_S)
        self.assertEqual(self.voters_acknowledging(leader), ["2"])
        self.assertIn("voter %s zone= acknowledges nothing" % addr, self.ctl("status"))
        for _ in range(5):
            self.assertTrue(self.kit.loop.run(self.kit.submit()))
        follower.fill_disk(False)
        back = self.wait_line(leader, "voter_acknowledges", MARGIN_S)
        self.assertEqual((back["replica"], back["linked"]), (silent["replica"], "1"))
        self.assertGreaterEqual(int(back["ms"]), int(silent["ms"]))
        self.wait_line(leader, "voter_caught_up", MARGIN_S)
        self.assertEqual(self.voters_acknowledging(leader), ["3"])
        self.assertNotIn("acknowledges nothing", self.ctl("status"))
        self.assertEqual(len(self.log_lines(leader, "voter_silent")), 1)


if __name__ == "__main__":
    unittest.main()
