"""A disk that refuses writes for some time must not cost the fleet a replica for good.

Guards against accepted lots and configs that are lost with the next disk, because the replica whose disk took writes
again stayed out of the group.
"""
import os
import signal
import time
import unittest

from disk_kit import DiskTest

TOLD_S = 0.2    # the leader knows this long after a write was refused
BACK_S = 1.0    # a replica votes and acknowledges again this long after its disk takes writes


class RefusedWrites(DiskTest):
    def test_lots_survive_the_loss_of_another_disk_after_the_first_takes_writes_again(self):
        follower = self.follower()
        lots = [self.open_lot()]
        self.fill_disk(follower)
        lots.append(self.open_lot())
        follower.fill_disk(False)
        time.sleep(BACK_S)
        lots.append(self.open_lot())
        self.lose_disk(self.kit.leader())
        for lot in lots:
            self.assertEqual(len(self.kit.loop.run(self.kit.read_whole(lot, 15))), 4, lot)
        self.assertTrue(self.kit.loop.run(self.kit.submit()))

    def test_process_that_starts_while_its_disk_refuses_writes_opens_it_later(self):
        follower = self.follower()
        follower.stop()
        tail = os.path.join(self.kit.dir, follower.name, "group-0")
        with open(os.path.join(tail, max(n for n in os.listdir(tail) if n.startswith("log-"))), "ab") as f:
            f.write(b"torn")   # has to be cut, which the disk refuses
        follower.fill_disk()
        follower.start()
        end = time.time() + 10
        while "event=open_failed" not in follower.log_text():
            self.assertLess(time.time(), end, follower.log_text()[-500:])
            time.sleep(0.05)
        follower.fill_disk(False)
        time.sleep(BACK_S)
        self.lose_disk(next(c for c in self.kit.controls if c is not follower))
        self.assertTrue(self.kit.loop.run(self.kit.submit()))


    def test_process_that_waits_for_its_disk_stops_as_asked(self):
        """Guards against a planned stop that looks like a failure to whoever started the process."""
        follower = self.follower()
        follower.stop()
        follower.fill_disk()
        follower.start()
        self.wait_line(follower, "open_failed", 10)
        follower.signal(signal.SIGTERM)
        self.assertEqual(follower.p.wait(5), 0)


class DisksFullInTurn(DiskTest):
    """Guards against changes that are refused or stay unanswered long after the last full disk has room again."""
    FULL_S = 2.5
    PAUSES_S = (0.0, 1.0)  # between two full disks

    def change(self):
        """Returns whether a config and a lot are accepted, each within 4 s."""
        return self.kit.loop.run(self.kit.submit(tries=20)) and bool(self.open_lot())

    def play(self, order):
        for pause in self.PAUSES_S:
            for c in order():
                c.fill_disk()
                self.kit.loop.run(self.kit.submit(tries=1))
                time.sleep(self.FULL_S)
                c.fill_disk(False)
                time.sleep(pause)
            time.sleep(BACK_S)
            self.assertTrue(self.change(), pause)
        for c in self.kit.controls:
            self.assertIsNone(c.p.poll(), c.name)
        # Each of them still counts: the loss of any one is borne.
        for c in self.kit.controls:
            c.stop()
            time.sleep(BACK_S)
            self.assertTrue(self.change(), c.name)
            c.start()
            time.sleep(2 * BACK_S)

    def test_each_disk_is_full_in_turn(self):
        self.play(lambda: list(self.kit.controls))

    def test_the_disk_of_the_leader_is_full_again_and_again(self):
        self.play(lambda: (self.kit.leader() or self.kit.controls[0] for _ in range(4)))


class RefusedWritesAndRetire(DiskTest):
    """Guards against a retirement that leaves too few processes that can vote, one of them only in name."""
    kit_options = {"controls": 4}

    def test_process_whose_disk_refuses_writes_is_not_counted_as_one_that_can_vote(self):
        k = self.kit
        leader = k.leader()
        time.sleep(3.5)     # a new leader refuses for another reason
        voters = [c for c in k.controls[:3] if c is not leader]
        self.fill_disk(voters[0])
        self.wait_line(leader, "peer_disk_failed", TOLD_S)
        path = "/retire/%s/start" % voters[1].name
        got = k.loop.run(k.call(leader.ip, k.port + 2, "POST", path, [], b'{"durationS":5}'))
        self.assertEqual(got[0], 409, got)


if __name__ == "__main__":
    unittest.main()
