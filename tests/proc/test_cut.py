"""Control processes that are partitioned or frozen for longer than all leases, and entries that lose their lease.

Guards against a split brain: a leader that can't reach its followers but goes on serving, and that replaces newer state
or forces elections when it returns. Links are cut silently: connections stay open but no bytes pass.
"""
import unittest

import fleet as fl

LEASE_S = 2


def max_term(f):
    return max(g["term"] for c in f.control_status().values() for g in c.get("groups", []) if g["group"] == 0)


def numbers(f):
    return [f.status(i)["conf_number"] for i in range(len(f.entries))]


class Partition(unittest.TestCase):
    def index_of_leader(self, f):
        leader = fl.wait_for("a leader", f.leader)
        return f.controls.index(leader)

    def submit_change(self, f, number):
        """Submits a changed config through entry 0; returns its text."""
        text = f.text + "\n# number %d\n" % number
        self.assertEqual(f.submit(number, text)[0], 200)
        return text

    def test_leader_partitioned_for_longer_than_all_leases(self):
        with fl.Fleet(entries=3) as f:
            f.route_controls()
            f.start()
            cut = self.index_of_leader(f)
            name = f.controls[cut].name
            term = max_term(f)
            f.cut(name)
            text = self.submit_change(f, 2)
            f.wait_in_force(2)
            # The minority side: an entry that reaches only the partitioned leader must refuse everything.
            alone = f.make_entry(7, {"controls": [f.controls[cut].settings["listen"]]})
            alone.start()
            addr = alone.settings["listen"]
            fl.wait_for("start of the entry", lambda: fl.call(addr, "GET", "/healthz")[0] == 200)
            f.procs.append(alone)
            status, headers, body = fl.call(addr, "POST", "/v1/completions",
                                            '{"model":"sammandrag-llm","prompt":"x","max_tokens":2}',
                                            fl.bearer(fl.CALLER_KEY, "cut-1"))
            self.assertEqual(status, 503, body)
            self.assertIn(b'"not_run"', body)
            self.assertIn("Retry-After", headers)
            status, _, body = fl.call(addr, "PUT", "/v1/config?number=3", f.text, fl.bearer(fl.OPERATOR_KEY))
            self.assertEqual(status, 503, body)
            status, _, body = fl.call(addr, "GET", "/v1/config", headers=fl.bearer(fl.OPERATOR_KEY))
            self.assertEqual(status, 503, body)
            # The majority side goes on under another leader; the partition lasts longer than all leases.
            for n in range(3, 8):
                text = self.submit_change(f, n)
            before = max_term(f)
            f.heal(name)
            fl.wait_for("catch-up of the partitioned process", lambda: all(
                c["conf_number"] == 7 for c in f.control_status().values()) and len(f.control_status()) == 3)
            self.assertLessEqual(max_term(f), before + 1)
            self.assertLessEqual(before, term + 3)
            f.wait_in_force(7)
            self.assertEqual(numbers(f), [7, 7, 7])
            self.assertEqual(fl.get_json(f.addr(1), "/v1/config", fl.bearer(fl.OPERATOR_KEY))["text"], text)

    def test_leader_that_entries_cannot_reach_is_reached_through_its_followers(self):
        """The followers receive its heartbeats and elect no other, so they must forward the entries' requests."""
        with fl.Fleet(entries=2) as f:
            f.route_controls()
            f.start()
            leader = f.controls[self.index_of_leader(f)].name
            f.set_link(None, leader, "cut")
            self.submit_change(f, 2)
            f.wait_in_force(2)
            for i in range(5):
                fl.wait_for("completion", lambda i=i: f.complete("past-%d" % i, "x", 4, entry=i % 2)[0] == 200)
            self.assertGreater(max(s["lease_left_ms"] for s in (f.status(0), f.status(1))), 0)
            f.set_link(None, leader, "pass")
            self.assertEqual(f.complete("healed", "x", 4)[0], 200)

    def test_leader_frozen_for_longer_than_its_lease_then_continues(self):
        """The process continues as if no time had passed; it must not serve reads or writes by its old lease."""
        with fl.Fleet() as f:
            f.start()
            leader = f.controls[self.index_of_leader(f)]
            term = max_term(f)
            leader.freeze()
            for n in range(2, 6):
                text = self.submit_change(f, n)
            f.wait_in_force(5)
            self.assertEqual(f.complete("during", "x", 4)[0], 200)
            leader.thaw()
            for i in range(3):
                self.assertEqual(fl.get_json(f.addr(i), "/v1/config", fl.bearer(fl.OPERATOR_KEY))["text"], text)
            fl.wait_for("catch-up of the frozen process", lambda: [
                c["conf_number"] for c in f.control_status().values()] == [5, 5, 5])
            f.wait_in_force(5)
            self.assertEqual(numbers(f), [5, 5, 5])
            self.assertLessEqual(max_term(f), term + 4)
            self.assertEqual(f.complete("after", "x", 4)[0], 200)

    def test_entry_without_a_lease_accepts_no_new_work(self):
        """Other entries take over its replicas, so work that it still accepted would run beside theirs."""
        with fl.Fleet(entries=2) as f:
            relays = [f.start_relay("er%d" % i, f.net + "%d:7200" % (230 + i), a)
                      for i, a in enumerate(f.control_addrs)]
            f.entries[1].settings["controls"] = [r.settings["listen"] for r in relays]
            f.start()
            self.assertEqual(f.complete("a", "x", 2, entry=1)[0], 200)
            for r in relays:
                f.set_relay_mode(r, "cut")
            status, headers, body = fl.wait_for("refusal without a lease", lambda: (
                lambda a: a if a[0] == 503 and f.addr(0) in a[1].get("X-Auburn-Addresses", "") else None)(
                    f.complete("b", "x", 2, entry=1)))
            self.assertIn(b'"not_run"', body)
            self.assertIn("Retry-After", headers)
            fl.wait_for("takeover of its replicas by the other entry", lambda: all(
                u["owned_here"] for u in f.status(0)["upstreams"] if u["service"] == "sammandrag-llm"))
            self.assertEqual(f.submit(2, f.text + "\n# two\n")[0], 200)
            for r in relays:
                f.set_relay_mode(r, "pass")
            fl.wait_for("config 2", lambda: f.status(1)["conf_number"] == 2)
            fl.wait_for("completion", lambda: f.complete("b", "x", 2, entry=1)[0] == 200)


if __name__ == "__main__":
    unittest.main()
