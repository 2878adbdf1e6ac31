"""A replica hands out a wrong byte in the text of one item: can the client still read the other items of the lot?"""
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from kit4 import HOST, TROUBLE, CannotRun, Replica, SmallKit, open_lot, run_case, up  # noqa: E402

ITEMS, EVENTS = 12, 10
ANSWERS_MIN = 40    # of the replica that spoils one: garble has x (.02), the sites .02 to .03
SETTLE_S = 1        # settleMs
READ_S = 10


class Spoiler(Replica):
    """Answers at once; one of them spoils one byte of one event of one item."""
    answers = {}        # replica: number of answers
    spoiled = []        # (time, replica, item, event)

    async def stream(self, run, signed, reader, writer):
        self.answers[self.name] = self.answers.get(self.name, 0) + 1
        body = b""
        for n in range(run["after"] + 1, EVENTS + 1):
            text = self.kit.text_of(run, n).encode()
            if TROUBLE and self.name == "r0" and not self.spoiled and run["target"].startswith("/digest/") and n == 4:
                self.spoiled.append((time.time(), self.id, run["id"], n))
                text = text[:5] + b"\xff" + text[6:]
            body += b"id: %d\ndata: %s\n\n" % (n, text)
        run["end"], run["sent"], run["ended"] = "done", EVENTS, time.time()
        return await self.reply(writer, 200, signed + [("Content-Type", "text/event-stream")], body)


class SpoilKit(SmallKit):
    replica_class = Spoiler


def read(kit, record, front, lot, after):
    """Returns the results from this position on; None if the answer can't be read as JSON."""
    status, _, body = kit.loop.run(kit.call(front.ip, kit.port, "GET", "/lots/%s?after=%d" % (lot, after),
                                            [("Host", HOST)], b"", 4))
    if status != 200:
        record("lot %s read at %s from %d: %d", lot, front.name, after, status)
        return []
    try:
        r = json.loads(body)
    except ValueError as e:
        record("lot %s read at %s from %d: 200, %d bytes that are no JSON: %s", lot, front.name, after, len(body),
               str(e)[:90])
        return None
    record("lot %s read at %s from %d: 200, %d results of %d", lot, front.name, after, len(r["results"]), r["total"])
    return r["results"]


def check(record, kits):
    kit = SpoilKit(fronts=2, replicas=3)
    kits.append(kit)
    up(kit, record)
    lot, items = kit.lot(ITEMS)
    open_lot(kit, record, kit.fronts[0], lot, items)
    n, until = 0, time.time() + 5
    while n < 1000 and (Spoiler.answers.get("r0", 0) < ANSWERS_MIN or time.time() < until):
        n += 1
        kit.loop.run(kit.stream(kit.fronts[n % 2], "/brief/1", "%016x" % n))
        time.sleep(0.02)
    record("online requests: %d; answers: %s; spoiled: %d", n, ", ".join(
        "%s %d" % x for x in sorted(Spoiler.answers.items())), len(Spoiler.spoiled))
    for t, replica, item, event in Spoiler.spoiled:
        record.at(t, "replica %s spoils a byte of event %d of item %s", replica, event, item)
    if TROUBLE and not Spoiler.spoiled:
        raise CannotRun("no item ran at the replica that spoils an answer")
    time.sleep(SETTLE_S)
    results, end, i, unreadable = {}, time.time() + READ_S, 0, 0
    while len(results) < ITEMS and time.time() < end:
        got = read(kit, record, kit.fronts[i % 2], lot, len(results))
        i += 1
        unreadable += got is None
        results.update({x["id"]: x for x in got or []})
        time.sleep(0.5)
    for x in items:
        done = any(r["id"] == x["id"] and r["end"] == "done" for r in kit.runs)
        record("item %s: %s, %s", x["id"], "run to its end" if done else "not run",
               "read" if x["id"] in results else "not read")
    spoiled = {x[2] for x in Spoiler.spoiled}
    lost = [x["id"] for x in items if x["id"] not in results and x["id"] not in spoiled]
    if lost and unreadable:
        return ["the lot can't be read: %d items that replicas ran soundly, besides the spoiled one" % len(lost)]
    if lost:
        raise CannotRun("items were not done in time")
    return []


run_case(FOLDER, check)
