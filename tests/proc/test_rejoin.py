"""Time from the moment a voter's disk takes writes until the group bears another loss, read from log lines.

Guards against a voter that is back but stays behind for longer than catching up takes. Prints the figures.
"""
import time
import unittest

from disk_kit import DiskTest

BACK_S = 1.0    # a replica votes and acknowledges again this long after its disk takes writes
GRACE_S = 1.5   # replace_grace_ms of the kit


class Rejoin(DiskTest):
    entries = 3000

    def fill_log(self, leader):
        """Commits entries while the disk of a follower refuses writes."""
        async def go():
            for _ in range(self.entries):
                self.kit.version += 1
                self.assertEqual(await self.kit.put(leader, self.kit.config(self.kit.version)), 200)
        self.kit.loop.run(go(), 120)

    def read_bytes(self, control):
        """Bytes that a process has read so far, from its connections and files."""
        with open("/proc/%d/io" % control.p.pid) as f:
            return int(f.readline().split()[1])

    def rejoin_s(self):
        """Seconds from the disk's return to all voters having what was committed then."""
        leader, follower = self.kit.leader(), self.follower()
        self.fill_disk(follower)
        self.fill_log(leader)
        self.assertEqual(len(self.log_lines(leader, "voter_silent")), 1)
        since, before = time.time() * 1000, self.read_bytes(follower)
        follower.fill_disk(False)
        back = self.wait_line(follower, "disk_back", 2, since)
        acks = self.wait_line(leader, "voter_acknowledges", 10, since)
        last = self.wait_line(leader, "voter_caught_up", 10, since)
        times = ["%s %.0f ms" % (what, float(x["t"]) - since) for what, x in
                 (("disk_back", back), ("voter_acknowledges", acks), ("voter_caught_up", last))]
        print("%s: %s, %s entries behind, %d KB" % (self.id().split(".")[1], ", ".join(times), acks["behind"],
                                                    (self.read_bytes(follower) - before) / 1000))
        self.check_second_loss(leader)
        return (float(last["t"]) - since) / 1000

    def check_second_loss(self, control):
        """Another voter loses its disk: the others have the newest config and accept a further one."""
        self.lose_disk(control)
        others = [c for c in self.kit.controls if c is not control]
        self.assertEqual(self.kit.loop.run(self.kit.read_config(others[0], 5))["version"], self.kit.version)
        self.assertTrue(self.kit.loop.run(self.kit.submit()))

    def replaced_s(self):
        """Seconds from the first refused write to three acknowledging voters, when a spare replaces the voter."""
        leader, spare = self.kit.leader(), self.kit.controls[3]
        silent = next(c for c in self.kit.controls[:3] if c is not leader)
        self.fill_log(leader)
        since, before = time.time() * 1000, self.read_bytes(spare)
        self.fill_disk(silent)
        failed = float(self.wait_line(silent, "disk_failed", 2, since)["t"])
        last = self.wait_line(leader, "voter_promoted", 10, since)
        self.assertTrue(last["addr"].startswith(spare.ip + ":"))
        kb = (self.read_bytes(spare) - before) / 1000
        removed = self.wait_line(leader, "voter_removed", 10, since)
        times = ["%s %.0f ms" % (what, float(x["t"]) - failed) for what, x in
                 (("voter_silent", self.wait_line(leader, "voter_silent", 1, since)),
                  ("voter_replacement_begun", self.wait_line(leader, "voter_replacement_begun", 1, since)),
                  ("voter_promoted", last), ("voter_removed", removed))]
        print("%s: %s, %d KB" % (self.id().split(".")[1], ", ".join(times), kb))
        self.check_second_loss(leader)
        return (float(last["t"]) - failed) / 1000


class FromLog(Rejoin):
    kit_options = {"snapshot_entries": 100000}

    def test_voter_catches_up_from_the_log_as_soon_as_its_disk_takes_writes(self):
        self.assertLess(self.rejoin_s(), BACK_S)


class FromSnapshot(Rejoin):
    def test_voter_catches_up_by_a_snapshot_as_soon_as_its_disk_takes_writes(self):
        self.assertLess(self.rejoin_s(), BACK_S)


class ReplacedFromLog(Rejoin):
    kit_options = {"controls": 4, "snapshot_entries": 100000}

    def test_spare_votes_soon_after_the_grace_time(self):
        self.assertLess(self.replaced_s(), GRACE_S + BACK_S)


class ReplacedFromSnapshot(Rejoin):
    kit_options = {"controls": 4}

    def test_spare_votes_soon_after_the_grace_time(self):
        self.assertLess(self.replaced_s(), GRACE_S + BACK_S)


if __name__ == "__main__":
    unittest.main()
