"""Parts of the scripts in review/11 to review/15.

Starts a small deployment (three control processes, entries) from the build of the deploy file, with settings as
deploy/control.tmpl and deploy/front.tmpl give them, and the stand-ins of tests/proc/platform_kit.py. Writes record.txt
into the folder of the case. Exit codes: 10 the rule was broken, 0 it held, 2 the case could not run; run.sh turns 10 into
1, which is also what an interpreter that fails to start a case exits with.
"""
import os
import signal
import subprocess
import sys
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
os.environ["AUBURN_BIN_DIR"] = "target/bin"
sys.path.insert(0, os.path.join(ROOT, "tests", "proc"))
import platform_kit  # noqa: E402
from platform_kit import HOST, Kit, Proc, Replica  # noqa: E402,F401

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 112       # the whole case
GRACE_S = 8         # graceS of the small sites


class CannotRun(Exception):
    """The case did not get as far as what it judges."""


class SmallProc(Proc):
    def start(self):
        """Starts the command of the deploy file."""
        self.exit_expected = False
        with open(self.log, "a") as log:
            self.p = subprocess.Popen([os.path.join("target", "bin", self.program), "--config", self.path], cwd=ROOT,
                                      stdout=log, stderr=subprocess.STDOUT)


class SmallKit(Kit):
    """A small deployment: settings as the templates in deploy/ give them."""

    def make_control(self, name, ip, zone, bootstrap):
        p = super().make_control(name, ip, zone, bootstrap)
        s = dict(p.settings, _ip=ip, election_ms=250, tick_ms=10, replace_grace_ms=1500, snapshot_mib=16, memory_mib=300)
        del s["snapshot_entries"]
        return SmallProc(self, "auburn-control", name, zone, s)

    def make_front(self, name, zone):
        p = super().make_front(name, zone)
        return SmallProc(self, "auburn-front", name, zone,
                         dict(p.settings, _ip=p.ip, grace_s=GRACE_S, memory_mib=260, capacity=0.25))


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.f = open(os.path.join(folder, "record.txt"), "w")
        self.t0 = time.time()

    def __call__(self, text, *args):
        self.f.write("%8.3f  %s\n" % (time.time() - self.t0, text % args if args else text))
        self.f.flush()

    def at(self, t, text, *args):
        self.f.write("%8.3f  %s\n" % (t - self.t0, text % args if args else text))


def on_alarm(*_):
    raise CannotRun("time limit")


def run_case(folder, check):
    """check(record, kits) returns what broke the rule, or nothing; kits: a list to which it adds what it starts."""
    record, kits = Record(folder), []
    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, on_alarm)
    signal.alarm(LIMIT_S)
    code = 2
    try:
        record("the case begins, %s", "with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
        broken = check(record, kits)
        for line in broken:
            record("BROKEN: %s", line)
        record("the rule was %s", "broken" if broken else "kept")
        code = 10 if broken else 0
    except Exception as e:
        record("the case could not run: %s", str(e) or type(e).__name__)
        if not isinstance(e, CannotRun):
            traceback.print_exc()
    finally:
        signal.alarm(0)
        for k in kits:
            k.close()
    print("%s: %s" % (os.path.basename(folder), {0: "held", 10: "BROKEN", 2: "could not run"}[code]))
    sys.stdout.flush()
    os._exit(code)


def up(kit, record, **changes):
    """Submits the first config and waits until all entries are ready."""
    try:
        kit.up(**changes)
    except AssertionError as e:
        raise CannotRun("the deployment did not start") from e
    record("config version %d acknowledged, %d entries ready", kit.version, len(kit.fronts))


def submit(kit, record, **changes):
    version = kit.loop.run(kit.submit(**changes))
    if not version:
        raise CannotRun("a config was not acknowledged")
    tenants = [t["name"] for t in changes.get("tenants", [])]
    record("config version %d acknowledged, tenants: %s", version, ", ".join(tenants) or "none")
    return version


def open_lot(kit, record, front, lot, items, headers=()):
    """Sends the lot until it is accepted."""
    for _ in range(20):
        status = kit.loop.run(kit.open_lot(front, lot, items, headers))
        record("lot %s (%d items) sent to %s: %s", lot, len(items), front.name, status)
        if status == 202:
            return
        time.sleep(0.2)
    raise CannotRun("a lot was not accepted")


def read_lot(kit, record, front, lot, headers=(), note=""):
    """Reads the lot from the start, again after 503; returns the status and the results."""
    end = time.time() + 5
    while True:
        status, r = kit.loop.run(kit.read_lot(front, lot, 0, 0, headers))
        if status != 503 or time.time() > end:
            break
        time.sleep(0.1)
    results = r["results"] if r else []
    record("lot %s read at %s%s: %s%s", lot, front.name, note, status,
           ", %d of %d listed" % (len(results), r["total"]) if r else "")
    return status, results
