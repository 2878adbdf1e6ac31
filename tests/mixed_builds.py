#!/usr/bin/env python3
"""Shows that two builds work with each other's data folders, settings files and processes.

`tests/mixed_builds.py OLD_BIN NEW_BIN` takes two folders of programs, prints a line for each step and closes with
`N passed, N failed`. After a failed step the rest of its fleet isn't run. Stand-ins are started from OLD_BIN.
Guards against a change of names that also changed a stored or sent byte, a setting, a path or a field of JSON.
"""
import collections
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "proc"))
import fleet as fl  # noqa: E402
import platform_kit as pk  # noqa: E402

Build = collections.namedtuple("Build", "name folder")
OLD = NEW = None    # set by set_builds
LONG_TOKENS = 1000  # takes the stand-in of an engine 5 s or more
LONG_EVENTS = 300   # takes the platform's stand-in 6 s
STEERINGS = 40      # stops until the wanted process leads all groups; a kill moves a group there with chance 1/2
FILL_MOST = 400     # rounds until each group has a snapshot and cut its log
counts = {"passed": 0, "failed": 0}


def set_builds(old, new):
    """The folders of the two builds that all steps refer to."""
    global OLD, NEW
    OLD, NEW = (Build(n, os.path.abspath(x)) for n, x in (("old", old), ("new", new)))


class Stop(Exception):
    """A step failed; the rest of its fleet isn't run."""


def step(what, fn, *args):
    """Runs one step and prints a line for it; gives what fn gives."""
    begun = time.monotonic()
    try:
        got = fn(*args)
    except Exception as e:
        counts["failed"] += 1
        print("FAIL %s: %s: %s" % (what, type(e).__name__, " ".join(str(e).split())[:1500]), flush=True)
        raise Stop from e
    counts["passed"] += 1
    print("ok   %s (%.1f s)" % (what, time.monotonic() - begun), flush=True)
    return got


def same(got, want, what):
    if got != want:
        raise AssertionError("%s: %.600r instead of %.600r" % (what, got, want))


def end(procs, sig):
    for p in procs:
        p.p.send_signal(sig)
    for p in procs:
        p.p.wait(fl.WAIT_S)


def check_both(program, path, want):
    """Both builds end a check of the settings with the wanted status."""
    got = [subprocess.run([os.path.join(b.folder, program), "--config", path, "--check"], capture_output=True,
                          timeout=fl.WAIT_S).returncode for b in (OLD, NEW)]
    same(got, [want, want], "%s --check of %s" % (program, path))


class Mixed:
    """What the two kinds of fleet have in common; `others` are the entries or fronts."""

    def __init__(self, controls, others, ctl_path):
        self.controls, self.others, self.ctl_path = controls, others, ctl_path
        self.procs, self.stand_ins = controls + others, []

    def ctl(self, build, *args):
        p = subprocess.run([os.path.join(build.folder, "auburnctl"), "--config", self.ctl_path] + list(args),
                           capture_output=True, text=True, timeout=120)
        if p.returncode:
            raise ValueError("%s auburnctl %s: exit %d: %s" % (build.name, args, p.returncode, p.stderr + p.stdout))
        return p.stdout

    def status(self, build=None):
        return {c["name"]: c for c in json.loads(self.ctl(build or OLD, "status", "--json"))["controls"] if c.get("name")}

    def agreed(self, build=None):
        """Names of the groups' leaders once all processes are voters, agree on them and hold what is committed."""
        st, out = self.status(build), []
        if set(st) != {p.name for p in self.controls}:
            return None
        for g in zip(*[c["groups"] for c in st.values()]):
            lead = [x for x in g if x["leader"]]
            if len(lead) != 1 or any((x["leader_addr"], x["term"]) != (g[0]["leader_addr"], lead[0]["term"]) or
                                     x["last"] < lead[0]["commit"] for x in g):
                return None
            if {x["id"] for x in g} != {p["id"] for p in lead[0]["peers"] if p["voter"]}:
                return None
            out += [n for n, c in st.items() if lead[0] in c["groups"]]
        return out

    def leaders(self):
        return fl.wait_for("agreed leaders", self.agreed)

    def lead(self, want):
        """Stops other leaders, planned and by kill -9 in turn, until `want` leads every group."""
        for i in range(STEERINGS):
            other = next((p for p in self.controls if p is not want and p.name in self.leaders()), None)
            if not other:
                return
            end([other], signal.SIGKILL if i % 2 else signal.SIGTERM)
            same(other.p.returncode, -9 if i % 2 else 0, "exit status of " + other.name)
            other.start()
        raise AssertionError("%s doesn't lead after %d stops" % (want.name, STEERINGS))

    def hand_over(self, first):
        """A planned stop of the leader; the process comes back."""
        end([first], signal.SIGTERM)
        same(first.p.returncode, 0, "exit status of " + first.name)
        self.more()
        first.start()
        self.leaders()

    def cut_logs(self):
        """Every group of every process has a snapshot, and its log no longer begins at 1."""
        return all(g["snapshot"] > 0 and g["first"] > 1 for c in self.status().values() for g in c["groups"])

    def kill_all_and_start(self, build):
        """kill -9 of all, then the other build on the same folders and the same bytes of settings."""
        def files():
            out = []
            for p in self.procs:
                with open(p.path, "rb") as f:
                    out.append(f.read())
            return out
        end(self.procs, signal.SIGKILL)
        before = files()
        for p in self.procs:
            p.bin = build.folder
            p.start()
        same(files(), before, "settings files")
        self.ready()
        self.leaders()

    def join_empty(self, first):
        """A process that lost its disk takes the others' snapshots."""
        assert self.cut_logs(), "the others still have their logs from 1 on"
        shutil.rmtree(self.data(first))
        first.start()
        self.leaders()

    def settings(self):
        """Each file that the kit wrote, as it is and with an unknown key."""
        for program, path in [(p.program, p.path) for p in self.procs + self.stand_ins] + [("auburnctl", self.ctl_path)]:
            check_both(program, path, 0)
            with open(path) as f, tempfile.NamedTemporaryFile("w", suffix=".toml") as wrong:
                wrong.write("zoen = 1\n" + f.read())
                wrong.flush()
                check_both(program, wrong.name, 3)

    def none_ended(self):
        """All live, and each is of the build that was chosen for it, else nothing was shown."""
        same([p.name for p in self.procs if p.p.poll() is not None], [], "processes that ended by themselves")
        for p in self.procs:
            same(os.readlink("/proc/%d/exe" % p.p.pid), os.path.realpath(os.path.join(p.bin, p.program)), p.name)


class Entries(Mixed):
    """Control processes, entries, engines and a plain service."""

    def __init__(self, controls, others):
        self.f = f = fl.Fleet(controls=3, entries=2, groups=1, control={"snapshot_entries": 60})
        super().__init__(f.controls, f.entries, f.ctl_settings())
        self.close, self.ready, self.number = f.close, f.wait_sessions, 1
        self.stand_ins = [f.platform] + f.engines + f.plain
        for p in f.procs:
            p.bin = OLD.folder
        for p, b in zip(self.procs, controls + others):
            p.bin = b.folder

    def start(self):
        self.f.start()
        self.leaders()

    def data(self, p):
        return p.settings["data"]

    def ask(self, key, entry=0):
        """Text of a request that must be served in the end."""
        return fl.wait_for("answer to " + key, lambda: (lambda a: a[0] == 200 and fl.sse_text(a[2]))(
            self.f.complete(key, "item", 4, entry)))

    def record(self, key):
        return fl.get_json(self.f.addr(1), "/v1/requests/" + key, fl.bearer(fl.CALLER_KEY))

    def send(self, key):
        return fl.call(self.f.addr(), "POST", "/v1/services/quotes/send", "{}", fl.bearer(fl.CALLER_KEY, key))

    def job(self, name, short, long=0):
        items = [{"prompt": "%s %d" % (name, i), "max_tokens": 2 if i < short else LONG_TOKENS} for i in range(short + long)]
        fl.wait_for("acceptance of " + name, lambda: self.f.submit_job(name, items)[0] == 202)
        fl.wait_for("%d items of %s done" % (short, name), lambda: self.f.job(name)["done"] >= short)

    def results(self, job):
        s, _, b = fl.call(self.f.addr(1), "GET", "/v1/jobs/%s/results?first=0&max=1000" % job,
                          headers=fl.bearer(fl.CALLER_KEY))
        same(s, 200, "results of " + job)
        return [json.loads(x) for x in b.decode().splitlines()]

    def finished(self):
        return sum(fl.get_json(e.settings["listen"], "/v1/counts")["finished"] for e in self.f.engines)

    def text(self, number):
        return self.f.text + "\n# text %d\n" % number

    def config(self):
        """The next text; every live entry and control process must report it in force."""
        self.number += 1
        got = self.f.submit(self.number, self.text(self.number))
        same(got[0], 200, "submission of %d" % self.number)
        self.in_force()
        return got

    def in_force(self):
        self.f.wait_in_force(self.number)
        fl.wait_for("number %d at control processes" % self.number,
                    lambda: {x["conf_number"] for x in self.status().values()} == {self.number})

    def begin(self):
        """Has things acknowledged, some before the snapshots; gives checks that they are still there."""
        f = self.f
        texts = {"k%d" % i: self.ask("k%d" % i, i % 2) for i in range(10)}
        call = self.send("once")
        same(call[0], 200, "plain call")
        self.job("whole", 12)
        self.job("ended", 0, 30)
        fl.wait_for("cancellation", lambda: fl.call(f.addr(), "DELETE", "/v1/jobs/ended",
                                                    headers=fl.bearer(fl.CALLER_KEY))[0] == 200)
        for i in range(FILL_MOST):
            if self.cut_logs():
                break
            self.number += 1
            same(f.submit(self.number, self.text(self.number))[0], 200, "submission")
            self.ask("fill-%d" % i)
        assert self.cut_logs(), "no snapshots"
        texts["behind"] = self.ask("behind")
        answer, number = self.config(), self.number
        same(f.submit(number, self.text(number)), answer, "answer to a resend")
        self.job("half", 20, 20)
        before = {k: self.record(k) for k in list(texts) + ["once", "fill-0"]}
        jobs = {n: (f.job(n), self.results(n)) for n in ("whole", "ended", "half")}
        same(jobs["half"][0]["done"], 20, "items done")
        self.ran = self.finished()

        def configs():
            self.in_force()
            for n in (number, number - 1):
                got = fl.get_json(f.addr(1), "/v1/config?number=%d" % n, fl.bearer(fl.OPERATOR_KEY))
                same((got["number"], got["text"]), (n, self.text(n)), "config")
            same(f.submit(number, self.text(number)), answer, "answer to a resend")
            same(f.submit(number, self.text(0))[0], 409, "another text under the number")

        def requests():
            for k, r in before.items():
                same(self.record(k), r, k)
            for k, t in texts.items():
                s, h, b = f.complete(k, "item", 4, entry=1)
                same((s, h.get("X-Auburn-Replay"), fl.sse_text(b)), (200, "1", t), k)
            same(self.send("once")[2], call[2], "replay of a plain call")
            same(fl.get_json(f.plain[0].settings["listen"], "/runs")["keys"].get("once"), 1, "runs of a plain call")

        def all_jobs():
            j = fl.wait_for("end of the job", lambda: (lambda x: x if x["done"] == 40 else None)(f.job("half", 1)))
            same((j["count"], j["failed"], j["dropped"]), (40, 0, 0), "counts of half")
            same(self.results("half")[:20], jobs["half"][1][:20], "results of before")
            for n in ("whole", "ended"):
                same((f.job(n), self.results(n)), jobs[n], "job " + n)
            if self.ran is not None:  # before other requests are sent
                same(self.finished() - self.ran, 20, "streams that engines ended")
                self.ran = None

        return [("configs and their numbers", configs), ("requests by key", requests),
                ("jobs: done, cancelled, unfinished items finished once", all_jobs)]

    def more(self):
        """Request, plain call, job and config anew."""
        self.ready()
        name = "%x" % random.getrandbits(32)
        self.ask(name)
        fl.wait_for("plain call", lambda: self.send("call-" + name)[0] == 200)
        self.job(name, 8)
        self.config()

    def operate(self, build):
        name, path = "ctl-" + build.name, os.path.join(self.f.dir, "input")

        def with_file(content, *args):
            with open(path, "w") as f:
                f.write(content)
            return self.ctl(build, *args)
        assert fl.wait_for("agreed status", lambda: self.agreed(build)), "no leaders in its status"
        self.number += 1
        with_file(self.text(self.number), "config", "check", path)
        with_file(self.text(self.number), "config", "submit", path, "--number=%d" % self.number)
        self.in_force()
        assert "# text %d" % self.number in self.ctl(build, "config", "show"), "not the config in force"
        with_file('{"prompt":"x","max_tokens":2}\n', "job", "submit", path, "--service=sammandrag-llm", "--key=" + name,
                  "--wait")
        self.ctl(build, "request", "send", "--service=sammandrag-llm", "--prompt=x", "--max-tokens=2", "--key=r" + name)
        for args, holds in ((("job", "list"), name), (("job", "results", "half"), '"state":"done"'),
                            (("request", "show", "r" + name), "done"), (("explain", "r" + name), "r" + name)):
            assert holds in self.ctl(build, *args), "auburnctl %s doesn't tell %s" % (" ".join(args), holds)


class Fronts(Mixed):
    """Control processes and fronts before stand-ins of the users' platform."""

    def __init__(self, controls, others):
        names = ["control-%d" % i for i in range(3)] + ["front-%d" % i for i in range(2)]
        builds = dict(zip(names, [b.folder for b in controls + others]))
        self.k = k = pk.Kit(controls=3, fronts=2, replicas=3, slots=4, bin_of=builds.get)
        self.close, self.extra, self.lengths = k.close, None, {}
        for r in k.replicas:
            r.events_of = lambda run: self.lengths.get(run["id"], r.events)
        super().__init__(k.controls, k.fronts, os.path.join(k.dir, "ctl.settings"))
        with open(self.ctl_path, "w") as f:
            f.write(fl.toml({"entries": [k.list_addr], "controls": k.seeds}))

    def run(self, coro):
        return self.k.loop.run(coro, 120)

    def start(self):
        self.k.up()
        self.leaders()

    def ready(self):
        self.run(self.k.wait_ready(s=fl.WAIT_S))

    def data(self, p):
        return os.path.join(self.k.dir, p.name)

    def stream(self, front, path):
        """A stream that must be served in the end, whole."""
        def one():
            rid = "%016x" % random.getrandbits(64)
            s, _, b = self.run(self.k.stream(front, path, rid))
            return s == 200 and (self.k.check_stream(rid, b) or True)
        fl.wait_for("stream at " + front.name, one)

    def lot(self, short, long=0, events=LONG_EVENTS):
        """Id of a lot that was accepted, ids of its items once all have begun to run."""
        lot, items = self.k.lot(short + long)
        ids = [i["id"] for i in items]
        self.lengths.update({i: events for i in ids[short:]})
        fl.wait_for("acceptance", lambda: self.run(self.k.open_lot(self.k.fronts[0], lot, items)) == 202)
        fl.wait_for("items that run", lambda: all(self.k.runs_of(i) for i in ids))
        return lot, ids

    def read(self, lot):
        return fl.wait_for("lot " + lot, lambda: (lambda a: a if a[0] in (200, 404) else None)(
            self.run(self.k.read_lot(self.k.fronts[1], lot))))

    def lot_done(self, lot, ids, before=()):
        """All items are done, those in `before` with the same result, and each ran to its end once."""
        got = {r["id"]: r for r in self.run(self.k.read_whole(lot, fl.WAIT_S))}
        same(sorted(got), ids, "items listed")
        for r in before:
            same(got[r["id"]], r, "result of before")
        for i in ids:
            same((got[i]["state"], got[i]["output"]), ("completed", self.k.whole_text(i, self.lengths.get(i))), i)
        ends = {i: sum(r["end"] == "done" for r in self.k.runs_of(i)) for i in ids}
        same({i: n for i, n in ends.items() if n != 1}, {}, "items not run to their end once")

    def configs(self):
        """Every live control process gives the text back and every front serves its route."""
        k = self.k
        for p in k.controls:
            if p.p.poll() is None:
                fl.wait_for("text at " + p.name, lambda p=p: self.run(k.get(p)) == k.config(k.version, extra=self.extra))
        for p in k.fronts:
            self.stream(p, "/%s/1" % self.extra)

    def config(self):
        self.extra = "x%x" % random.getrandbits(32)
        assert self.run(self.k.submit(extra=self.extra)), "no control process takes the config"
        self.configs()

    def begin(self):
        """Has things acknowledged, some before the snapshot; gives checks that they are still there."""
        k = self.k
        whole = self.lot(6)
        self.lot_done(*whole)
        gone = self.lot(0, 6, 2000)
        fl.wait_for("end of a lot", lambda: self.run(k.end_lot(k.fronts[1], gone[0])) == 200)
        for _ in range(FILL_MOST):
            if self.cut_logs():
                break
            assert self.run(k.submit(extra="fill")), "no control process takes the config"
        assert self.cut_logs(), "no snapshot"
        self.config()
        same(self.run(k.put(k.controls[1], k.config(k.version, extra=self.extra))), 200, "resend of the config")
        half = self.lot(8, 12)
        fl.wait_for("results", lambda: len(self.read(half[0])[1]["results"]) >= 8)
        lots = {x[0]: self.read(x[0]) for x in (whole, gone, half)}
        done = lots[half[0]][1]["results"]
        same(len(done), 8, "items done")
        runs = {i: len(k.runs_of(i)) for i in whole[1] + gone[1]}

        def all_lots():
            self.lot_done(*half, done)
            for x in (whole, gone):
                same(self.read(x[0]), lots[x[0]], "lot")
            same({i: len(k.runs_of(i)) for i in runs}, runs, "runs of what was done or cancelled")

        return [("config and its number", self.configs),
                ("lots: done, cancelled, unfinished items finished once", all_lots)]

    def more(self):
        """Streams, lot and config anew."""
        self.ready()
        for p in self.k.fronts:
            self.stream(p, "/brief/1")
        self.lot_done(*self.lot(6))
        self.config()

    def operate(self, build):
        assert fl.wait_for("agreed status", lambda: self.agreed(build)), "no leaders in its status"


def data(kind, writer, reader):
    """What one build acknowledged and kept is read back by the other after kill -9 of all."""
    m = kind([writer] * 3, [writer] * 2)
    try:
        step("  starts and takes the config", m.start)
        step("  settings files pass --check of both builds", m.settings)
        checks = step("  %s build acknowledges, before and behind a snapshot" % writer.name, m.begin)
        step("  kill -9 of all, %s build starts on its folders" % reader.name, m.kill_all_and_start, reader)
        for what, fn in checks:
            step("  " + what, fn)
        step("  works on", m.more)
        step("  no process ended by itself", m.none_ended)
    finally:
        m.close()


def beside(kind, controls, others):
    """One fleet of both builds; controls[0] leads, is killed, and joins again with an empty disk."""
    m = kind(controls, others)
    first = m.controls[0]
    try:
        step("  starts and takes the config", m.start)
        step("  %s process leads" % controls[0].name, m.lead, first)
        checks = step("  requests, jobs or lots, config", m.begin)
        step("  kill -9 of the leader", end, [first], signal.SIGKILL)
        for what, fn in checks:
            step("  " + what, fn)
        step("  works on without it", m.more)
        step("  it joins with an empty disk and takes the others' snapshots", m.join_empty, first)
        step("  it leads again", m.lead, first)
        for what, fn in checks:
            step("  " + what, fn)
        step("  works on", m.more)
        step("  a planned stop of it hands over", m.hand_over, first)
        for b in (OLD, NEW):
            step("  %s auburnctl" % b.name, m.operate, b)
        step("  no process ended by itself", m.none_ended)
    finally:
        m.close()


def templates():
    """Templates that operators have already, and settings that are wrong."""
    values = {"node": "n-1", "zone": "se-mid-a", "ip": "10.0.0.1", "portRange": {"0": 7100, "1": 7101},
              "seeds": ["10.0.0.1:7100"], "dataDir": "/tmp/nowhere", "cloud": {"addr": "10.0.0.9:80"},
              "listen": {"control": "10.0.0.1:7200", "directory": "10.0.0.1:7201", "front": "10.0.0.1:7202",
                         "ready": "10.0.0.1:7203"}, "tolerate": {"machines": 1}, "bootstrap": True,
              "limits": {"memoryMb": 512}, "bounds": {"graceS": 8}}

    def value(m):
        v = values
        for k in m.group(1).split("."):
            v = v[k]
        return json.dumps(v) if m.group(2) else str(v)

    def section(m):
        """The content of a section, if the platform gives its value."""
        v = values
        for k in m.group(1).split("."):
            v = v.get(k, {})
        return m.group(2) if v else ""

    with tempfile.TemporaryDirectory() as d:
        for role in ("control", "front"):
            with open(os.path.join(pk.ROOT, "deploy", role + ".tmpl")) as f:
                good = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, f.read(), flags=re.S)
            good = re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, good)
            for what, content, want in (("passes", good, 0), ("with an unknown key is refused by", "zoen = 1\n" + good, 3),
                                        ("with a wrong type is refused by", good.replace("name = ", "name = 1 #"), 3)):
                path = os.path.join(d, "settings.toml")
                with open(path, "w") as f:
                    f.write(content)
                step("  %s.tmpl %s --check of both builds" % (role, what), check_both, "auburn-" + role, path, want)


def run(title, fn, *args):
    print(title, flush=True)
    try:
        fn(*args)
    except Stop:
        pass


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    set_builds(*sys.argv[1:])
    print("old = %s, new = %s" % (OLD.folder, NEW.folder))
    run("Templates of settings", templates)
    kinds = ((Entries, "entries"), (Fronts, "fronts"))
    for x, y in ((OLD, NEW), (NEW, OLD)):
        for kind, what in kinds:
            run("Data, control and %s: %s writes, %s reads" % (what, x.name, y.name), data, kind, x, y)
            run("Beside, control and %s: %s leader, %s followers, %s of both" % (what, x.name, y.name, what),
                beside, kind, [x, y, y], [x, y])
            run("Beside, control and %s: %s %s, %s control processes" % (what, x.name, what, y.name),
                beside, kind, [y] * 3, [x] * 2)
    print("%d passed, %d failed" % (counts["passed"], counts["failed"]))
    return 1 if counts["failed"] or not counts["passed"] else 0


if __name__ == "__main__":
    sys.exit(main())
