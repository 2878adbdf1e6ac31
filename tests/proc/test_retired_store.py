"""A control process that operators retire, and that loses its disk before it is removed.

Guards against state that is lost with a VM that was reported as empty: the process has a new replica id after the loss
of its disk, and an order that holds for the old id only lets it vote again.
"""
import json
import shutil
import signal
import time

from disk_kit import DiskTest

GRACE_S = 1.5       # replace_grace_ms of the kit
MARGIN_S = 2.0
PEERS_LINK_S = 3.5  # after this, a new leader says of a VM that it is unknown
KNOWN_S = 10        # an order is acknowledged, and a state is readable, within this time


class RetiredStore(DiskTest):
    kit_options = {"controls": 4, "fronts": 1}

    def setUp(self):
        super().setUp()
        self.leader = self.kit.leader()
        self.spare = self.kit.controls[3]      # three of the four vote
        self.retired, self.other = (c for c in self.kit.controls[:3] if c is not self.leader)

    def call(self, method, path, via, body=b""):
        """An operator's call, until one of these processes answers 200; returns the body."""
        end = time.time() + KNOWN_S
        while time.time() < end:
            for c in via:
                s, _, b = self.kit.loop.run(self.kit.call(c.ip, self.kit.port + 2, method, path, [], body, 1))
                if s == 200:
                    return b
            time.sleep(0.05)
        self.fail("%s %s: last answered with %d" % (method, path, s))

    def retire(self):
        self.call("POST", "/retire/%s/start" % self.retired.name, [self.leader], b'{"durationS":10}')

    def state(self, via):
        return json.loads(self.call("GET", "/retire/%s/get" % self.retired.name, via))["state"]

    def restart_empty(self, control):
        """The process loses its disk and starts again at its address, as the platform starts it then."""
        control.stop()
        control.exit_expected = True
        shutil.rmtree("%s/%s" % (self.kit.dir, control.name), ignore_errors=True)
        control.settings["bootstrap"] = False
        control.write_settings()
        since = time.time() * 1000
        control.start()
        self.wait_line(self.kit.leader(), "peer_linked", KNOWN_S, since, peer=control.name)

    def begun_replacements(self):
        """Addresses of the processes that the leader took for the next voter."""
        return [x["by"] for x in self.log_lines(self.leader, "voter_replacement_begun")]

    def test_retired_process_that_loses_its_disk_does_not_vote_again(self):
        self.retire()
        self.wait_line(self.leader, "voter_removed", KNOWN_S)
        self.restart_empty(self.retired)
        self.other.freeze()
        self.wait_line(self.leader, "voter_silent", GRACE_S + MARGIN_S)
        time.sleep(MARGIN_S)
        self.other.signal(signal.SIGCONT)
        self.assertEqual([x.split(":")[0] for x in self.begun_replacements()], [self.spare.ip])
        self.wait_line(self.leader, "peer_linked", KNOWN_S, peer=self.other.name)
        version = self.kit.loop.run(self.kit.submit())
        self.assertTrue(version)
        self.assertEqual(self.state([self.leader]), "completed")
        # The emptied process is removed with its disk; the group bears the loss of one more disk.
        self.retired.stop()
        self.retired.exit_expected = True
        self.restart_empty(self.spare)
        held = json.loads(self.call("GET", "/config/get", [self.leader, self.other, self.spare]))["version"]
        self.assertGreaterEqual(held, version)

    def test_order_is_acknowledged_again_after_the_disk_is_lost(self):
        self.retire()
        self.wait_line(self.leader, "voter_removed", KNOWN_S)
        self.restart_empty(self.retired)
        # A first order would be refused now, as too few would remain to vote.
        self.other.freeze()
        self.wait_line(self.leader, "voter_silent", GRACE_S + MARGIN_S)
        self.retire()
        self.assertEqual(self.state([self.leader]), "completed")

    def order(self, node):
        """The status of one order."""
        return self.kit.loop.run(self.kit.call(self.leader.ip, self.kit.port + 2, "POST", "/retire/%s/start" % node, [],
                                               b'{"durationS":10}', 3))[0]

    def test_order_for_a_vm_that_is_down_is_not_refused_for_good(self):
        """A leader knows the name of a VM by its link only."""
        time.sleep(PEERS_LINK_S)
        self.assertEqual(self.order("nobody"), 404)
        self.retired.stop()
        self.wait_line(self.leader, "peer_lost", KNOWN_S, peer=self.retired.name)
        self.assertEqual(self.order(self.retired.name), 503)
        self.retired.start()
        self.retire()
        self.assertEqual(self.order("nobody"), 404)

    def test_order_is_acknowledged_again_after_the_vm_is_removed(self):
        self.retire()
        self.wait_line(self.leader, "voter_removed", KNOWN_S)
        self.retired.stop()
        self.wait_line(self.leader, "peer_lost", KNOWN_S, peer=self.retired.name)
        time.sleep(PEERS_LINK_S)
        self.assertEqual(self.order(self.retired.name), 200)
        self.assertEqual(self.state([self.leader]), "completed")

    def test_new_leader_keeps_the_order_for_the_vm(self):
        self.retire()
        self.wait_line(self.leader, "voter_removed", KNOWN_S)
        self.restart_empty(self.retired)
        self.leader.stop()
        rest = [self.other, self.spare]
        self.assertEqual(self.state(rest), "completed")
        time.sleep(GRACE_S + MARGIN_S)
        for c in rest:
            self.assertEqual(self.log_lines(c, "voter_replacement_begun"), [])
        # With the former leader back there is a voter for each that the group should have.
        self.leader.start()
        self.assertTrue(self.kit.loop.run(self.kit.submit()))


if __name__ == "__main__":
    import unittest
    unittest.main()
