"""Acknowledged state survives lost VMs and disks, restarts and damage, as real processes."""
import json
import os
import shutil
import unittest

import fleet as fl


def lose_disk(proc):
    """kill -9, and its data folder is gone."""
    proc.kill()
    shutil.rmtree(proc.settings["data"])


def voters(f, group):
    """Addresses of the group's voters as its leader sees them, if each address answers under that voter's id
    and has what the leader has."""
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
    return all(voters(f, g) == sorted(addrs) for g in range(f.groups + 1))


class Acknowledged(unittest.TestCase):
    def check(self, f, kind):
        """Does one acknowledged thing; gives a function that checks it is still there."""
        key = "k-" + kind
        if kind == "request":
            status, _, body = f.complete(key, "a wire item", 6)
            self.assertEqual(status, 200)
            text = fl.sse_text(body)
            return lambda: fl.sse_text(f.complete(key, "a wire item", 6, entry=1)[2]) == text
        if kind == "call":
            h = fl.bearer(fl.CALLER_KEY, key)
            first = fl.call(f.addr(), "POST", "/v1/services/quotes/send", "{}", h)
            self.assertEqual(first[0], 200)
            return lambda: fl.call(f.addr(1), "POST", "/v1/services/quotes/send", "{}", h)[2] == first[2] and \
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
        with fl.Fleet(control={"replace_grace_ms": 60000}) as f:
            f.start()
            checks = {}
            for kind in ["request", "call", "job", "cancel", "config"]:
                fl.wait_for("three voters in each group", lambda: all_voting(f, f.control_addrs))
                checks[kind] = self.check(f, kind)
                leader = f.leader(0 if kind == "config" else 1)
                lose_disk(leader)
                for k, still in checks.items():
                    fl.wait_for("%s after the loss behind %s" % (k, kind), still)
                leader.start()
            fl.wait_for("three voters in each group", lambda: all_voting(f, f.control_addrs))

    def test_second_vm_lost_just_after_the_repair_of_a_first(self):
        with fl.Fleet(spares=1, control={"replace_grace_ms": 1500}) as f:
            f.start()
            checks = {k: self.check(f, k) for k in ["request", "job", "config"]}
            first = f.controls[0]
            lose_disk(first)
            want = f.control_addrs[1:] + f.spare_addrs
            fl.wait_for("the spare votes instead", lambda: all_voting(f, want))
            out = f.ctl("explain", "voter_replacement_begun")
            self.assertIn(f.spare_addrs[0], out)
            lose_disk(f.controls[1])
            for k, still in checks.items():
                fl.wait_for("%s after the second loss" % k, still)

    def test_all_controls_stop_and_start_again(self):
        with fl.Fleet() as f:
            f.start()
            checks = {k: self.check(f, k) for k in ["request", "call", "job", "cancel", "config"]}
            for c in f.controls:
                self.assertEqual(c.stop(), 0)
            for c in f.controls:
                c.start()
            for k, still in checks.items():
                fl.wait_for(k + " after the restart", still)
            for c in f.controls:
                c.kill()
            for c in f.controls:
                c.start()
            for k, still in checks.items():
                fl.wait_for(k + " after kill -9 of all", still)


def flip_byte(path, at):
    with open(path, "r+b") as f:
        f.seek(at)
        b = f.read(1)
        f.seek(at)
        f.write(bytes([b[0] ^ 0x40]))


class Damage(unittest.TestCase):
    def test_replica_with_a_flipped_byte_leaves_and_joins_again(self):
        with fl.Fleet(control={"replace_grace_ms": 60000}) as f:
            f.start()
            for i in range(20):
                self.assertEqual(f.complete("r%d" % i, "item", 2)[0], 200)
            victim = next(c for c in f.controls if c is not f.leader(1))
            victim.kill()
            folder = os.path.join(victim.settings["data"], "group-1")
            logs = sorted((os.path.getsize(os.path.join(folder, n)), n) for n in os.listdir(folder) if "log" in n)
            self.assertTrue(logs, os.listdir(folder))
            flip_byte(os.path.join(folder, logs[-1][1]), logs[-1][0] // 3)
            victim.start()
            fl.wait_for("damage told", lambda: victim.lines("event=replica_damaged"))
            self.assertIn(logs[-1][1], victim.lines("event=replica_damaged")[0])
            fl.wait_for("three voters in each group", lambda: all_voting(f, f.control_addrs))
            for i in range(20):
                status, headers, _ = f.complete("r%d" % i, "item", 2, entry=1)
                self.assertEqual((status, headers.get("X-Auburn-Replay")), (200, "1"))

    def test_full_disk_acknowledges_nothing_and_the_others_go_on(self):
        with fl.Fleet(control={"replace_grace_ms": 60000}) as f:
            f.controls[0].env["AUBURN_DISK_FAULT"] = "full_after_bytes=60000"
            f.start()
            big = "x" * 3000
            for i in range(40):
                status = fl.wait_for("answer %d" % i, lambda i=i: f.complete("d%d" % i, big, 2)[0] == 200)
            for i in range(40):
                r = fl.get_json(f.addr(1), "/v1/requests/d%d" % i, fl.bearer(fl.CALLER_KEY))
                self.assertEqual(r["state"], "done")


class Json(unittest.TestCase):
    def test_status_lists_every_process(self):
        with fl.Fleet() as f:
            f.start()
            s = json.loads(f.ctl("status", "--json"))
            self.assertEqual(len(s["controls"]), 3)
            self.assertEqual(len(s["entries"]), 3)


if __name__ == "__main__":
    unittest.main()
