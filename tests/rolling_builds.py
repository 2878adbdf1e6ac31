#!/usr/bin/env python3
"""Replaces the processes of a fleet one after the other by those of another build, under load.

    tests/rolling_builds.py COMMIT [--new BIN] [--seed S] [--builds DIR] [--onward]

Builds COMMIT of this repository's history in a git worktree (below DIR, kept there; else below a temporary folder) and
rolls control processes and fronts from it to BIN (build/bin) and back, in both orders of the roles, with turns half-way,
kill -9 of leaders of both builds, and a disk that refuses writes. Prints a line for each step and closes with
`N passed, N failed`; logs of a failed play are kept.
Guards against an upgrade that loses accepted lots or an acknowledged config, cuts streams, runs work twice, or in which one
build ends a link for a message of the other.
"""
import argparse
import asyncio
import collections
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time

import mixed_builds as mb
from mixed_builds import fl, pk, same, step

ROOT = pk.ROOT
LOT_S = 40.0        # a lot must be finished this long after its acceptance
REST_S = 2.0        # no link may be lost for this long while nothing is stopped
SERVED_MIN = 0.9    # of the requests at fronts that aren't being stopped
ITEM_ATTEMPTS = 3   # of the route in Kit.config
HAND_OVER_S = 0.5   # fronts know a new leader this long after its election
KEY = "ada-%08x" % random.SystemRandom().getrandbits(32)
LINK_LOST = ("event=leader_lost", "event=peer_lost")


class Load:
    """Callers, lots and readers of the config, until stop() is called; problems collects what callers may not see."""

    def __init__(self, fleet, headers):
        self.fleet, self.k, self.headers = fleet, fleet.k, headers
        self.problems, self.counts = [], collections.Counter()
        self.stopping = set()   # processes that are being replaced
        self.streams, self.lots, self.tasks, self.ended = [], {}, [], False

    def start(self):
        self.fleet.run(self.begin())

    async def begin(self):
        work = [self.callers() for _ in range(4)] + [self.lots_opened(), self.config_reads()]
        self.tasks = [asyncio.ensure_future(x) for x in work]

    async def stop(self):
        self.ended = True
        while self.tasks:
            await self.tasks.pop()

    async def callers(self):
        while not self.ended:
            rid, front = "%016x" % random.getrandbits(64), random.choice(self.k.fronts)
            route, before = random.choice(["brief", "alert"]), front in self.stopping
            s, h, b = await self.k.stream(front, "/%s/1" % route, rid, headers=self.headers)
            self.streams.append((route, rid, s, h, b, before or front in self.stopping))
            await asyncio.sleep(random.uniform(0, 0.1))

    async def lots_opened(self):
        while not self.ended:
            lot, items = self.k.lot(3)
            front = random.choice([f for f in self.k.fronts if f not in self.stopping])
            s = await self.k.open_lot(front, lot, items, self.headers)
            self.counts["lot %d" % s] += 1
            if s == 202:
                self.tasks.insert(0, asyncio.ensure_future(self.read(lot, [i["id"] for i in items])))
            await asyncio.sleep(0.5)

    async def read(self, lot, ids):
        """Reads an accepted lot at changing fronts until each item is listed."""
        end, results = time.time() + LOT_S, []
        while len(results) < len(ids):
            if time.time() > end:
                self.problems.append("lot %s: %d of %d items after %.0f s" % (lot, len(results), len(ids), LOT_S))
                return
            s, r = await self.k.read_lot(random.choice(self.k.fronts), lot, len(results), 1000, self.headers)
            if s == 200:
                results += r["results"]
            elif s == 404:
                self.problems.append("lot %s: not found after its acceptance" % lot)
            await asyncio.sleep(0.1)
        self.lots[lot] = (ids, results)

    async def config_reads(self):
        while not self.ended:
            acked = self.k.acked_version
            got = await self.k.get(random.choice(self.k.controls))
            self.counts["config read" if got else "config not read"] += 1
            if got and got["version"] < acked:
                self.problems.append("config %d read after %d was acknowledged" % (got["version"], acked))
            await asyncio.sleep(0.1)

    def check_item(self, item, runs):
        """An item that ran to its end runs again only if its end was reported to a leader that no longer led."""
        done = [r for r in runs if r["end"] == "done"]
        if not done or len(runs) > ITEM_ATTEMPTS:
            self.problems.append("%s: ends of its runs %s" % (item, [r["end"] for r in runs]))
        for r in runs:
            if done and r["at"] > done[0]["ended"]:
                self.counts["item run again"] += 1
                if not any(done[0]["ended"] - HAND_OVER_S < t < r["at"] for t in self.fleet.elections()):
                    self.problems.append("%s: ran again without a change of leader" % item)

    def check(self):
        """Streams are whole, nothing ran twice that may not, every accepted lot has each item once with its own text."""
        runs = collections.defaultdict(list)
        for r in self.k.runs:
            runs[r["id"]].append(r)
        tries = collections.Counter()
        for route, rid, s, h, b, stopping in self.streams:
            if h and s == 0:
                self.problems.append("%s: broken within the answer" % rid)
            if s == 200:
                self.k.check_stream(rid, b)
            if s in (429, 503) and runs[rid]:
                self.problems.append("%s: refused with %d, but it has run" % (rid, s))
            if s in (400, 401, 404):
                self.problems.append("%s: answered %d" % (rid, s))
            if len(runs[rid]) > (1 if route == "alert" else 2):
                self.problems.append("%s (%s): ran %d times" % (rid, route, len(runs[rid])))
            self.counts["stream %d%s" % (s, " (stopping)" if stopping else "")] += 1
            if not stopping:
                tries[s == 200] += 1
        for lot, (ids, results) in self.lots.items():
            got = {r["id"]: (r["state"], r.get("output")) for r in results}
            if len(results) != len(ids) or got != {i: ("completed", self.k.whole_text(i)) for i in ids}:
                self.problems.append("lot %s: %.300r" % (lot, results))
            for i in ids:
                self.check_item(i, runs[i])
        print("     %s; lots read whole: %d" % (", ".join("%s: %d" % x for x in sorted(self.counts.items())), len(self.lots)))
        same(self.problems[:5], [], "%d problems" % len(self.problems))
        served = tries[True] / max(1, sum(tries.values()))
        if served < SERVED_MIN:
            raise AssertionError("%.3f of the requests at fronts that run were served" % served)


class Rolling(mb.Fronts):
    def __init__(self, customers):
        super().__init__([mb.OLD] * 3, [mb.OLD] * 2)
        self.changes = {"tenants": [{"name": "ada", "apiKeys": [KEY]}]} if customers else {}
        self.headers = [("Authorization", "Bearer " + KEY)] if customers else []
        self.load = Load(self, self.headers)

    def start(self):
        self.k.up(**self.changes)
        self.leaders()
        self.load.start()

    def leader(self):
        name = self.leaders()[0]
        return next(p for p in self.controls if p.name == name)

    def elections(self):
        """Times at which a process became leader."""
        lines = [x for p in self.controls for x in p.log_text().splitlines()
                 if "event=role " in x and "role=leader" in x]
        return [int(re.match(r"t=(\d+)", x).group(1)) / 1000 for x in lines]

    def followers(self):
        lead = self.leader()
        return [p for p in self.controls if p is not lead]

    def shuffled_fronts(self):
        return random.sample(self.others, len(self.others))

    def served(self, front, path):
        """Returns once the front has served a request whole."""
        async def one():
            end = time.time() + fl.WAIT_S
            while time.time() < end:
                rid = "%016x" % random.getrandbits(64)
                s, _, b = await self.k.stream(front, path, rid, headers=self.headers if path[:6] != "/open/" else [])
                if s == 200:
                    return self.k.check_stream(rid, b)
                await asyncio.sleep(0.05)
            raise AssertionError("%s doesn't serve %s: %d" % (front.name, path, s))
        self.run(one())

    def config(self):
        """A new config, read back at each control process; each front serves its new route."""
        extra, k = "x%x" % random.getrandbits(32), self.k
        assert self.run(k.submit(extra=extra, **self.changes)), "no control process takes the config"
        for p in k.controls:
            same(self.run(k.read_config(p)), k.config(k.version, extra=extra, **self.changes), "config at " + p.name)
        for p in k.fronts:
            self.served(p, "/%s/1" % extra)
            if self.changes:
                self.served(p, "/open/1")

    def wait_up(self, p):
        """Returns once the process takes part again: a control process caught up, a front ready."""
        if p in self.controls:
            self.leaders()
        else:
            self.run(self.k.wait_ready([p], fl.WAIT_S))

    def roll(self, p, build, before_start=None):
        """A planned stop, then a start from the other build."""
        self.load.stopping.add(p)
        mb.end([p], signal.SIGTERM)
        same(p.p.returncode, 0, "exit status of " + p.name)
        if before_start:
            before_start(p)
        p.bin = build.folder
        p.start()
        self.wait_up(p)
        self.load.stopping.discard(p)
        self.config()

    def kill_leader(self):
        p = self.leader()
        mb.end([p], signal.SIGKILL)
        self.config_of_two(p)
        p.start()
        self.wait_up(p)
        self.config()

    def config_of_two(self, gone):
        """A config is accepted by the others and read back there."""
        k = self.k
        assert self.run(k.submit(**self.changes)), "no control process takes the config"
        for p in k.controls:
            if p is not gone:
                same(self.run(k.read_config(p, fl.WAIT_S)), k.config(k.version, **self.changes), "config at " + p.name)

    def snapshots(self):
        """Every process writes a snapshot that is newer than those it has."""
        def indexes():
            return {n: c["groups"][0]["snapshot"] for n, c in self.status().items()}
        before = indexes()
        for _ in range(mb.FILL_MOST):
            now = indexes()
            if len(now) == len(self.controls) and all(now[n] > before.get(n, 0) for n in now):
                return
            assert self.run(self.k.submit(extra="fill", **self.changes)), "no control process takes the config"
        raise AssertionError("no newer snapshots: %s, %s" % (before, indexes()))

    def links_hold(self):
        def lost():
            return {p.name: sum(p.log_text().count(e) for e in LINK_LOST) for p in self.procs}
        before = lost()
        time.sleep(REST_S)
        same(lost(), before, "links lost")

    def refused_write(self, p):
        """The disk of `p` refuses a write, then takes writes again."""
        p.fill_disk()
        begun = p.log_text().count("event=disk_failed")
        fl.wait_for("refused write", lambda: self.run(self.k.submit(**self.changes)) and
                    p.log_text().count("event=disk_failed") > begun)
        p.fill_disk(False)
        self.leaders()
        self.config()

    def tear(self, p):
        """Adds to the segment before the last what a write that failed half-way leaves behind its recorded end."""
        folder = os.path.join(self.data(p), "group-0")
        segments = sorted(n for n in os.listdir(folder) if n.startswith("log-"))
        assert len(segments) > 1, "no segment before the last"
        with open(os.path.join(folder, segments[-2]), "ab") as f:
            f.write(b"torn")

    def set_aside(self, p):
        """How many of its folders the process took for damaged; it joins again each time."""
        return p.log_text().count("event=replica_set_aside")

    def finish(self):
        self.run(self.load.stop())
        self.load.check()

    def logs(self):
        bad = [p.name for p in self.procs if "event=link_message_malformed" in p.log_text()]
        same(bad, [], "processes that took a message for malformed")


def roll_all(m, procs, build):
    for p in procs:
        step("  %s to the %s build" % (p.name, build.name), m.roll, p, build)


def leader_last(m):
    return step("  who leads", m.followers) + [m.leader()]


def onward(m):
    """Control processes, then fronts; kill -9 of a leader of each build."""
    old, new = mb.OLD, mb.NEW
    step("  snapshots by the old build", m.snapshots)
    order = leader_last(m)
    roll_all(m, order[:1], new)
    step("  links hold", m.links_hold)
    step("  kill -9 of the leader", m.kill_leader)
    step("  an old process leads", m.lead, order[2])
    roll_all(m, order[1:], new)
    step("  links hold", m.links_hold)
    step("  kill -9 of the leader", m.kill_leader)
    roll_all(m, m.shuffled_fronts(), new)
    step("  snapshots by the new build", m.snapshots)


def control_first(m):
    """Control processes, then fronts, onward and back; kill -9 of a leader of each build."""
    onward(m)
    step("  links hold", m.links_hold)
    roll_all(m, leader_last(m)[::-1], mb.OLD)
    step("  links hold", m.links_hold)
    roll_all(m, m.shuffled_fronts(), mb.OLD)


def fronts_first(m):
    """Fronts, then control processes with the leader first; turned round half-way; refused writes."""
    old, new = mb.OLD, mb.NEW
    fronts = m.shuffled_fronts()
    step("  snapshots by the old build", m.snapshots)
    roll_all(m, fronts[:1], new)
    step("  links hold", m.links_hold)
    roll_all(m, fronts[:1], old)
    roll_all(m, fronts, new)
    first, *others = leader_last(m)[::-1]
    roll_all(m, [first], new)
    step("  a new process leads old ones", m.lead, first)
    step("  links hold", m.links_hold)
    step("  kill -9 of the leader", m.kill_leader)
    roll_all(m, [others[0]], new)
    roll_all(m, [first, others[0]], old)
    roll_all(m, [others[0], first], new)
    step("  the old process leads new ones", m.lead, others[1])
    step("  disk of a new process refuses a write", m.refused_write, first)
    step("  links hold", m.links_hold)
    step("  it stops and starts on the new build after a torn write", m.roll, first, new, m.tear)
    step("  none of its folders was taken for damaged", lambda: same(m.set_aside(first), 0, "folders"))
    step("  its disk refuses a write again", m.refused_write, first)
    step("  to the old build after a torn write", m.roll, first, old, m.tear)
    print("     folders that the old build took for damaged: %d" % m.set_aside(first))
    roll_all(m, [first, others[1]], new)
    step("  snapshots by the new build", m.snapshots)


def play(how, customers):
    print(how.__doc__, flush=True)
    failed = mb.counts["failed"]
    m = Rolling(customers)
    try:
        step("  starts on the old build, takes config and load", m.start)
        how(m)
        step("  all hold, links hold", m.links_hold)
        step("  what callers saw", m.finish)
        step("  no message was malformed", m.logs)
        step("  no process ended by itself", m.none_ended)
    except mb.Stop:
        m.load.ended = True
    finally:
        if mb.counts["failed"] > failed:
            os.environ["AUBURN_KEEP"] = "1"
            print("     logs in %s" % m.k.dir)
        m.close()
        os.environ.pop("AUBURN_KEEP", None)


def build(commit, folder):
    """Builds a commit in a worktree below `folder`; returns the worktree."""
    tree = os.path.join(folder, commit)
    if not os.path.isdir(tree):
        subprocess.run(["git", "-C", ROOT, "worktree", "add", "--quiet", "--detach", tree, commit], check=True)
    subprocess.run(["make", "-C", tree, "-j3", "all"], check=True, stdout=subprocess.DEVNULL)
    return tree


def main():
    a = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    a.add_argument("commit")
    a.add_argument("--new", default=pk.BIN)
    a.add_argument("--seed", type=int, default=1)
    a.add_argument("--builds")
    a.add_argument("--onward", action="store_true",
                   help="don't go back: for a build that can't read the new one's snapshots")
    o = a.parse_args()
    random.seed(o.seed)
    with tempfile.TemporaryDirectory(prefix="auburn-rolling-") as scratch:
        tree = build(o.commit, os.path.abspath(o.builds or scratch))
        try:
            mb.set_builds(os.path.join(tree, "build/bin"), o.new)
            customers = os.path.exists(os.path.join(tree, "src/state/customers.c"))
            print("old = %s, new = %s, seed %d, customers: %s" % (o.commit, mb.NEW.folder, o.seed, customers), flush=True)
            if not os.path.exists(os.path.join(mb.OLD.folder, "auburn-front")):
                sys.exit("%s has no auburn-front" % o.commit)
            for how in (onward,) if o.onward else (control_first, fronts_first):
                play(how, customers)
        finally:
            if not o.builds:
                subprocess.run(["git", "-C", ROOT, "worktree", "remove", "--force", tree], check=True)
    print("%d passed, %d failed" % (mb.counts["passed"], mb.counts["failed"]))
    return 1 if mb.counts["failed"] or not mb.counts["passed"] else 0


if __name__ == "__main__":
    sys.exit(main())
