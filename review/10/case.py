"""The failed runs of an item are forgotten with each leader: it runs on beyond its budget."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import kit2  # noqa: E402

ATTEMPTS = 3
WORK_S = 1.3        # of a run that fails
KILLS = 4
DOWN_S = 0.5        # all processes of the core may be killed and be back within a second
CONTACT_S = 3.0     # bound `contactMs` of the sheet


async def run(kit):
    await kit.start(controls=3, fronts=2, replicas=2, slots=2)
    for r in kit.replicas:
        r.events_of = lambda h: 30
        r.gap_s = 0.12
        r.status_of = lambda h: (500, WORK_S) if h["request-id"].startswith("f0") else None
    await kit.put_config(kit.config(7, [kit.stream_route(), kit.batch_route(attempts=ATTEMPTS)]))
    await kit.wait_ready()
    lot = "f0%08x" % int(time.time())
    items = kit.items(lot, 1)
    await kit.open_lot_surely(lot, items)
    item = items[0]["id"]

    def runs():
        return [a for a in kit.arrivals if a["id"] == item and a["ran"]]

    def failed():
        return sum(a["end"] == 500 for a in runs())

    last_event = time.time()
    for _ in range(KILLS if kit2.TROUBLE else 0):
        await kit.wait_leader()
        had = failed()
        # This leader has counted two failures, and the next run has begun: within the item's budget.
        await kit.wait_for("two failed runs, and another one", lambda: failed() >= had + 2 and len(runs()) > failed(), 15)
        for c in kit.controls:
            kit.kill_control(c)
        await asyncio.sleep(DOWN_S)
        for c in kit.controls:
            c.start()
        last_event = time.time()
    await kit.wait_leader()
    await asyncio.sleep(0.5)
    # Online requests take all places until the entries and the stores count as in touch again.
    answers = await asyncio.gather(*[kit.request(kit.fronts[i % 2], "/ask/%d" % i) for i in range(4)])
    kit.record("online answers", [a[0] for a in answers])
    await asyncio.sleep(8)
    st, r = await kit.read_lot(kit.fronts[0], lot)
    if kit.unexpected_exits():
        raise kit2.CannotRun("processes ended: %s" % kit.unexpected_exits())
    if st != 200 or len(runs()) < ATTEMPTS:
        raise kit2.CannotRun("the item ran %d times" % len(runs()))
    broken = []
    for a in runs():
        answers = sum(b["end"] == 500 and b["ended"] < a["at"] for b in runs())
        since = a["at"] - last_event
        kit.record("run at %.3f after %d answers of 500, %.1f s after the last event at a store" % (
            a["at"] - kit.began, answers, since))
        if answers >= 3 * ATTEMPTS and since > CONTACT_S:
            broken.append("BUDGET: the item reached %s after %d answers of 500, all in touch for %.1f s" % (
                a["replica"], answers, since))
    return broken


kit2.main(run)
