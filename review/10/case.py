"""An entry that has just started passes on the Tenant and the key that a client wrote among an item's headers."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import kit2  # noqa: E402

TENANTS = 12000   # customers, as letter 1 plans
RESTARTS = 5
DOWN_S = 2.0


async def run(kit):
    await kit.start(controls=3, fronts=2, replicas=6, slots=8, front_settings={"revoke_ms": 5000},
                    control_settings={"quota_window_s": 5, "quota_over": 0.1, "quota_slack": 20})
    for r in kit.replicas:
        r.events_of = lambda h: 4 + int(h["request-id"][-2:], 16) % 17
    tenants = [{"name": "tenant%05d" % i, "apiKeys": ["key-of-tenant-%05d" % i], "priority": 1, "ratePerS": 77,
                "burst": 77} for i in range(TENANTS)]
    await kit.put_config(kit.config(7, [kit.stream_route(), kit.batch_route()], slots=8, tenants=tenants))
    await kit.wait_ready()
    owner, other = "tenant00003", "tenant00004"
    key = [("Authorization", "Bearer key-of-tenant-00003")]
    ids = set()
    for n in range(20):
        lot = "b%02d%08x" % (n, int(time.time()))
        items = kit.items(lot, 200)
        for x in items:
            x["headers"].update({"Tenant": other, "Authorization": key[0][1]})
        ids |= {x["id"] for x in items}
        await kit.open_lot_surely(lot, items, headers=key)
    for _ in range(RESTARTS):
        await asyncio.sleep(1)
        front = kit.fronts[0]
        if kit2.TROUBLE:
            front.kill()
            await asyncio.sleep(DOWN_S)
            front.start()
    await asyncio.sleep(2)
    runs = [a for a in kit.arrivals if a["id"] in ids and a["ran"]]
    if len(runs) < 50:
        raise kit2.CannotRun("only %d runs of items" % len(runs))
    if kit.unexpected_exits():
        raise kit2.CannotRun("processes ended: %s" % kit.unexpected_exits())
    kit.record(len(runs), "runs of items")
    return ["UNASKED: %s ran item %s with Tenant %r, and %s key; the client's key is that of %s" % (
        a["replica"], a["id"], a["headers"].get("tenant"), "the" if "authorization" in a["headers"] else "no", owner)
        for a in runs if a["headers"].get("tenant") != owner or "authorization" in a["headers"]]


kit2.main(run)
