"""An accepted item whose run is preempted after its route was removed is never listed."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import kit2  # noqa: E402

DEADLINE_S = 18     # bound `deadlineS` of the sheets
ITEMS = 4
EVENTS = 20


async def run(kit):
    await kit.start(controls=3, fronts=2, replicas=2, slots=2)
    for r in kit.replicas:
        r.events_of = lambda h: EVENTS if h["request-id"].startswith("a0") else 5
        r.gap_s = 0.1
    await kit.put_config(kit.config(7, [kit.stream_route(), kit.batch_route()]))
    await kit.wait_ready()
    lot = "a0%08x" % int(time.time())
    items = kit.items(lot, ITEMS)
    await kit.open_lot_surely(lot, items)
    ids = [x["id"] for x in items]
    await kit.wait_for("all items run", lambda: ids_running(kit, ids) == set(ids))
    await asyncio.sleep(0.3)
    if kit2.TROUBLE:
        await kit.put_config(kit.config(12, [kit.stream_route()]))
        await asyncio.sleep(0.5)    # in force
    if ids_running(kit, ids) != set(ids):
        raise kit2.CannotRun("the items ended too soon")
    # Online requests take the places of the items.
    answers = await asyncio.gather(*[kit.request(kit.fronts[i % 2], "/ask/%d" % i) for i in range(ITEMS)])
    if [a[0] for a in answers] != [200] * ITEMS:
        raise kit2.CannotRun("online requests were not served: %s" % [a[0] for a in answers])
    if not any(a["id"] in ids and a["end"] != "done" for a in kit.arrivals):
        raise kit2.CannotRun("no item was preempted")
    traffic_ended = time.time()
    kit.record("traffic has ended; batch jobs have", DEADLINE_S, "s more")
    while time.time() < traffic_ended + DEADLINE_S:
        await kit.read_lot(kit.fronts[0], lot)
        await asyncio.sleep(2)
    # The excuses of the rule: calm, replicas under half full and without an item of the lot, none finished lately.
    now = time.time()
    last_run = max((a["ended"] or now for a in kit.arrivals if a["id"] in ids), default=0)
    kit.record("last run of an item ended", "%.1f" % (now - last_run), "s ago; runs now:",
               sum(r.running for r in kit.replicas))
    st, r = await kit.read_lot(kit.fronts[1], lot)
    if st != 200:
        raise kit2.CannotRun("the lot could not be read: %d" % st)
    listed = {x["id"]: x["state"] for x in r["results"]}
    if kit.unexpected_exits():
        raise kit2.CannotRun("processes ended: %s" % kit.unexpected_exits())
    if now - last_run < 5:
        raise kit2.CannotRun("an item ran in the last 5 s")
    return ["LOST: item %s is neither completed nor dead %.1f s after the last request, and no replica had it for %.1f s"
            % (i, now - traffic_ended, now - last_run) for i in ids if i not in listed]


def ids_running(kit, ids):
    return {a["id"] for a in kit.arrivals if a["id"] in ids and a["ran"] and a["ended"] is None}


kit2.main(run)
