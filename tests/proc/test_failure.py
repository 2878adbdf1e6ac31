"""Answers of a front to requests that no replica has answered: walks the table in docs/API.md.

Guards against 502 and 504 for a request that reached no replica, after which its caller may not repeat an unsafe
request, and against 503 for one that may have run.
"""
import os
import random
import re
import time
import unittest

from path_kit import Paths
from platform_kit import ROOT, Kit

NOT_RUN, MAY_HAVE_RUN = "no attempt may have run", "an attempt may have run"


def rows_of_api():
    """The table in docs/API.md: {(how the request ends, whether it may have run): status}."""
    with open(os.path.join(ROOT, "docs", "API.md")) as f:
        text = f.read()
    lines = re.search(r"\| how it ends \|.*?\n\n", text, re.S).group(0).strip().splitlines()
    cells = [[c.strip() for c in x.strip("|").split("|")] for x in lines]
    return {(row[0], column): int(s) for row in cells[2:] for column, s in zip(cells[0][1:], row[1:])}


class Answers(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(replicas=6, slots=1)
        self.addCleanup(self.kit.close)
        self.kit.up()
        self.paths = Paths(self.kit)
        self.addCleanup(self.paths.close)

    def send(self, path="/alert/1", wait_ms=2000):
        rid = "%016x" % random.getrandbits(64)
        status, headers, _ = self.kit.loop.run(self.kit.stream(self.kit.fronts[0], path, rid, wait_ms, timeout=6))
        if status == 503:
            self.assertGreater(float(headers["retry-after"]), 0)
            self.assertEqual(self.kit.runs_of(rid), [])
        return status

    def deadline_while_connecting(self):
        self.paths.darken()
        return self.send(wait_ms=150)

    def silence_timeout_while_connecting(self):
        """A resumable stream has a silence timeout, which is shorter than the connect timeout here."""
        self.paths.darken()
        return self.send("/brief/1", wait_ms=600)

    def deadline_of_a_silent_run(self):
        for r in self.kit.replicas:
            r.silent_after = 0
        return self.send(wait_ms=700)

    def connections_refused(self):
        self.paths.refuse()
        return self.send()

    def run_broken_off(self):
        for r in self.kit.replicas:
            r.break_after = 1
        return self.send()

    def no_replica_listed(self):
        for r in self.kit.replicas:
            r.state = "gone"
        self.wait_for_list()
        return self.send(wait_ms=300)

    def no_replica_listed_after_a_broken_run(self):
        """The only replica listed breaks off a resumable stream before its first event."""
        for r in self.kit.replicas:
            r.break_after, r.state = 1, "gone"
        self.kit.replicas[0].state = "ready"
        self.wait_for_list()
        return self.send("/brief/1", wait_ms=300)

    def wait_for_list(self):
        time.sleep(2.2)

    plays = {
        ("its deadline passes", NOT_RUN): [deadline_while_connecting, silence_timeout_while_connecting],
        ("its deadline passes", MAY_HAVE_RUN): [deadline_of_a_silent_run],
        ("its last attempt fails", NOT_RUN): [connections_refused],
        ("its last attempt fails", MAY_HAVE_RUN): [run_broken_off],
        ("it gets no slot", NOT_RUN): [no_replica_listed],
        ("it gets no slot", MAY_HAVE_RUN): [no_replica_listed_after_a_broken_run],
    }


def add_test(name, play, status):
    def test(self):
        self.assertEqual(play(self), status)
    setattr(Answers, "test_" + name, test)


class Table(unittest.TestCase):
    def test_each_row_is_played(self):
        self.assertEqual(set(rows_of_api()), set(Answers.plays))


for _row, _status in rows_of_api().items():
    for _play in Answers.plays.get(_row, []):
        add_test(_play.__name__, _play, _status)

if __name__ == "__main__":
    unittest.main()
