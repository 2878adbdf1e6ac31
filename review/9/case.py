"""A tenant's burst is granted twice within a window: by the leader, and by the entries after the leader's loss."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import kit2  # noqa: E402

RATE, BURST = 77, 77                            # as in PROTOCOL's example of a tenant
WINDOW_S, OVER, SLACK = 5, 0.1, 20              # bounds of the sheet
MOST = (RATE * WINDOW_S + BURST) * (1 + OVER) + SLACK
KEY = [("Authorization", "Bearer key-of-tenant-1")]


async def run(kit):
    await kit.start(controls=3, fronts=2, replicas=12, slots=8, front_settings={"revoke_ms": 5000},
                    control_settings={"quota_window_s": WINDOW_S, "quota_over": OVER, "quota_slack": SLACK})
    for r in kit.replicas:
        r.events_of = lambda h: 3
    await kit.put_config(kit.config(7, [kit.stream_route()], slots=8, tenants=[
        {"name": "tenant-1", "apiKeys": ["key-of-tenant-1"], "priority": 1, "ratePerS": RATE, "burst": BURST}]))
    await kit.wait_ready()
    sent = {}       # request id: when it was sent
    tasks = []
    answers = []

    async def one(i):
        rid = "c%015x" % i
        sent[rid] = time.time()
        answers.append((await kit.request(kit.fronts[i % 2], "/ask/%d" % i, rid, headers=KEY))[0])

    def send(n=1):
        for _ in range(n):
            tasks.append(asyncio.ensure_future(one(len(tasks))))

    async def steadily(per_s, until):
        began, n = time.time(), 0
        while time.time() < until:
            while n < (time.time() - began) * per_s:
                send()
                n += 1
            await asyncio.sleep(0.005)

    send()
    await asyncio.sleep(2)      # the tenant sends nothing: its burst is whole
    began = time.time()
    send(BURST)
    await steadily(RATE * 0.97, began + 1.5)
    kit.record("answers so far:", {a: answers.count(a) for a in set(answers)})
    if kit2.TROUBLE:
        kit.kill_control(await kit.wait_leader())
        await asyncio.sleep(0.02)
    send(BURST)
    await steadily(RATE * 6, began + WINDOW_S)
    await asyncio.gather(*tasks)
    kit.record("all answers:", {a: answers.count(a) for a in set(answers)})
    stopped = [c for c in kit.controls if "lost" in c.__dict__]
    if kit.unexpected_exits(stopped):
        raise kit2.CannotRun("processes ended: %s" % kit.unexpected_exits(stopped))
    runs = sorted({a["id"]: (sent[a["id"]], a["at"]) for a in kit.arrivals if a["ran"]}.values())
    if len(runs) < RATE * 3:
        raise kit2.CannotRun("only %d requests ran" % len(runs))
    most, at = max((sum(1 for s, a in runs if s >= w and a < w + WINDOW_S), w) for w, _ in runs)
    kit.record("most in a window: %d, from %.3f on; allowed: %.1f" % (most, at - kit.began, MOST))
    return [] if most <= MOST else ["QUOTA: %d requests of the tenant ran within %d s, %.1f are allowed" % (
        most, WINDOW_S, MOST)]


kit2.main(run)
