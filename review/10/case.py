"""The batch jobs of a public batch route can't be read by the tenant that sent them."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import kit2  # noqa: E402

SETTLE_S = 1        # bound `settleMs` of the sheets
ITEMS = 4
KEY = [("Authorization", "Bearer key-of-tenant-1")]


async def run(kit):
    await kit.start(controls=3, fronts=2, replicas=2, slots=4, front_settings={"revoke_ms": 5000})
    tenants = [{"name": "tenant-1", "apiKeys": ["key-of-tenant-1"], "priority": 1, "ratePerS": 77, "burst": 77}]

    def config(version, public):
        return kit.config(version, [kit.stream_route(public=False), kit.batch_route(public=public)], slots=4,
                          tenants=tenants)

    await kit.put_config(config(7, False))
    await kit.wait_ready()
    await kit.put_config(config(12, kit2.TROUBLE))
    await asyncio.sleep(3.5)    # in force
    lot = "d0%08x" % int(time.time())
    await kit.open_lot_surely(lot, kit.items(lot, ITEMS), headers=KEY)
    accepted = time.time()
    answers, results = [], []
    while time.time() < accepted + 15 and len(results) < ITEMS:
        await asyncio.sleep(0.5)
        for f in kit.fronts:
            st, r = await kit.read_lot(f, lot, headers=KEY)
            if time.time() > accepted + SETTLE_S:
                answers.append(st)
            if st == 200 and len(r["results"]) > len(results):
                results = r["results"]
    kit.record("answers to reads later than settleMs after the 202:", {s: answers.count(s) for s in sorted(set(answers))})
    if kit.unexpected_exits():
        raise kit2.CannotRun("processes ended: %s" % kit.unexpected_exits())
    gone = answers.count(404) + answers.count(410)
    if not gone and len(results) < ITEMS:
        raise kit2.CannotRun("the batch job was not done in time")
    return ["LOST: %d of %d reads of the accepted batch job, with its tenant's key, got 404 or 410" % (
        gone, len(answers))] if gone else []


kit2.main(run)
