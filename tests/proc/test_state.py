"""Acknowledged state must survive lost VMs and disks, restarts, damaged files and full disks.

Guards against an acknowledgement that is sent before a majority has the change, against a repair that counts a new
voter before it has caught up, and against a process that serves damaged data.
"""
import json
import os
import shutil
import unittest

import fleet as fl


def lose_disk(proc):
    """Kills the process with SIGKILL and deletes its data directory."""
    proc.kill()
    shutil.rmtree(proc.settings["data"])


def voters(f, group):
    """Addresses of the group's voters according to its leader; None unless a process with that voter's id answers at
    each address and has all entries that the leader has committed."""
    status = f.control_status()
    replicas = {c["addr"]: c["groups"][group] for c in status.values() if c.get("groups")}
    for g in replicas.values():
        if not g["leader"]:
            continue
        peers = [p for p in g["peers"] if p["voter"]]
        if all(p["addr"] in replicas and replicas[p["addr"]]["id"] == p["id"] and
               replicas[p["addr"]]["last"] >= g["commit"] for p in peers):
            return sorted(p["addr"] for p in peers)
    return None


def all_voting(f, addrs):
    """Whether `addrs` are the voters of every group, and all of them have caught up."""
    return all(voters(f, g) == sorted(addrs) for g in range(f.groups + 1))


class Acknowledged(unittest.TestCase):
    def acknowledge(self, f, kind):
        """Has one change of this kind acknowledged; returns a function that checks that it is still in force."""
        key = "k-" + kind
        if kind == "request":
            status, _, body = f.complete(key, "a wire item", 6)
            self.assertEqual(status, 200)
            text = fl.sse_text(body)
            return lambda: fl.sse_text(f.complete(key, "a wire item", 6, entry=1)[2]) == text
        if kind == "call":
            headers = fl.bearer(fl.CALLER_KEY, key)
            first = fl.call(f.addr(), "POST", "/v1/services/quotes/send", "{}", headers)
            self.assertEqual(first[0], 200)
            return lambda: fl.call(f.addr(1), "POST", "/v1/services/quotes/send", "{}", headers)[2] == first[2] and \
                fl.get_json(f.plain[0].settings["listen"], "/runs")["keys"].get(key, 0) <= 1
        if kind == "job":
            self.assertEqual(f.submit_job(key, [{"prompt": "p%d" % i, "max_tokens": 4} for i in range(50)])[0], 202)
            return lambda: f.job(key)["count"] == 50
        if kind == "cancel":
            f.submit_job(key, [{"prompt": "p%d" % i, "max_tokens": 300} for i in range(300)])
            self.assertEqual(fl.call(f.addr(), "DELETE", "/v1/jobs/" + key, headers=fl.bearer(fl.CALLER_KEY))[0], 200)
            return lambda: f.job(key)["state"] == "cancelled"
        text = f.text + "\n# changed\n"
        self.assertEqual(f.submit(2, text)[0], 200)
        return lambda: fl.get_json(f.addr(1), "/v1/config", fl.bearer(fl.OPERATOR_KEY))["text"] == text

    def test_leader_lost_with_its_disk_after_each_acknowledgement(self):
        """The other two voters must have each change; the lost leader then rejoins from an empty disk."""
        with fl.Fleet(control={"replace_grace_ms": 60000}) as f:
            f.start()
            checks = {}
            for kind in ["request", "call", "job", "cancel", "config"]:
                fl.wait_for("three voters in each group", lambda: all_voting(f, f.control_addrs))
                checks[kind] = self.acknowledge(f, kind)
                leader = f.leader(0 if kind == "config" else 1)
                lose_disk(leader)
                for k, in_force in checks.items():
                    fl.wait_for("%s after the loss that followed %s" % (k, kind), in_force)
                leader.start()
            fl.wait_for("three voters in each group", lambda: all_voting(f, f.control_addrs))

    def test_second_vm_lost_just_after_the_repair_of_the_first(self):
        """A spare replaces the first; if it voted before it had the state, the second loss could lose the state."""
        with fl.Fleet(spares=1, control={"replace_grace_ms": 1500}) as f:
            f.start()
            checks = {k: self.acknowledge(f, k) for k in ["request", "job", "config"]}
            first = f.controls[0]
            lose_disk(first)
            want = f.control_addrs[1:] + f.spare_addrs
            fl.wait_for("the spare as a voter in each group", lambda: all_voting(f, want))
            out = f.ctl("explain", "voter_replacement_begun")
            self.assertIn(f.spare_addrs[0], out)
            lose_disk(f.controls[1])
            for k, in_force in checks.items():
                fl.wait_for("%s after the second loss" % k, in_force)

    def test_all_control_processes_restart(self):
        """First after a planned stop, then after SIGKILL of all at once."""
        with fl.Fleet() as f:
            f.start()
            checks = {k: self.acknowledge(f, k) for k in ["request", "call", "job", "cancel", "config"]}
            for c in f.controls:
                self.assertEqual(c.stop(), 0)
            for c in f.controls:
                c.start()
            for k, in_force in checks.items():
                fl.wait_for(k + " after the restart", in_force)
            for c in f.controls:
                c.kill()
            for c in f.controls:
                c.start()
            for k, in_force in checks.items():
                fl.wait_for(k + " after SIGKILL of all", in_force)


def flip_bit(path, at):
    """Inverts one bit of the byte at this offset."""
    with open(path, "r+b") as f:
        f.seek(at)
        b = f.read(1)
        f.seek(at)
        f.write(bytes([b[0] ^ 0x40]))


class Damage(unittest.TestCase):
    """A damaged log or a full disk of one control process must lose no request and must not stop the others."""

    def test_replica_with_a_flipped_bit_in_its_log_rejoins(self):
        """It must not vote with the damaged log, as it may have acknowledged entries that it can no longer read."""
        with fl.Fleet(control={"replace_grace_ms": 60000}) as f:
            f.start()
            for i in range(20):
                self.assertEqual(f.complete("r%d" % i, "item", 2)[0], 200)
            follower = next(c for c in f.controls if c is not f.leader(1))
            follower.kill()
            directory = os.path.join(follower.settings["data"], "group-1")
            logs = sorted((os.path.getsize(os.path.join(directory, n)), n) for n in os.listdir(directory) if "log" in n)
            self.assertTrue(logs, os.listdir(directory))
            flip_bit(os.path.join(directory, logs[-1][1]), logs[-1][0] // 3)
            follower.start()
            fl.wait_for("log line about the damage", lambda: follower.log_lines("event=replica_damaged"))
            self.assertIn(logs[-1][1], follower.log_lines("event=replica_damaged")[0])
            fl.wait_for("three voters in each group", lambda: all_voting(f, f.control_addrs))
            for i in range(20):
                status, headers, _ = f.complete("r%d" % i, "item", 2, entry=1)
                self.assertEqual((status, headers.get("X-Auburn-Replay")), (200, "1"))

    def test_full_disk_of_one_process_does_not_stop_the_others(self):
        """One disk is full after 60,000 bytes: its process must acknowledge nothing more, and the others go on."""
        with fl.Fleet(control={"replace_grace_ms": 60000}) as f:
            f.controls[0].env["AUBURN_DISK_FAULT"] = "full_after_bytes=60000"
            f.start()
            big = "x" * 3000
            for i in range(40):
                status = fl.wait_for("answer %d" % i, lambda i=i: f.complete("d%d" % i, big, 2)[0] == 200)
            for i in range(40):
                r = fl.get_json(f.addr(1), "/v1/requests/d%d" % i, fl.bearer(fl.CALLER_KEY))
                self.assertEqual(r["state"], "done")


class Status(unittest.TestCase):
    def test_status_lists_every_process(self):
        with fl.Fleet() as f:
            f.start()
            s = json.loads(f.ctl("status", "--json"))
            self.assertEqual(len(s["controls"]), 3)
            self.assertEqual(len(s["entries"]), 3)


if __name__ == "__main__":
    unittest.main()
