#!/usr/bin/env python3
"""How long the system takes to recover, by kind of loss, from the log lines of its processes.

usage: bench/recovery.py LOG...   (one day each; lines as fleetbench's --log prints them or as written)

Prints for each kind the count, the median and the worst, in ms, and the log that holds the worst.
"""
import collections
import re
import statistics
import sys

KINDS = {
    "entry without leader": "an entry that lost the leader is linked to the next one",
    "control without leader": "a control process that lost the leader is linked to the next one",
    "entry start": "an entry that was started is linked, with a text",
    "control start": "a control process that was started knows who leads",
    "leadership": "the group has a leader again after the last one was lost",
    "voter replaced": "a lost voter is replaced, from the begin of its replacement",
}
FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')
# Entries come up before control processes at the first start; what they wait there is no recovery.
FIRST_START_MS = 3000
# Entries try the next control process every 50 ms.
AT_ONCE_MS = 1000


def lines_of(path):
    """(ms, fields) of each structured line, in the order in which they were written."""
    with open(path, errors="replace") as f:
        for line in f:
            if "event=" not in line or " t=" not in line:
                continue
            v = {k: x.strip('"') for k, x in FIELD.findall(line)}
            try:
                # The bench puts its own time before the line; clocks of VMs may differ by seconds.
                ms = float(line.split()[0]) * 1000
            except ValueError:
                ms = float(v["t"])
            yield ms, v


def recoveries(path):
    """(kind, ms) of each recovery in one day's log."""
    rows = sorted(lines_of(path), key=lambda r: r[0])
    entries = set()  # processes that are entries
    starting, lost, replaced = {}, {}, {}
    elected, waited = 0, []
    first = rows[0][0] if rows else 0
    for ms, v in rows:
        who, event = v.get("process"), v.get("event")
        is_first_start = starting.get(who, first) - first < FIRST_START_MS
        if event in ("started", "opening"):
            if event == "started":
                entries.add(who)
            starting[who] = ms
            lost.pop(who, None)
        elif event == "leader_lost" and v.get("reason") not in ("leads itself", "doesn't lead"):
            lost[who] = ms
        elif event == "leader_found" and who in lost:
            # Who finds a new leader at once had lost the one before, and wasn't cut off itself.
            if lost[who] < elected and ms - elected < AT_ONCE_MS:
                waited.append(elected - lost[who])
            yield ("entry" if who in entries else "control") + " without leader", ms - lost.pop(who)
        elif event == ("text_in_force" if who in entries else "leader_found") and who in starting:
            if not is_first_start:
                yield ("entry" if who in entries else "control") + " start", ms - starting[who]
            del starting[who]
        elif event == "role" and v.get("role") == "leader":
            if waited:
                yield "leadership", statistics.median(waited)
            elected, waited = ms, []
        elif event == "voter_replacement_begun":
            replaced[v.get("lost")] = ms
        elif event == "voter_removed" and v.get("addr") in replaced:
            yield "voter replaced", ms - replaced.pop(v["addr"])
    if waited:
        yield "leadership", statistics.median(waited)


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
    for kind, what in KINDS.items():
        print("# %s: %s" % (kind, what))


if __name__ == "__main__":
    main()
