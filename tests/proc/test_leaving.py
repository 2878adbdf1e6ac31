"""What one process heard of a replica that leaves outlives that process and the leader that it told.

The upstream list shows the replica as ready all the time. Guards against new requests to it once the entry that received
the announcement or the leader that was told of it is gone, or has lost its leadership.
"""
import asyncio
import random
import signal
import time
import unittest

from disk_kit import DiskTest

TOLD_S = 0.3    # all linked processes know an announcement this long after the answer that carried it


class LeavingReplica(DiskTest):
    kit_options = {"controls": 3, "fronts": 3, "replicas": 3, "slots": 4}

    def setUp(self):
        super().setUp()
        self.heard_by, *self.told = self.kit.fronts
        # In the zone of an entry that is told, which would use it first.
        self.replica = next(r for r in self.kit.replicas if r.zone == self.told[0].zone)
        self.others = [r for r in self.kit.replicas if r is not self.replica]

    def send(self, n, fronts):
        """Sends n concurrent requests to the entries in turn, which must be served."""
        rids = ["%016x" % random.getrandbits(64) for _ in range(n)]

        async def go():
            return await asyncio.gather(*[self.kit.stream(fronts[i % len(fronts)], "/brief/1", r)
                                          for i, r in enumerate(rids)])
        for rid, (status, _, body) in zip(rids, self.kit.loop.run(go())):
            self.assertEqual(status, 200)
            self.kit.check_stream(rid, body)

    def announce(self):
        """Has the replica announce to one entry that it leaves."""
        self.replica.announces_leaving = True
        for r in self.others:
            r.full = True
        self.send(1, [self.heard_by])
        self.announced_at = time.time()
        for r in self.others:
            r.full = False
        time.sleep(TOLD_S)

    def runs_since(self, t):
        return [r for r in self.kit.runs if r["replica"] == self.replica.id and r["at"] > t]

    def assert_unused(self, fronts):
        """The entries are served by the other replicas, though all at once need more than one."""
        for _ in range(3):
            self.send(6, fronts)
        self.assertEqual(self.runs_since(self.announced_at), [])

    def kill(self, *procs):
        for p in procs:
            p.signal(signal.SIGKILL)
        for p in procs:
            p.p.wait()

    def start(self, procs, fronts):
        """Starts processes and waits until the entries are ready and one of the control processes leads."""
        for p in procs:
            p.start()
        self.kit.loop.run(self.kit.wait_ready(fronts))
        end = time.time() + 10
        while not self.kit.leader():
            self.assertLess(time.time(), end, "no leader")
            time.sleep(0.05)

    def wait_told(self, since):
        """Waits until the leader was told of the replica by a control process, later than `since` (Unix s)."""
        end = time.time() + 5
        leader = self.kit.leader()
        while not self.log_lines(leader, "replica_leaves", since * 1000, replica=self.replica.id):
            self.assertLess(time.time(), end, "%s wasn't told" % leader.name)
            time.sleep(0.02)

    def step_down(self):
        """Makes the leader lose its leadership, then the others what they know of the replica."""
        former = self.kit.leader()
        self.fill_disk(former)
        end = time.time() + 10
        while self.kit.leader() in (former, None):
            self.assertLess(time.time(), end, "it still leads")
            time.sleep(0.05)
        others = [c for c in self.kit.controls if c is not former]
        self.kill(*others)
        for c in others:
            c.start()

    def test_entries_that_were_told_tell_the_leader_after_all_control_processes_were_restarted(self):
        self.announce()
        self.kill(self.heard_by)
        self.kill(*self.kit.controls)
        self.start(self.kit.controls, self.told)
        self.assert_unused(self.told)
        self.start([self.heard_by], [self.heard_by])
        self.assert_unused([self.heard_by])

    def test_entries_that_were_told_keep_it_without_a_leader(self):
        self.announce()
        self.kill(self.heard_by)
        self.kill(*self.kit.controls)
        time.sleep(2.5)     # the entries have read the list themselves, which shows the replica as ready
        self.assert_unused(self.told)

    def test_entries_that_were_told_tell_the_leader_when_the_former_one_stepped_down(self):
        self.announce()
        self.heard_by.signal(signal.SIGSTOP)
        self.step_down()
        self.start([], self.told)
        self.assert_unused(self.told)
        self.heard_by.signal(signal.SIGCONT)

    def test_former_leader_tells_the_next_one_after_the_entries_were_restarted(self):
        self.announce()
        self.kill(*self.kit.fronts)
        t = time.time()
        self.step_down()
        self.start(self.kit.fronts, self.kit.fronts)
        self.wait_told(t)
        self.assert_unused(self.kit.fronts)

    def test_entry_that_was_restarted_is_told_by_the_leader(self):
        self.announce()
        self.kill(self.heard_by)
        self.start([self.heard_by], [self.heard_by])
        time.sleep(TOLD_S)
        self.kill(*self.told)
        self.kill(*self.kit.controls)
        self.start(self.kit.controls, [self.heard_by])
        self.assert_unused([self.heard_by])

    def test_control_process_that_was_restarted_is_told_by_the_leader(self):
        self.announce()
        late = self.follower()
        self.kill(late)
        self.start([late], self.kit.fronts)
        time.sleep(TOLD_S)
        others = [c for c in self.kit.controls if c is not late]
        t = time.time()
        self.kill(*self.kit.fronts, *others)
        for c in others:
            c.start()
        self.start(self.kit.fronts, self.kit.fronts)
        if self.kit.leader() is not late:
            self.wait_told(t)
        self.assert_unused(self.kit.fronts)

    def test_replica_that_the_list_no_longer_shows_as_draining_is_used_again(self):
        """Guards against a new leader that takes what the former one read from the list for an announcement."""
        leader = self.kit.leader()
        self.replica.state = "draining"
        self.wait_line(leader, "replica_listed", 5, replica=self.replica.id, leaving="1")
        time.sleep(TOLD_S)
        self.replica.state = "ready"
        self.wait_line(leader, "replica_listed", 5, time.time() * 1000, replica=self.replica.id, leaving="0")
        self.kill(leader)
        self.start([], self.kit.fronts)
        t = time.time()
        end = t + 5
        while not self.runs_since(t):
            self.assertLess(time.time(), end, "not used again")
            self.send(6, self.kit.fronts)


if __name__ == "__main__":
    unittest.main()
