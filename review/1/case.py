"""Replicas crash while they read the prompts of a batch job whose shared part is new.

DOSE=all (default): all 12 replicas crash at once (srv_crash, how all). DOSE=share: 3 of 18, those that have the items,
at a moment at which online requests take all other slots (srv_crash, share 0.17).
"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import case_kit as case  # noqa: E402
from platform_kit import Replica  # noqa: E402
import platform_kit  # noqa: E402

SHARE = os.environ.get("DOSE", "all") == "share"
REPLICAS, SLOTS, ITEMS = (18, 1, 3) if SHARE else (12, 4, 10)
FIRST_EVENT_S = 0.8     # from an item's arrival at a replica to its first event: prompts wait there
ONLINE_S = 3.0          # that an online request of DOSE=share lasts
DOWN_S = 4.5            # for_s of srv_crash on the sheet
DEADLINE_S = 18         # deadlineS: what batch jobs have left after traffic has ended
FAILED_S = 20           # of the rule: items that failed at a replica so lately don't count
SHARED_PART = "5c1e07a2"

platform_kit.CRASH_S = DOWN_S


class ReadingReplica(Replica):
    def events_of(self, run):
        return int(ONLINE_S / platform_kit.EVENT_S) if run["target"].startswith("/alert/") else self.events

    async def stream(self, run, signed, reader, writer):
        """Reads an item's prompt before it answers; a crash ends that."""
        if run["target"].startswith("/digest/"):
            end = time.time() + FIRST_EVENT_S
            while time.time() < end:
                await asyncio.sleep(0.01)
                if writer.transport.is_closing():
                    run["end"] = "broken"
                    return False
        return await super().stream(run, signed, reader, writer)


case.Kit.replica_class = ReadingReplica


def body(k, record):
    k.up()
    lot, items = k.lot(ITEMS)
    ids = {x["id"] for x in items}
    for it in items:
        it["headers"]["Prompt-Prefix"] = "%s:100,%s:250" % (SHARED_PART, it["id"])

    async def play():
        online = [asyncio.ensure_future(k.stream(k.fronts[i % 2], "/alert/x", "on%02d" % i, parts="aa:100"))
                  for i in range(REPLICAS - ITEMS if SHARE else 0)]
        await asyncio.sleep(0.8)
        status = await k.open_lot(k.fronts[0], lot, items)
        record.line("batch job %s of %d items: %d" % (lot, ITEMS, status))
        assert status == 202
        end = time.time() + 3
        while len({r["id"] for r in k.runs if r["id"] in ids}) < ITEMS and time.time() < end:
            await asyncio.sleep(0.005)
        running = {r["replica"] for r in k.runs if r["id"] in ids}
        assert len({r["id"] for r in k.runs if r["id"] in ids}) == ITEMS, "not all items run"
        await asyncio.sleep(0.1)
        if case.TROUBLE:
            hit = [r for r in k.replicas if not SHARE or r.id in running]
            record.line("%d of %d replicas crash" % (len(hit), REPLICAS))
            await asyncio.gather(*(r.crash() for r in hit))
            record.line("they are back after %.1f s" % DOWN_S)
        answers = await asyncio.gather(*online)
        record.line("online requests: %s" % sorted(a[0] for a in answers))
        return time.time()

    ended = k.loop.run(play(), 60)
    results = []
    while time.time() < ended + max(DEADLINE_S, FAILED_S) + 1:
        results = k.loop.run(k.read_whole(lot, 1))
        if len(results) == ITEMS:
            break
    judged = time.time()
    listed = {r["id"]: r["state"] for r in results}
    for it in items:
        runs = k.runs_of(it["id"])
        record.line("item %s: listed as %s, %d runs, the last one began %.1f s ago" % (
            it["id"], listed.get(it["id"], "nothing"), len(runs), judged - runs[-1]["at"]))
    record.line("%.1f s after the end of traffic; replicas up: %d of %d" % (
        judged - ended, sum(r.state == "ready" for r in k.replicas), REPLICAS))
    # LOST, with its excuses: no run of the item in the last 20 s, and nothing else is at work.
    lost = [it["id"] for it in items if it["id"] not in listed and
            judged - k.runs_of(it["id"])[-1]["at"] > FAILED_S]
    for c in k.controls if lost else []:
        for x in c.log_text().splitlines():
            if "event=prompt_part_blocked" in x:
                record.line("log of %s: %s" % (c.name, x))
    if not case.TROUBLE:
        assert len(listed) == ITEMS
    return bool(lost)


case.main(HERE, body, fronts=2, replicas=REPLICAS, slots=SLOTS)
