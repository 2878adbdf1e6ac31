"""Slow paths between the processes, and slow disks.

Guards against a search for the leader and elections that can never end, because a try lasts shorter than the answer
takes, and against links over slow paths that don't stay up.
"""
import asyncio
import re
import signal
import time
import unittest

from slow_kit import SlowKit

RECOVERY_S = 12     # the platform requires service this long after a fault
DELAY_S = 0.1       # in each direction: an answer takes longer than the search waits with the next try
SYNC_MS = 400       # longer than an election timeout
OPERATOR_S = 1      # after which an operator asks another control process


class SlowLinks(unittest.TestCase):
    def start(self, **options):
        self.kit = SlowKit(**options)
        self.addCleanup(self.kit.close)
        self.kit.up()
        self.leader = self.kit.leader()

    def stream(self, front, rid, **options):
        status, _, body = self.kit.loop.run(self.kit.stream(front, "/brief/" + rid, rid, **options))
        return status, body

    def test_every_process_finds_a_new_leader_over_slow_links_and_keeps_it(self):
        self.start(controls=3, fronts=1)
        self.kit.delay(DELAY_S, kind="link")
        self.leader.signal(signal.SIGKILL)
        self.leader.p.wait()
        self.leader.start()
        killed = time.time()
        for c in self.kit.controls:
            self.assertTrue(self.kit.loop.run(self.kit.read_config(c, killed + RECOVERY_S - time.time())))
        front = self.kit.fronts[0]
        while front.log_text().count("event=leader_found") < 2:
            self.assertLess(time.time(), killed + RECOVERY_S, "the entry has no leader")
            time.sleep(0.02)
        lost = [p.log_text().count("event=leader_lost") for p in self.kit.controls + self.kit.fronts]
        end = time.time() + 3
        served = 0
        while time.time() < end:
            served += self.stream(front, "slow-%d" % served)[0] == 200
        self.assertGreater(served, 3)
        self.assertEqual([p.log_text().count("event=leader_lost") for p in self.kit.controls + self.kit.fronts], lost)

    def restart_controls(self):
        """Kills all control processes at once and starts them again; each must return the config in time."""
        for c in self.kit.controls:
            c.signal(signal.SIGKILL)
        for c in self.kit.controls:
            c.p.wait()
            c.start()
        restarted = time.time()
        for c in self.kit.controls:
            self.assertTrue(self.kit.loop.run(self.kit.read_config(c, restarted + RECOVERY_S - time.time())))

    def test_control_processes_that_restart_at_once_elect_a_leader_over_slow_paths(self):
        self.start(controls=3, fronts=1)
        self.kit.delay(1.5 * DELAY_S)   # a round trip is as long as an election timeout
        self.restart_controls()

    def test_control_processes_that_restart_at_once_elect_a_leader_on_slow_disks(self):
        self.start(controls=3, fronts=1)
        for c in self.kit.controls:
            c.sync_ms = SYNC_MS
        self.restart_controls()

    def test_operator_call_waits_for_a_leader_that_is_about_to_be_found(self):
        self.start(controls=3, fronts=1)
        follower = next(c for c in self.kit.controls if c is not self.leader)
        self.kit.delay(DELAY_S, source=follower.name, target=self.leader.name, kind="link")
        follower.signal(signal.SIGKILL)
        follower.p.wait()
        follower.start()
        status = 0
        end = time.time() + RECOVERY_S
        while status == 0 and time.time() < end:    # until its server listens
            status, _, _ = self.kit.loop.run(self.kit.call(
                follower.ip, self.kit.port + 2, "GET", "/config/get", timeout=OPERATOR_S))
        self.assertEqual(status, 200)

    def test_run_that_ends_while_the_hello_travels_frees_its_slot(self):
        self.start(controls=3, fronts=1, replicas=1, slots=1)
        self.kit.replicas[0].events = 25
        front, loop = self.kit.fronts[0], self.kit.loop
        self.kit.delay(0.4, source=front.name, kind="link")
        first = asyncio.run_coroutine_threadsafe(self.kit.stream(front, "/brief/one", "one"), loop.loop)
        while not self.kit.runs_of("one"):
            time.sleep(0.01)
        for path in self.kit.select_paths(source=front.name):
            loop.run(path.reset())
        self.assertEqual(first.result(10)[0], 200)
        end = time.time() + RECOVERY_S
        while front.log_text().count("event=leader_found") < 2:
            self.assertLess(time.time(), end, "the entry has no leader")
            time.sleep(0.02)
        time.sleep(1)   # what the entry sends with the link has arrived
        self.assertEqual(self.stream(front, "two")[0], 200)

    def start_with_request(self):
        """Starts a request that takes 4.4 s, with one free replica besides that which runs it."""
        self.start(controls=3, fronts=1, replicas=2, slots=1)
        for r in self.kit.replicas:
            r.events = 220
        self.first = asyncio.run_coroutine_threadsafe(
            self.kit.stream(self.kit.fronts[0], "/brief/one", "one"), self.kit.loop.loop)
        while not self.kit.runs_of("one"):
            time.sleep(0.01)

    def lose_replica_of_request(self):
        lost, = [r for r in self.kit.replicas if r.id == self.kit.runs_of("one")[0]["replica"]]
        lost.state = "gone"
        self.kit.loop.run(lost.stop())
        while len(self.kit.runs_of("one")) < 2:
            time.sleep(0.01)

    def wait_found(self, n):
        end = time.time() + RECOVERY_S
        while self.kit.fronts[0].log_text().count("event=leader_found") < n:
            self.assertLess(time.time(), end, "the entry has no leader")
            time.sleep(0.02)

    def check_request_holds_its_slot(self):
        time.sleep(1.2)   # what the entry sends with the link has arrived, and the list has been read
        self.assertEqual(len(self.kit.runs_of("one")), 2)
        self.assertIsNone(self.kit.runs_of("one")[1]["ended"])
        self.stream(self.kit.fronts[0], "two")
        self.assertEqual(self.first.result(10)[0], 200)
        ended = self.kit.runs_of("one")[1]["ended"]
        self.assertEqual([r for r in self.kit.runs_of("two") if r["at"] < ended], [])

    def test_request_that_moves_to_another_replica_while_the_hello_travels_holds_its_slot_there(self):
        self.start_with_request()
        self.kit.delay(0.4, source=self.kit.fronts[0].name, kind="link")
        for path in self.kit.select_paths(source=self.kit.fronts[0].name):
            self.kit.loop.run(path.reset())
        time.sleep(0.3)
        self.lose_replica_of_request()
        self.wait_found(2)
        self.check_request_holds_its_slot()

    def test_end_of_a_run_that_another_leader_was_told_of_does_not_end_the_next_run_of_its_request(self):
        self.start_with_request()
        for c in self.kit.controls:
            c.signal(signal.SIGSTOP)
        while "event=leader_lost" not in self.kit.fronts[0].log_text():
            time.sleep(0.01)
        time.sleep(0.2)     # the frozen leader has a hello
        self.lose_replica_of_request()
        for c in self.kit.controls:
            if c is not self.leader:
                c.signal(signal.SIGCONT)
        self.wait_found(2)
        self.check_request_holds_its_slot()
        self.leader.signal(signal.SIGCONT)

    def test_items_run_on_when_a_slow_link_is_made_again(self):
        self.start(controls=3, fronts=1, replicas=1)
        self.kit.replicas[0].events = 100
        front, loop = self.kit.fronts[0], self.kit.loop
        self.kit.delay(DELAY_S, source=front.name, kind="link")
        lot, items = self.kit.lot(3)
        self.assertEqual(loop.run(self.kit.open_lot(front, lot, items)), 202)
        while len(self.kit.runs) < 3:
            time.sleep(0.01)
        for path in self.kit.select_paths(source=front.name):
            loop.run(path.reset())
        self.assertEqual(len(loop.run(self.kit.read_whole(lot))), 3)
        self.assertEqual([r["end"] for r in self.kit.runs], ["done"] * 3)

    def wait(self, what, condition, s=8):
        end = time.time() + s
        while not condition():
            self.assertLess(time.time(), end, what)
            time.sleep(0.01)

    def test_second_run_of_an_item_stops_once_the_result_of_the_first_arrives(self):
        self.start(controls=3, fronts=2, replicas=2)
        loop, runs = self.kit.loop, self.kit.runs
        for r in self.kit.replicas:
            r.events = 130
        lot, items = self.kit.lot(1)
        self.assertEqual(loop.run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        self.wait("no run", lambda: runs)
        name = re.search(r"event=item_run .*\bentry=(\S+)", self.leader.log_text()).group(1)
        self.wait("the run doesn't go on", lambda: runs[0]["sent"] >= 85)
        paths = self.kit.select_paths(source=name)
        for path in paths:
            loop.run(path.close())
        self.wait("no second run", lambda: len(runs) > 1)
        self.assertEqual(runs[0]["end"], "done")
        for path in paths:
            loop.run(path.start())
        self.wait("the second run doesn't end", lambda: runs[1]["end"])
        self.assertEqual(runs[1]["end"], "left")
        self.assertEqual(len(loop.run(self.kit.read_whole(lot))), 1)


if __name__ == "__main__":
    unittest.main()
