"""The results of a batch job can't be read any more after its public route was removed."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import kit2  # noqa: E402

ITEMS = 4


async def run(kit):
    await kit.start(controls=3, fronts=2, replicas=2, slots=4, front_settings={"revoke_ms": 5000})
    tenants = [{"name": "tenant-1", "apiKeys": ["key-of-tenant-1"], "priority": 1, "ratePerS": 77, "burst": 77}]
    await kit.put_config(kit.config(7, [kit.stream_route(public=False), kit.batch_route(public=True)], slots=4,
                                    tenants=tenants))
    await kit.wait_ready()
    lot = "d0%08x" % int(time.time())
    accepted = time.time()
    await kit.open_lot_surely(lot, kit.items(lot, ITEMS))
    before = await read_whole(kit, lot, 10)
    if before is None or len(before) != ITEMS:
        raise kit2.CannotRun("the batch job was not done in time")
    await kit.put_config(kit.config(12, [kit.stream_route(public=False)] + (
        [] if kit2.TROUBLE else [kit.batch_route(public=True)]), slots=4, tenants=tenants))
    await asyncio.sleep(3)      # longer than applyMs, settleMs
    kit.record("the batch job was accepted %.1f s ago; statusTtlS is 120" % (time.time() - accepted))
    after = await read_whole(kit, lot, 12)
    if kit.unexpected_exits():
        raise kit2.CannotRun("processes ended: %s" % kit.unexpected_exits())
    if after is None:
        return ["LOST: for 12 s no entry lets the batch job be read, whose %d results had been read" % ITEMS]
    return ["LOST: position %d holds %r, %r before" % (i, after[i:i + 1], x) for i, x in enumerate(before)
            if after[i:i + 1] != [x]]


async def read_whole(kit, lot, s):
    """All results, read as the client did before, without a key; None if no entry gives them in s seconds."""
    end = time.time() + s
    i = 0
    while time.time() < end:
        i += 1
        st, r = await kit.read_lot(kit.fronts[i % len(kit.fronts)], lot)
        if st == 200 and len(r["results"]) == r["total"]:
            return r["results"]
        await asyncio.sleep(0.5)
    return None


kit2.main(run)
