#!/usr/bin/env python3
"""`make bench`: measures the dispatch policy on real processes, with the same seeds for all variants.

3 control processes, 6 entries, 18 fake engines; online requests arrive as a Poisson process, batch jobs fill the
remaining slots. Prints one line per variant and load:
  way=... preempt=... keep=... weight=... load=... online_p99_ms=... harm=... idle_used=... goodput=...
way: how entries dispatch. owner: each replica has one owner, to which the other entries forward. alone: each entry
uses every replica, by the engines' load reports; alone_cancel: the same, and online cancels batch. split: each entry
uses its share of every replica's slots.
preempt: batch streams give way to online requests never (none), by a restart (cancel), or by a resume after their last
token (resume). keep: slots that batch leaves free for online requests: a fixed number (kept=), or the recent peak of
arrivals times the weight (peak). weight: the config's latency_weight; 0 favors throughput, 1 online latency.
The prefill of an admitted prompt lengthens one step, by 10 ms. engine=step: nothing else, so the first token comes
after one or two steps, which shows best how steps get longer with more streams. engine=late: in addition, the first
token comes no earlier than 450 ms after admission, as with a long prefill that delays no step.
harm: online first-token p99 with batch, divided by that of the same seed and load without batch.
idle_used: share of the slot time left by online requests in which batch ran.
direct_p99_ms: first-token p99 of requests that needed no resend; auburn-bench resends after 3 s of silence.
case=hop: time of a one-token request at the entry that owns the replica and at one that forwards to it.
With several seeds a figure is the median, followed by minimum and maximum in brackets; counts (sent=, ok=, ...) are
sums.

--quick: fewer cases, one seed.  --only WORD: cases whose name contains WORD.  --seeds N.  --seconds S.
"""
import argparse
import http.client
import json
import os
import statistics
import subprocess
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "proc"))
import fleet as fl  # noqa: E402

ENTRIES, ENGINES, SLOTS = 6, 18, 8
ENGINE = {"slots": SLOTS, "step_base_us": 30000, "step_per_stream_us": 1500, "prefill_us_per_token": 100,
          "report_lag_ms": 500}
MAX_TOKENS = 40
PROMPT_BYTES = 400
LATE_MS = 450  # least time to the first token with engine=late
STEADY_RATE = {"step": 40.0, "late": 29.0}  # about 45% of the slots
FULL_RATE = {"step": 80.0, "late": 62.0}  # about all of the slots
WARMUP_S = 3
GOAL_MS = {"step": 1000, "late": 1500}
SAMPLE_S = 0.25
SETTLE_S = 1.5
HOP_REQUESTS, HOP_WARMUP = 2000, 200

CONFIG = """\
retention_s = 3600
address_ttl_s = 2

[[service]]
name = "sammandrag-llm"
kind = "engine"
latency_weight = %s
kept_slots = %d
slots = 8
stall_ms = 2000
online_deadline_ms = 10000
step_bound_ms = 60
checks_fencing = true
"""

LOADS = ("steady", "burst", "gaps")


def load_args(name, engine):
    rate = STEADY_RATE[engine]
    return {"steady": ["--rate", str(rate)],
            "burst": ["--rate", str(rate / 2), "--burst", "x5:every 5:for 1"],
            "gaps": ["--rate", str(rate), "--gap", "every 6:for 3"]}[name]


class Case:
    """One variant of the policy under one load."""

    def __init__(self, name, way="owner", preempt="resume", keep="fixed", weight=0.5, load="steady", batch=True,
                 seeds=1, fault=None, times=0, engine="late", exact=False, reserved_slots=0):
        self.name, self.way, self.preempt, self.keep = name, way, preempt, keep
        self.weight, self.load, self.batch, self.seeds = weight, load, batch, seeds
        self.fault, self.times, self.engine = fault, times, engine
        self.reserved_slots = reserved_slots  # the config's kept_slots, printed as kept=
        self.exact = exact  # wait for the jobs to end, so that tokens generated twice can be counted

    def settings(self):
        """Settings that are fixed when a fleet starts; cases with equal settings share a fleet."""
        return (self.way, self.preempt, self.keep, self.engine)

    def args(self):
        """Load arguments of auburn-bench; a multiple of the full rate (`times`) is sent with a deadline."""
        if not self.times:
            return load_args(self.load, self.engine)
        return ["--rate", str(self.times * FULL_RATE[self.engine]), "--deadline-ms", str(GOAL_MS[self.engine])]

    def label(self):
        return "way=%s preempt=%s keep=%s kept=%d weight=%s engine=%s load=%s batch=%d fault=%s" % (
            self.way, self.preempt, self.keep, self.reserved_slots, self.weight, self.engine,
            "x%g" % self.times if self.times else self.load, self.batch, self.fault or "none")


def weight_cases(engine, loads, seeds):
    """For each load: a baseline without batch, then batch with each latency weight."""
    out = []
    for load in loads:
        load_seeds = seeds if load == "steady" else 1
        out.append(Case("base-%s-%s" % (load, engine), load=load, batch=False, seeds=load_seeds, engine=engine))
        for w in (0, 0.5, 1) if load == "steady" and engine == "late" else (0, 1):
            out.append(Case("owner-%s-%s-%s" % (w, load, engine), weight=w, load=load, seeds=load_seeds, engine=engine))
    return out


def cases(quick, seeds):
    out = weight_cases("late", LOADS[:1] if quick else LOADS, seeds)
    if quick:
        return [c for c in out if c.weight != 0.5 or not c.batch] + [Case("alone-steady-late", way="alone")]
    out += [Case("keep-peak-steady", keep="peak", weight=1, seeds=seeds),
            Case("keep-peak-burst", keep="peak", weight=1, load="burst"),
            Case("keep-fixed-1", reserved_slots=1, weight=1),
            Case("preempt-none", preempt="none"), Case("preempt-cancel", preempt="cancel"),
            Case("alone-steady", way="alone", seeds=seeds), Case("alone-burst", way="alone", load="burst"),
            Case("alone_cancel", way="alone_cancel"), Case("split", way="split")]
    out += [Case("lost-" + p, preempt=p, exact=True) for p in ("resume", "cancel")]
    out += weight_cases("step", LOADS[:1], 1)
    out += [Case("overload-x1", weight=1, times=1), Case("overload-x2", weight=1, times=2)]
    out += [Case("fault-" + f, weight=1, fault=f) for f in ("stall", "replica_dies", "kill_entry", "freeze_entry")]
    return out


class Sampler(threading.Thread):
    """Samples the numbers of streams that the entries run, during a load."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.samples, self.active = fleet, [], threading.Event()
        self.active.set()

    def run(self):
        while self.active.is_set():
            at = time.monotonic()
            counts = [self.running(i) for i, e in enumerate(self.fleet.entries) if e.alive()]
            self.samples.append((at, sum(o for o, _ in counts), sum(b for _, b in counts)))
            time.sleep(SAMPLE_S)

    def running(self, i):
        """Returns the numbers of online and batch streams that entry i runs."""
        try:
            status, _, body = fl.call(self.fleet.addr(i), "GET", "/v1/status", None, fl.bearer(fl.OPERATOR_KEY), 1)
            ups = json.loads(body)["upstreams"] if status == 200 else []
        except (OSError, ValueError, KeyError, http.client.HTTPException):
            return 0, 0
        return sum(u["running_online"] for u in ups), sum(u["running_batch"] for u in ups)

    def idle_used(self, start, seconds):
        """Returns the share of the slots left by online streams in which batch streams ran."""
        counted = [(o, b) for at, o, b in self.samples if start + WARMUP_S <= at <= start + WARMUP_S + seconds]
        idle = [max(0, ENGINES * SLOTS - o) for o, _ in counted]
        # Without owners, the batch streams also include those queued at the engines.
        batch_running = [min(i, b) for i, (_, b) in zip(idle, counted)]
        return sum(batch_running) / sum(idle) if sum(idle) else 0


class TokenCounter:
    """Counts the tokens that the engines generated, at the start and at the end of the online load."""

    def __init__(self, fleet, seconds):
        self.fleet, self.at_end = fleet, None
        self.at_start = self.read()
        self.timer = threading.Timer(seconds, self.read_at_end)
        self.timer.daemon = True
        self.timer.start()

    def read(self):
        return sum(fl.get_json(e.settings["listen"], "/v1/counts")["tokens"] for e in self.fleet.engines)

    def read_at_end(self):
        self.at_end = self.read()

    def lost(self, online, items):
        """Returns the tokens generated beyond those requested, as a share of the batch tokens generated during the
        online load."""
        during_online = self.at_end - self.at_start - online
        return (self.read() - self.at_start - online - items) / max(1, during_online)


def metric(fleet, name):
    """Returns the sum of a counter over the entries that answer."""
    total = 0
    for i, e in enumerate(fleet.entries):
        if not e.alive():
            continue
        try:
            text = fl.call(fleet.addr(i), "GET", "/metrics", timeout=2)[2].decode()
        except OSError:
            continue
        total += sum(float(x.split()[-1]) for x in text.splitlines() if x.startswith(name + " "))
    return total


def set_fault(engine, fault):
    status, _, body = fl.call(engine.settings["listen"], "POST", "/fault", json.dumps(fault))
    assert status == 200, body


def inject_fault(fleet, kind, seconds):
    """Injects the fault after a quarter of the run. replica_dies kills and restarts one replica after another."""
    time.sleep(WARMUP_S + seconds / 4)
    if kind == "kill_entry":
        fleet.entries[-1].kill()
    elif kind == "freeze_entry":
        fleet.entries[-1].freeze()
    elif kind == "stall":
        set_fault(fleet.engines[0], {"stall": 1000})
    elif kind == "replica_dies":
        for e in fleet.engines[:int(seconds / 4)]:
            e.kill()
            time.sleep(2)
            e.start()
            fl.wait_for("engine", lambda e=e: set_fault(e, {"late_ms": LATE_MS}) is None)
            time.sleep(1)


def parse(line):
    return dict(w.split("=", 1) for w in line.split() if "=" in w)


def load(fleet, case, seed, seconds):
    """Runs auburn-bench; returns the key=value pairs of its lines by phase."""
    argv = [os.path.join(fl.BIN, "auburn-bench"), "--addresses", ",".join(fleet.addr(i) for i in range(ENTRIES)),
            "--key", fl.CALLER_KEY, "--service", "sammandrag-llm", "--seconds", str(seconds + WARMUP_S),
            "--warmup", "0" if case.exact else str(WARMUP_S), "--seed", str(seed), "--prompt-bytes", str(PROMPT_BYTES),
            "--max-tokens", str(MAX_TOKENS), "--job-tokens", str(MAX_TOKENS), "--goal-ms", str(GOAL_MS[case.engine])]
    argv += case.args() + ["--run", "%s-%x" % (case.name, int(time.time()))]
    if case.batch:
        argv += ["--job-items", "100", "--jobs", "6" if case.exact else "16", "--job-key", fl.CALLER2_KEY]
    if case.exact:
        argv += ["--job-wait-ms", "60000"]
    if os.environ.get("BENCH_VERBOSE"):
        argv.append("-v")
    p = subprocess.run(argv, stdout=subprocess.PIPE, text=True, timeout=seconds + 120)
    return {parse(x)["phase"]: parse(x) for x in p.stdout.splitlines() if x.startswith("phase=")}


def measure(fleet, case, seed, seconds):
    sampler, start = Sampler(fleet), time.monotonic()
    sampler.start()
    if case.fault:
        threading.Thread(target=inject_fault, args=(fleet, case.fault, seconds), daemon=True).start()
    before = metric(fleet, "auburn_preempted_total")
    tokens = TokenCounter(fleet, seconds + WARMUP_S) if case.exact else None
    phases = load(fleet, case, seed, seconds)
    sampler.active.clear()
    sampler.join()
    out = {k: float(v) for k, v in phases["all"].items() if k != "phase"}
    for k, v in phases.get("burst", {}).items():
        if k.startswith("first_"):
            out["burst_" + k] = float(v)
    out["idle_used"] = sampler.idle_used(start, seconds)
    out["items_per_s"] = float(phases.get("batch", {}).get("items_per_s", 0))
    out["not_adding_up"] = float(phases.get("batch", {}).get("not_adding_up", 0))
    if tokens and phases["batch"]["finished"] == phases["batch"]["jobs"]:
        out["lost"] = tokens.lost(out["tokens"], float(phases["batch"]["item_tokens"]))
    out["preempted"] = metric(fleet, "auburn_preempted_total") - before
    return out


def format_figures(values, digits=2):
    f = "%%.%df" % digits
    text = f % statistics.median(values)
    if len(values) > 1:
        text += "[%s..%s]" % (f % min(values), f % max(values))
    return text


def report(case, runs, baselines):
    """Prints the line of a case; baselines: first-token p99 without batch by (engine, load, seed)."""
    results = [r for _, r in runs]
    paired = [(r, baselines[(case.engine, case.load, s)]) for s, r in runs if (case.engine, case.load, s) in baselines]
    harm = [r["first_p99_ms"] / b for r, b in paired]
    fields = ["case=" + case.name, case.label(),
              "online_p50_ms=" + format_figures([r["first_p50_ms"] for r in results], 1),
              "online_p95_ms=" + format_figures([r["first_p95_ms"] for r in results], 1),
              "online_p99_ms=" + format_figures([r["first_p99_ms"] for r in results], 1),
              "direct_p99_ms=" + format_figures([r["direct_p99_ms"] for r in results], 1),
              "harm=" + (format_figures(harm) if harm and not case.times else "-"),
              "idle_used=" + format_figures([r["idle_used"] for r in results]),
              "goodput=" + format_figures([r["goodput"] for r in results]),
              "step_p95_ms=" + format_figures([r["step_p95_ms"] for r in results], 1),
              "items_per_s=" + format_figures([r["items_per_s"] for r in results], 1),
              "preempted=" + format_figures([r["preempted"] for r in results], 0)]
    for k in ("sent", "ok", "refused", "failed", "broken", "resent", "not_adding_up"):
        fields.append("%s=%d" % (k, sum(r[k] for r in results)))
    if "lost" in results[0]:
        fields.append("batch_tokens_lost=" + format_figures([r["lost"] for r in results], 4))
    if "burst_first_p99_ms" in results[0]:
        fields.append("burst_p99_ms=" + format_figures([r["burst_first_p99_ms"] for r in results], 1))
    print(" ".join(fields), flush=True)


class FleetCache:
    """Holds one running fleet, and replaces it when a case needs other settings."""

    def __init__(self):
        self.fleet, self.settings, self.number = None, None, 0
        self.in_force = None  # latency weight and reserved slots of the config in force

    def close(self):
        if self.fleet:
            self.fleet.close()
        self.fleet, self.settings = None, None

    def get(self, case):
        if self.fleet and self.settings != case.settings():
            self.close()
        if not self.fleet:
            self.open(case)
        if self.in_force != (case.weight, case.reserved_slots):
            self.number += 1
            self.fleet.submit(self.number, self.config(case))
            self.fleet.wait_in_force(self.number)
            self.in_force = (case.weight, case.reserved_slots)
        return self.fleet

    def config(self, case):
        return CONFIG % (float(case.weight), case.reserved_slots)

    def open(self, case):
        way, preempt, keep, engine = case.settings()
        entry = {"bench": {"way": way, "preempt": preempt, "keep": keep}}
        f = fl.Fleet(entries=ENTRIES, engines=ENGINES, plain=0, text=self.config(case), engine=ENGINE, entry=entry)
        self.fleet, self.settings, self.number, self.in_force = (
            f, case.settings(), 1, (case.weight, case.reserved_slots))
        f.start()
        for e in f.engines if engine == "late" else ():
            set_fault(e, {"late_ms": LATE_MS})
        time.sleep(SETTLE_S)


def run_case(fleets, case, seconds, baselines, first_seed):
    runs = []
    for seed in range(first_seed, first_seed + case.seeds):
        f = fleets.get(case)
        r = measure(f, case, seed, seconds)
        runs.append((seed, r))
        if not case.batch:
            baselines[(case.engine, case.load, seed)] = r["first_p99_ms"]
        dead = [p.name for p in f.procs if p.p and not p.alive()]
        if dead and not case.fault:
            print("case=%s seed=%d ended_processes=%s" % (case.name, seed, ",".join(dead)), flush=True)
        if case.fault or dead:
            fleets.close()
        time.sleep(SETTLE_S)
    report(case, runs, baselines)


def measure_hop():
    """Compares the entry that owns a replica with one that forwards to it, one request at a time."""
    f = fl.Fleet(entries=2, engines=1, plain=0, text=CONFIG % (1.0, 0),
                 engine={"step_base_us": 1000, "step_per_stream_us": 0, "prefill_us_per_token": 0})
    times = {True: [], False: []}
    try:
        f.start()
        owned = {i: any(u["owned_here"] for u in f.status(i)["upstreams"]) for i in (0, 1)}
        for n in range(HOP_REQUESTS):
            start = time.monotonic()
            status = f.complete("hop-%d" % n, tokens=1, entry=n % 2)[0]
            if status == 200 and n >= HOP_WARMUP:
                times[owned[n % 2]].append((time.monotonic() - start) * 1000)
    finally:
        f.close()
    q = {k: statistics.quantiles(v, n=100) for k, v in times.items()}
    print("case=hop requests=%d own_p50_ms=%.2f own_p99_ms=%.2f forwarded_p50_ms=%.2f forwarded_p99_ms=%.2f "
          "hop_p50_ms=%.2f hop_p99_ms=%.2f" % (HOP_REQUESTS, q[True][49], q[True][98], q[False][49], q[False][98],
                                               q[False][49] - q[True][49], q[False][98] - q[True][98]), flush=True)


def main():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("--quick", action="store_true")
    p.add_argument("--only", default="")
    p.add_argument("--seeds", type=int, default=2)
    p.add_argument("--first-seed", type=int, default=1)
    p.add_argument("--seconds", type=float, default=9)
    p.add_argument("--net", help="loopback prefix, as 127.0.30.")
    a = p.parse_args()
    if a.net:
        fl.net = lambda offset=0: a.net
    name_filters = [w for w in a.only.split(",") if w]
    selected = [c for c in cases(a.quick, 1 if a.quick else a.seeds)
                if not name_filters or any(w in c.name for w in name_filters)]
    fleets, baselines, failed = FleetCache(), {}, 0
    print("load_average=%.1f cores=%d" % (os.getloadavg()[0], os.cpu_count()), flush=True)
    try:
        if not name_filters or "hop" in name_filters:
            measure_hop()
        for c in selected:
            try:
                run_case(fleets, c, a.seconds, baselines, a.first_seed)
            except (AssertionError, ValueError, KeyError, OSError, subprocess.TimeoutExpired) as e:
                print("case=%s %s error=%s" % (c.name, c.label(), json.dumps(str(e))), flush=True)
                fleets.close()
                failed += 1
    finally:
        fleets.close()
    print("load_average=%.1f cases=%d not_measured=%d" % (os.getloadavg()[0], len(selected), failed), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
