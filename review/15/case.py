"""A config brings the first tenants, and a later one has none: are the lots that were accepted before still there?"""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from kit4 import TROUBLE, CannotRun, SmallKit, open_lot, read_lot, run_case, submit, up  # noqa: E402

APPLY_S = 3.5       # applyMs is 2,000 to 3,000; contactMs 3,000
ADA = {"name": "ada", "apiKeys": ["first-test-value"], "ratePerS": 0, "burst": 0}
KEY = [("Authorization", "Bearer first-test-value")]


def finish(kit, record, lot, n, headers):
    """Waits until all items are listed."""
    end = time.time() + 15
    while time.time() < end:
        status, results = read_lot(kit, record, kit.fronts[0], lot, headers)
        if status == 200 and len(results) == n:
            return
        time.sleep(0.5)
    raise CannotRun("lot %s was not finished" % lot)


def judge(kit, record, lot, headers, note, broken):
    """LOST: a machine in touch answers 404 or 410 for a lot, later than settleMs after it was accepted."""
    for front in kit.fronts:
        status, _ = read_lot(kit, record, front, lot, headers, note)
        if status in (404, 410):
            broken.append("%s answers %d for the accepted lot %s%s" % (front.name, status, lot, note))


def check(record, kits):
    kit = SmallKit(fronts=2, replicas=3)
    kits.append(kit)
    up(kit, record)
    broken = []
    keyed = KEY if TROUBLE else []

    lot, items = kit.lot(3)
    open_lot(kit, record, kit.fronts[0], lot, items)
    finish(kit, record, lot, len(items), [])
    submit(kit, record, **({"tenants": [ADA]} if TROUBLE else {"extra": "added"}))
    time.sleep(APPLY_S)
    # Where the config has tenants, a client's calls on lots bring a key of its tenant.
    judge(kit, record, lot, keyed, " with a key of the tenant" if TROUBLE else "", broken)
    if TROUBLE:
        read_lot(kit, record, kit.fronts[0], lot, [], " without a key (not judged)")

    lot, items = kit.lot(3)
    open_lot(kit, record, kit.fronts[0], lot, items, keyed)
    finish(kit, record, lot, len(items), keyed)
    submit(kit, record)
    time.sleep(APPLY_S)
    judge(kit, record, lot, [], " without a key, as the config has no tenants", broken)
    if TROUBLE:
        read_lot(kit, record, kit.fronts[0], lot, keyed, " with the key (not judged)")
    for r in kit.runs:
        record.at(r["at"], "item %s ran at %s, end: %s", r["id"], r["replica"], r["end"])
    return broken


run_case(FOLDER, check)
