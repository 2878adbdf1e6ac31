"""The items of a batch route whose retention is 30 days are never run."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import kit2  # noqa: E402

DEADLINE_S = 18     # bound `deadlineS` of the sheets
RETENTION_S = int(os.environ.get("DAYS", "30")) * 86400
ITEMS = 4


async def run(kit):
    await kit.start(controls=3, fronts=2, replicas=2, slots=2)
    await kit.put_config(kit.config(7, [kit.stream_route(), kit.batch_route()]))
    await kit.wait_ready()
    if kit2.TROUBLE:
        await kit.put_config(kit.config(12, [kit.stream_route(), kit.batch_route(retentionS=RETENTION_S)]))
        await asyncio.sleep(2.5)    # in force
    lot = "a0%08x" % int(time.time())
    items = kit.items(lot, ITEMS)
    await kit.open_lot_surely(lot, items)
    ids = [x["id"] for x in items]
    st, _, _ = await kit.request(kit.fronts[0], "/ask/1")
    if st != 200:
        raise kit2.CannotRun("an online request was not served: %d" % st)
    traffic_ended = time.time()
    kit.record("traffic has ended; batch jobs have", DEADLINE_S, "s more")
    while time.time() < traffic_ended + DEADLINE_S + 2:
        await kit.read_lot(kit.fronts[0], lot)
        await asyncio.sleep(2)
    now = time.time()
    sent = [a for a in kit.arrivals if a["id"] in ids]
    kit.record("items arrived at replicas", len(sent), "times, ran", sum(a["ran"] for a in sent),
               "times; the first Deadline-Ms were", [a["headers"].get("deadline-ms") for a in sent[:4]])
    st, r = await kit.read_lot(kit.fronts[1], lot)
    if st != 200:
        raise kit2.CannotRun("the lot could not be read: %d" % st)
    listed = {x["id"]: x["state"] for x in r["results"]}
    if kit.unexpected_exits():
        raise kit2.CannotRun("processes ended: %s" % kit.unexpected_exits())
    # The excuses of the rule: an item had by a replica in the last 5 s, or failed at one in the last 20 s.
    if any(a["ran"] and (a["ended"] or now) > now - 20 and (a["ended"] or now) - a["at"] > 1 for a in sent):
        raise kit2.CannotRun("an item ran lately")
    return ["LOST: item %s is neither completed nor dead %.1f s after the last request" % (i, now - traffic_ended)
            for i in ids if i not in listed]


kit2.main(run)
