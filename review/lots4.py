"""What review/12 and review/13 share: lots whose items get nowhere, judged by the LOST rule of batch jobs."""
import time

from kit4 import read_lot

DEADLINE_S = 18     # deadlineS: after traffic has ended, lots have this long
CALM_S, QUIET_S = 5, 3


def judge_unfinished(kit, record, lots, work, finished_at):
    """The rule as written: an item of an open lot is listed neither as completed nor as dead when deadlineS is over,
    though in the last 5 s no replica had an unlisted item and in the last 3 s no item was finished.

    work: [(item, replica, when its work began, when it ended)]. A run that its sender ends within a second does not
    count as had. finished_at: times at which replicas finished items."""
    now = time.time()
    broken = []
    had = [w for w in work if w[3] > now - CALM_S and w[3] - w[2] > 1]
    busy = sum(w[2] <= now < w[3] for w in work)
    finished = [t for t in finished_at if t > now - QUIET_S]
    record("in the last %d s replicas had items for over a second: %d; at work now: %d of %d places; finished in the last "
           "%d s: %d", CALM_S, len(had), busy, sum(r.slots for r in kit.replicas), QUIET_S, len(finished))
    for lot, items in lots:
        status, results = read_lot(kit, record, kit.fronts[0], lot)
        listed = {x["id"]: x["state"] for x in results}
        for x in items:
            record("item %s: %s", x["id"], listed.get(x["id"], "not listed"))
            if status == 200 and x["id"] not in listed and not had and not finished:
                broken.append("item %s of the open lot %s is listed neither as completed nor as dead" % (x["id"], lot))
    return broken
