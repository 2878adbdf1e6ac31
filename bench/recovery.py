#!/usr/bin/env python3
"""Times until the system recovers from losses, by kind of loss, computed from the log lines of its processes.

usage: bench/recovery.py LOG...   (one day each; lines as fleetbench --log prints them, or as the processes do)

Prints for each kind the count, the median and the maximum in ms, and the log that contains the maximum.
"""
import collections
import re
import statistics
import sys

KINDS = {
    "entry without leader": "from the loss of the link to the leader until an entry is linked to a leader again",
    "control without leader": "the same for a control process that does not lead",
    "entry start": "from the start of an entry until it has a config",
    "control start": "from the start of a control process until it is linked to the leader",
    "leadership": "from the loss of the leader until the group has a new one; median over the processes that lost it",
    "voter replaced": "from the beginning of a voter's replacement until the lost voter is removed",
}
FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
# At the first start of a fleet, entries wait for the control processes; this is not a recovery.
INITIAL_START_MS = 3000
# A process that is linked again so soon after an election lost its link because the leader was lost: it tries the next
# control process every 50 ms. One that takes longer was itself cut off.
SAME_OUTAGE_MS = 1000


def parse_lines(path):
    """Yields (ms, fields) of each structured line, in the order of the file."""
    with open(path, errors="replace") as f:
        for line in f:
            if "event=" not in line or " t=" not in line:
                continue
            v = {k: x.strip('"') for k, x in FIELD.findall(line)}
            try:
                # fleetbench puts its own time before each line; the clocks of the VMs may differ by seconds.
                ms = float(line.split()[0]) * 1000
            except ValueError:
                ms = float(v["t"])
            yield ms, v


def recoveries(path):
    """Yields (kind, ms) of each recovery in the log of one day."""
    rows = sorted(parse_lines(path), key=lambda r: r[0])
    entries = set()  # names of the processes that are entries
    started_at, lost_at, replacement_begun_at = {}, {}, {}
    elected_ms, waits = 0, []
    log_start_ms = rows[0][0] if rows else 0
    for ms, v in rows:
        process, event = v.get("process"), v.get("event")
        is_initial_start = started_at.get(process, log_start_ms) - log_start_ms < INITIAL_START_MS
        if event in ("started", "opening"):
            if event == "started":
                entries.add(process)
            started_at[process] = ms
            lost_at.pop(process, None)
        elif event == "leader_lost" and v.get("reason") not in ("leads itself", "doesn't lead"):
            lost_at[process] = ms
        elif event == "leader_found" and process in lost_at:
            # The process lost its link before the election and found the new leader soon after it.
            if lost_at[process] < elected_ms and ms - elected_ms < SAME_OUTAGE_MS:
                waits.append(elected_ms - lost_at[process])
            yield ("entry" if process in entries else "control") + " without leader", ms - lost_at.pop(process)
        elif event == ("text_in_force" if process in entries else "leader_found") and process in started_at:
            if not is_initial_start:
                yield ("entry" if process in entries else "control") + " start", ms - started_at[process]
            del started_at[process]
        elif event == "role" and v.get("role") == "leader":
            if waits:
                yield "leadership", statistics.median(waits)
            elected_ms, waits = ms, []
        elif event == "voter_replacement_begun":
            replacement_begun_at[v.get("lost")] = ms
        elif event == "voter_removed" and v.get("addr") in replacement_begun_at:
            yield "voter replaced", ms - replacement_begun_at.pop(v["addr"])
    if waits:
        yield "leadership", statistics.median(waits)


def main():
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        sys.exit(__doc__)
    found = collections.defaultdict(list)
    for path in sys.argv[1:]:
        for kind, ms in recoveries(path):
            found[kind].append((ms, path))
    print("%-24s %6s %8s %8s  %s" % ("kind", "count", "median", "worst", "worst in"))
    for kind in KINDS:
        v = sorted(found[kind])
        if v:
            median = statistics.median(ms for ms, _ in v)
            print("%-24s %6d %8.0f %8.0f  %s" % (kind, len(v), median, v[-1][0], v[-1][1]))
    for kind, description in KINDS.items():
        print("# %s: %s" % (kind, description))


if __name__ == "__main__":
    main()
