"""A store machine that is being emptied loses its disk, becomes a voter again and is removed as completed."""
import json
import os
import re
import shutil
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from kit3 import Kit, TROUBLE, play  # noqa: E402

DOWN_S = 1          # of a machine that loses its disk
SYNC_S = 4.7        # bound syncS: a machine counts as lost until then after it is back
FREEZE_S = 3.2
EMPTY_S = 10        # durationS of the order
RECOVERY_S = 12     # bound recoveryS
WATCHED_S = 25      # after the last machine is back


def leader_of(kit):
    begins = [(int(re.search(r"t=(\d+)", line).group(1)), i) for i, c in enumerate(kit.controls)
              for line in c.log_text().splitlines() if "event=dispatch_begins" in line]
    return kit.controls[max(begins)[1]]


class Operator:
    def __init__(self, kit, record):
        self.kit, self.record = kit, record

    def call(self, method, target, via, s, body=b""):
        """Asks the machines in turn until one answers 200; returns the body, None after `s` seconds."""
        end = time.time() + s
        answers = []
        while time.time() < end:
            for c in via:
                status, _, got = self.kit.loop.run(
                    self.kit.call(c.ip, self.kit.port + 2, method, target, [], body, 2))
                answers.append(status)
                if status == 200:
                    self.record("%s %s at %s: 200" % (method, target, c.name))
                    return got
            time.sleep(0.2)
        self.record("%s %s: %s" % (method, target, {a: answers.count(a) for a in sorted(set(answers))}))
        return None


def lose_disk(kit, control):
    control.stop()
    control.exit_expected = True
    shutil.rmtree(os.path.join(kit.dir, control.name))
    control.settings["bootstrap"] = False
    control.write_settings()


def case(kit, record):
    op = Operator(kit, record)
    time.sleep(2)
    leader, spare = leader_of(kit), kit.controls[3]     # three of the four vote
    emptied, other = [c for c in kit.controls[:3] if c is not leader]
    record("voters: %s (leads), %s, %s; %s does not vote yet" % (leader.name, emptied.name, other.name, spare.name))
    ordered = time.time()
    assert op.call("POST", "/retire/%s/start" % emptied.name, kit.controls, 4, b'{"durationS":%d}' % EMPTY_S) is not None
    rest = [leader, other, spare]
    if TROUBLE:
        time.sleep(0.1)
        lose_disk(kit, emptied)
        record("%s loses its disk" % emptied.name)
        time.sleep(DOWN_S)
        emptied.start()
        record("%s is back, empty" % emptied.name)
        time.sleep(SYNC_S + 0.8)
        other.freeze()
        record("%s freezes" % other.name)
        time.sleep(FREEZE_S)
        other.signal(signal.SIGCONT)
        record("%s wakes" % other.name)
        time.sleep(SYNC_S + 0.8)
    time.sleep(max(0, ordered + EMPTY_S - time.time()))
    version = kit.loop.run(kit.submit())
    record("POST /config/put version %d: acknowledged" % version)
    lot, items = kit.lot(6)
    status = kit.loop.run(kit.open_lot(kit.fronts[0], lot, items))
    record("POST lot %s: %d" % (lot, status))
    assert version and status == 202
    state = op.call("GET", "/retire/%s/get" % emptied.name, rest, 4)
    record("state of %s: %s" % (emptied.name, state))
    if not state or json.loads(state)["state"] != "completed":
        return False
    lose_disk(kit, emptied)
    record("%s is removed, with its disk" % emptied.name)
    lose_disk(kit, spare)
    record("%s loses its disk" % spare.name)
    time.sleep(DOWN_S)
    spare.start()
    record("%s is back, empty; %s and %s ran all the while" % (spare.name, leader.name, other.name))
    back = time.time()
    got = op.call("GET", "/config/get", rest, WATCHED_S)
    held = json.loads(got)["version"] if got else None
    status, _ = kit.loop.run(kit.read_lot(kit.fronts[0], lot))
    record("%.0f s after it is back (recoveryS is %d): acknowledged version %d, read back: %s; GET lot: %d" % (
        time.time() - back, RECOVERY_S, version, held, status))
    return held is None or held < version


play(HERE, lambda: Kit(controls=4, fronts=3, replicas=6), case)
