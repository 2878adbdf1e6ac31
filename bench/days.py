#!/usr/bin/env python3
"""Runs days (scenarios) of fleetbench on one or more source trees and compares the results for callers.

    bench/days.py --bench FLEETBENCH --site SITE [--days A,B] [--seeds 1,2] [--jobs N] TREE[=LABEL]...

Default days: all days of the site file except the quiet ones. Default seeds: each day's own. CPU time is charged with
--cpu only; without it, most runs are reproducible. Prints for each day and tree the means over the seeds of
worth (G in fleetbench's report), worst (the lowest worth of a class), online and items (the shares of online requests
and of batch items answered in time), cut (runs that were cut short), conns (new connections) and broken (entries of
the report's `breaks`); at the end the means over all days.
"""
import argparse
import concurrent.futures
import json
import os
import re
import subprocess
import sys
import tempfile
import tomllib


def day_names(site):
    with open(site, "rb") as f:
        return [d["name"] for d in tomllib.load(f)["day"] if d["slot"] != "quiet"]


def batch_classes(site):
    with open(site, "rb") as f:
        return {c["name"] for c in tomllib.load(f)["classes"] if c["kind"] == "batch"}


def run_day(bench, tree, site, day, seed, cpu, why):
    """Runs one day; returns its report, or None if fleetbench wrote none."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        cmd = [bench, "run", site, day, "--report", report.name, "--why", why]
        if seed:
            cmd += ["--seed", str(seed)]
        if not cpu:
            cmd.append("--no-cpu")
        out = subprocess.run(cmd, cwd=tree, capture_output=True, text=True, check=False)
        text = report.read()
    if not text:
        print(f"{tree} {day} seed {seed}: no report: {out.stdout[-300:]}{out.stderr[-300:]}", file=sys.stderr)
        return None
    return json.loads(text)


def hint_number(report, pattern):
    for hint in report["hints"]:
        if m := re.search(pattern, hint):
            return int(m.group(1))
    return 0


def compared_figures(report, batch):
    """Returns the compared figures of a report by name."""
    online = [c for c in report["classes"] if c["name"] not in batch]
    items = [c for c in report["classes"] if c["name"] in batch]

    def share(classes):
        owed = sum(c["n"] - c["not_owed"] for c in classes)
        return sum(c["in_aim"] for c in classes) / owed if owed else 1.0

    return {
        "worth": report["G"],
        "worst": min([c["worth"] for c in report["classes"]] or [0]),
        "online": share(online),
        "items": share(items),
        "cut": hint_number(report, r"(\d+) runs were cut"),
        "conns": hint_number(report, r"(\d+) new connections"),
        "broken": len(report["breaks"]),
    }


def mean(rows):
    return {k: sum(r[k] for r in rows) / len(rows) for k in rows[0]}


def print_row(day, label, row):
    print(f"{day:<12} {label:<14} {row['worth']:6.3f} {row['worst']:6.3f} {row['online']:6.3f} {row['items']:6.3f} "
          f"{row['cut']:7.0f} {row['conns']:7.0f} {row['broken']:6.1f}", flush=True)


def main():
    p = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    p.add_argument("--bench", required=True)
    p.add_argument("--site", required=True)
    p.add_argument("--days")
    p.add_argument("--seeds", default="0", help="0: the seed of the day")
    p.add_argument("--jobs", type=int, default=3)
    p.add_argument("--cpu", action="store_true", help="charge CPU time")
    p.add_argument("--why", default="bench/days.py")
    p.add_argument("trees", nargs="+", metavar="TREE[=LABEL]")
    a = p.parse_args()
    site = os.path.abspath(a.site)
    bench = os.path.abspath(a.bench)
    days = a.days.split(",") if a.days else day_names(site)
    seeds = [int(s) for s in a.seeds.split(",")]
    trees = [t.partition("=") for t in a.trees]
    batch = batch_classes(site)
    for path, _, _ in trees:
        subprocess.run([bench, "build"], cwd=path, check=True, stdout=subprocess.DEVNULL)
    print(f"{'day':<12} {'tree':<14} {'worth':>6} {'worst':>6} {'online':>6} {'items':>6} {'cut':>7} {'conns':>7} {'broken':>6}")
    means = {}
    missing_reports = 0
    with concurrent.futures.ThreadPoolExecutor(a.jobs) as pool:
        runs = {(d, t[0], s): pool.submit(run_day, bench, t[0], site, d, s, a.cpu, f"{a.why}: {t[2] or t[0]}")
                for d in days for t in trees for s in seeds}
        for d in days:
            for path, _, label in trees:
                reports = [r.result() for k, r in runs.items() if k[:2] == (d, path)]
                rows = [compared_figures(r, batch) for r in reports if r]
                missing_reports += len(reports) - len(rows)
                if rows:
                    print_row(d, label or os.path.basename(path), mean(rows))
                    means.setdefault(path, []).append(mean(rows))
    for path, _, label in trees:
        if path in means:
            print_row("mean", label or os.path.basename(path), mean(means[path]))
    if missing_reports:
        sys.exit(f"{missing_reports} runs without a report: the means of the trees cover different runs")


if __name__ == "__main__":
    main()
