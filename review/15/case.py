"""Many large lots of legal size at once take the control processes over the memory of their machines."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from kit3 import Kit, TROUBLE, play  # noqa: E402

CLIENTS = 6
ITEMS, BODY = (200, 14600) if TROUBLE else (10, 14600)     # 3.9 MB in base64, or as on the sheet
FLOOD_S, AFTER_S = 12, 12
PAUSE_S = 0 if TROUBLE else 2       # of a client between two lots
REFUSED_PAUSE_S = 0.5               # after a refusal
RESTART_S = 0.5                     # after which the platform starts a process again


def private_mb(p):
    """Private memory of a process in MiB, without files and shared pages; 0 if it does not run."""
    try:
        with open("/proc/%d/status" % p.p.pid) as f:
            return int(dict(x.split(":", 1) for x in f)["RssAnon"].split()[0]) / 1024
    except (OSError, KeyError):
        return 0


async def platform(kit, record, end, kills, peak):
    """Kills a process that uses more than the memory of its machine, and starts it again."""
    async def start_later(p):
        await asyncio.sleep(RESTART_S)
        p.start()
    while time.time() < end:
        for p in kit.controls + kit.fronts:
            limit = kit.store_mb if p in kit.controls else kit.front_mb
            mb = private_mb(p)
            peak[p.name] = max(peak.get(p.name, 0), mb)
            if mb > limit:
                kills.append(p.name)
                record("%s uses %.0f MiB of %d and is killed" % (p.name, mb, limit))
                p.stop()
                asyncio.ensure_future(start_later(p))
        await asyncio.sleep(0.02)


async def client(kit, n, end, answers):
    while time.time() < end:
        lot, items = kit.lot(ITEMS, body=os.urandom(BODY))
        status = await kit.open_lot(kit.fronts[n % len(kit.fronts)], lot, items)
        answers.setdefault(status, []).append(lot)
        await asyncio.sleep(PAUSE_S if status == 202 else REFUSED_PAUSE_S)


async def flood(kit, record):
    kills, peak, answers = [], {}, {}
    end = time.time() + FLOOD_S
    await asyncio.gather(platform(kit, record, end + AFTER_S, kills, peak),
                         *[client(kit, n, end, answers) for n in range(CLIENTS)])
    record("answers to lots: %s" % {s: len(v) for s, v in sorted(answers.items())})
    record("most memory in MiB: %s" % {k: round(v) for k, v in peak.items()})
    return kills, answers.get(202, [])


def case(kit, record):
    time.sleep(1.5)
    record("%d clients send lots of %d items of %d bytes for %d s" % (CLIENTS, ITEMS, BODY, FLOOD_S))
    kills, lots = kit.loop.run(flood(kit, record), 100)
    status, _, _ = kit.loop.run(kit.stream(kit.fronts[0], "/brief/1", "last"))
    unread = [x for x in lots if kit.loop.run(kit.read_lot(kit.fronts[0], x))[0] != 200]
    record("afterwards: an ordinary request gets %d; %d of %d accepted lots can't be read" % (status, len(unread), len(lots)))
    record("processes that ended by their memory: %s" % kills)
    controls = [n for n in kills if n.startswith("control")]
    return len(set(controls)) * 2 >= len(kit.controls) and len(controls) >= 3


play(HERE, lambda: Kit(controls=3, fronts=4, replicas=6, slots=8), case)
