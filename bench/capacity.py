#!/usr/bin/env python3
"""`make capacity`: measures the rates of growth used in docs/CAPACITY.md; prints key=value lines and linear fits.

All processes run on one machine: an idle fleet of 3 to 100 entries (heartbeats, load reports, distribution of a
config), online load at three rates and three lengths, jobs of 10^3 to 5.4*10^5 items, the time without a leader, and
the output of auburn-log-bench and auburn-state-bench. --quick leaves out the largest sizes; --only PART runs one part.
"""
import argparse
import os
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "proc"))
import fleet as fl  # noqa: E402

IDLE_S = 8
LOAD_S = 10
FAST_ENGINE = {"slots": 64, "step_base_us": 1000, "step_per_stream_us": 5, "prefill_us_per_token": 0}


def report(**pairs):
    print(" ".join("%s=%s" % (k, ("%.4g" % v) if isinstance(v, float) else v) for k, v in pairs.items()), flush=True)


def fit(name, unit, xs, ys):
    """Prints the least-squares fit y = a + b*x and the largest distance of a point from the line."""
    n = len(xs)
    mean_x, mean_y = sum(xs) / n, sum(ys) / n
    b = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum((x - mean_x) ** 2 for x in xs)
    a = mean_y - b * mean_x
    off = max(abs(y - a - b * x) for x, y in zip(xs, ys))
    report(fit=name, unit=unit, base=a, slope=b, worst=off, points=len(xs))


def cpu_us(proc):
    """Returns the CPU time of the threads that still run, exact to the microsecond."""
    total = 0
    for t in os.listdir("/proc/%d/task" % proc.p.pid):
        try:
            with open("/proc/%d/task/%s/schedstat" % (proc.p.pid, t)) as f:
                total += int(f.read().split()[0])
        except OSError:
            pass
    return total / 1000


def cpu_ticks_us(proc):
    """Returns the CPU time including ended threads, in steps of a clock tick (10 ms)."""
    with open("/proc/%d/stat" % proc.p.pid) as f:
        parts = f.read().rsplit(")", 1)[1].split()
    return (int(parts[11]) + int(parts[12])) * 1e6 / os.sysconf("SC_CLK_TCK")


def rss_kb(proc):
    with open("/proc/%d/status" % proc.p.pid) as f:
        return next(int(x.split()[1]) for x in f if x.startswith("VmRSS"))


def rpc_bytes(proc):
    """Returns the bytes of the system calls read and write: RPC, files and log lines; not HTTP, which uses send and
    recv."""
    with open("/proc/%d/io" % proc.p.pid) as f:
        return sum(int(x.split()[1]) for x in f if x.startswith(("rchar", "wchar")))


def loopback_bytes():
    with open("/proc/net/dev") as f:
        return next(int(x.split()[1]) for x in f if x.strip().startswith("lo:"))


def mean(xs):
    xs = list(xs)
    return sum(xs) / len(xs)


def measure(procs, seconds, run_load):
    """Runs run_load; returns (CPU us/s, RPC bytes/s) by process, loopback bytes/s, and the seconds it took."""
    before = {p.name: (cpu_ticks_us(p), rpc_bytes(p)) for p in procs}
    loopback, start = loopback_bytes(), time.monotonic()
    run_load()
    took = time.monotonic() - start
    out = {p.name: ((cpu_ticks_us(p) - before[p.name][0]) / took, (rpc_bytes(p) - before[p.name][1]) / took)
           for p in procs}
    return out, (loopback_bytes() - loopback) / took, took


def idle_fleet(entries):
    with fl.Fleet(entries=entries, engines=2) as f:
        f.start()
        time.sleep(2)
        leader = f.leader()
        procs = f.controls + f.entries
        rates, loopback, _ = measure(procs, IDLE_S, lambda: time.sleep(IDLE_S))
        followers = [c for c in f.controls if c is not leader]
        start = time.monotonic()
        f.submit(2, f.text + "\n# two\n")
        f.wait_in_force(2)
        spread = (time.monotonic() - start) * 1000
        owners = [e for i, e in enumerate(f.entries) if any(u["owned_here"] for u in f.status(i)["upstreams"])]
        others = [e for e in f.entries if e not in owners] or f.entries
        row = dict(measure="idle", entries=entries, leader_cpu_us_s=rates[leader.name][0],
                   follower_cpu_us_s=mean(rates[c.name][0] for c in followers),
                   entry_cpu_us_s=mean(rates[e.name][0] for e in others),
                   owner_cpu_us_s=mean(rates[e.name][0] for e in owners),
                   leader_rpc_bytes_s=rates[leader.name][1],
                   entry_rpc_bytes_s=mean(rates[e.name][1] for e in others),
                   owner_rpc_bytes_s=mean(rates[e.name][1] for e in owners),
                   fleet_loopback_bytes_s=loopback, leader_rss_kb=rss_kb(leader),
                   entry_rss_kb=mean(rss_kb(e) for e in f.entries), spread_ms=spread)
        report(**row)
        return row


def idle(args):
    sizes = [3, 9, 30] + ([] if args.quick else [100])
    rows = [idle_fleet(n) for n in sizes]
    for key, unit in [("leader_cpu_us_s", "us/s"), ("entry_cpu_us_s", "us/s"), ("owner_cpu_us_s", "us/s"),
                      ("leader_rpc_bytes_s", "bytes/s"), ("entry_rpc_bytes_s", "bytes/s"),
                      ("owner_rpc_bytes_s", "bytes/s"), ("fleet_loopback_bytes_s", "bytes/s"),
                      ("leader_rss_kb", "KB"), ("entry_rss_kb", "KB"), ("spread_ms", "ms")]:
        fit("idle." + key, unit + " per entry", sizes, [r[key] for r in rows])


def offer_load(f, rate, tokens):
    """Runs auburn-bench; returns the key=value pairs that it prints."""
    argv = [os.path.join(fl.BIN, "auburn-bench"), "--addresses", f.addr(), "--run", "cap-%d-%d" % (rate, tokens), "--key",
            fl.CALLER_KEY, "--service", "sammandrag-llm", "--rate", str(rate), "--seconds", str(LOAD_S), "--seed",
            "%d" % (rate * 1000 + tokens), "--max-tokens", str(tokens), "--prompt-bytes", "400"]
    p = subprocess.run(argv, capture_output=True, text=True, timeout=LOAD_S + 120)
    if p.returncode != 0:
        raise ValueError("auburn-bench: exit %d: %s" % (p.returncode, p.stderr[-300:]))
    pairs = dict(x.split("=", 1) for x in p.stdout.split() if "=" in x)
    return pairs


def online(args):
    xs, entry, control, tokens_x, tokens_y = [], [], [], [], []
    with fl.Fleet(entries=6, engines=12, engine=FAST_ENGINE) as f:
        f.start()
        time.sleep(1)
        base, _, _ = measure(f.controls + f.entries, IDLE_S, lambda: time.sleep(IDLE_S))
        idle_e = sum(base[e.name][0] for e in f.entries)
        idle_c = sum(base[c.name][0] for c in f.controls)
        for rate, tokens in [(50, 20), (150, 20), (300, 20), (150, 5), (150, 80)]:
            got = {}
            rates, _, took = measure(f.controls + f.entries, LOAD_S, lambda: got.update(offer_load(f, rate, tokens)))
            ok = float(got.get("ok", 0))
            e = sum(rates[p.name][0] for p in f.entries) - idle_e
            c = sum(rates[p.name][0] for p in f.controls) - idle_c
            cb = sum(rates[p.name][1] for p in f.controls)
            report(measure="online", rate=rate, tokens=tokens, ok=ok, refused=got.get("refused", "?"), took_s=took,
                   entry_cpu_us_per_request=e * took / max(ok, 1), control_cpu_us_per_request=c * took / max(ok, 1),
                   control_bytes_per_request=cb * took / max(ok, 1))
            if tokens == 20:
                xs.append(ok / took)
                entry.append(e)
                control.append(c)
            if rate == 150:
                tokens_x.append(tokens)
                tokens_y.append(e * took / max(ok, 1))
    fit("online.entries_cpu", "us/s per request/s, all entries", xs, entry)
    fit("online.controls_cpu", "us/s per request/s, 3 controls", xs, control)
    fit("online.entry_cpu_by_token", "us per token of a request", tokens_x, tokens_y)


def one_job(f, n):
    items = "".join('{"prompt":"digest item %d","max_tokens":1}\n' % i for i in range(n))
    start = time.monotonic()
    procs = f.controls + f.entries

    def run():
        status, _, body = fl.call(f.addr(), "POST", "/v1/jobs?service=sammandrag-llm&deadline_ms=86400000", items,
                                  fl.bearer(fl.CALLER_KEY, "cap-%d" % n), 600)
        if status != 202:
            raise ValueError("job of %d: status %d: %s" % (n, status, body[:300]))
        run.accepted = time.monotonic() - start
        fl.wait_for("end of the job of %d" % n, lambda: f.job("cap-%d" % n)["done"] == n, 1500, 0.2)

    rates, _, took = measure(procs, 0, run)
    read = time.monotonic()
    lines = 0
    while lines < n:
        page = fl.call(f.addr(), "GET", "/v1/jobs/cap-%d/results?first=%d&max=10000" % (n, lines),
                       headers=fl.bearer(fl.CALLER_KEY), timeout=120)[2]
        got = page.count(b"\n")
        if got == 0:
            raise ValueError("results end at %d of %d" % (lines, n))
        lines += got
    row = dict(measure="job", items=n, accepted_s=run.accepted, took_s=took, items_s=n / took,
               read_back_s=time.monotonic() - read, read_back=lines,
               control_cpu_us_per_item=sum(rates[c.name][0] for c in f.controls) * took / n,
               entry_cpu_us_per_item=sum(rates[e.name][0] for e in f.entries) * took / n,
               control_bytes_per_item=sum(rates[c.name][1] for c in f.controls) * took / n,
               control_rss_kb=max(rss_kb(c) for c in f.controls), entry_rss_kb=max(rss_kb(e) for e in f.entries))
    report(**row)
    return row


def jobs(args):
    sizes = [1000, 10000, 50000] + ([] if args.quick else [540000])
    rows = []
    with fl.Fleet(entries=3, engines=8, engine=FAST_ENGINE, text=fl.TEXT.replace("slots = 8", "slots = 64"),
                  entry={"max_items": 540000, "max_body_bytes": 256 << 20}) as f:
        f.start()
        for n in sizes:
            rows.append(one_job(f, n))
    fit("job.control_cpu", "us/item, 3 controls", sizes, [r["control_cpu_us_per_item"] * r["items"] for r in rows])
    fit("job.entry_cpu", "us/item, all entries", sizes, [r["entry_cpu_us_per_item"] * r["items"] for r in rows])
    fit("job.control_rss", "KB/item, one control", sizes, [r["control_rss_kb"] for r in rows])


def without_leader(how):
    """Time from a fault of group 0's leader until group 0 commits a new config, submitted in a tight loop."""
    with fl.Fleet(entries=1, engines=1) as f:
        if how == "cut":
            f.route_controls()
        f.start()
        took = []
        for n in range(2, 7):
            leader = fl.wait_for("a leader", f.leader)
            start = time.monotonic()
            {"kill": leader.kill, "freeze": leader.freeze, "cut": lambda: f.cut(leader.name)}[how]()
            fl.wait_for("a commit", lambda: f.try_submit(n, f.text + "\n# %d\n" % n), pause=0.005)
            took.append((time.monotonic() - start) * 1000)
            if how == "kill":
                leader.start()
            elif how == "freeze":
                leader.thaw()
            else:
                f.heal(leader.name)
            fl.wait_for("three controls", lambda: len([c for c in f.control_status().values() if c["state"] == "member"]) == 3)
            time.sleep(1)
        report(measure="without_leader", how=how, runs=len(took), least_ms=min(took),
               median_ms=sorted(took)[len(took) // 2], most_ms=max(took))


def failover(args):
    for how in ("kill", "freeze", "cut"):
        without_leader(how)
    entry_lost()


def entry_lost():
    """Time from kill -9 of an entry until other entries own its replicas."""
    took = []
    with fl.Fleet(entries=6, engines=12) as f:
        f.start()
        for i in range(3):
            start = time.monotonic()
            f.entries[i].kill()
            f.wait_owned()
            took.append((time.monotonic() - start) * 1000)
        report(measure="entry_lost", runs=len(took), least_ms=min(took), most_ms=max(took), lease_ms=2000)


def tools(args):
    for name in ("auburn-state-bench", "auburn-log-bench"):
        p = subprocess.run([os.path.join(fl.BIN, name)], capture_output=True, text=True, timeout=600)
        for line in p.stdout.splitlines():
            print("tool=%s %s" % (name, line), flush=True)


PARTS = {"tools": tools, "idle": idle, "online": online, "jobs": jobs, "failover": failover}


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--quick", action="store_true")
    p.add_argument("--only", default="", choices=[""] + list(PARTS))
    args = p.parse_args()
    for name, part in PARTS.items():
        if args.only in ("", name):
            part(args)


main()
