"""What the scripts share: the kit of tests/proc with the build of the deploy file, the record, and the verdict."""
import os
import signal
import sys
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
os.environ["AUBURN_BIN_DIR"] = "target/bin"
sys.path.insert(0, os.path.join(ROOT, "tests", "proc"))
import platform_kit as pk  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2    # 10, as Python ends with 1 by itself; run.sh turns it into 1
GRACE_S = 8     # graceS of the small sites
ELECTION_MS = 250   # as in deploy/control.tmpl


class Kit(pk.Kit):
    """A small deployment with the settings of the deploy file's templates."""

    def before_start(self):
        for f in self.fronts:
            f.settings["grace_s"] = GRACE_S
            f.write_settings()
        for c in self.controls:
            c.settings.update(election_ms=ELECTION_MS, snapshot_mib=16, memory_mib=300)
            del c.settings["snapshot_entries"]
            c.write_settings()


class OutOfTime(Exception):
    pass


def end_early(sig, frame):
    raise OutOfTime("the time limit of run.sh was reached")


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.f = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.time()

    def line(self, text, at=None):
        self.f.write("%8.3f %s\n" % ((at or time.time()) - self.began, text))
        self.f.flush()

    def runs(self, kit):
        for r in kit.runs:
            self.line("run id=%r replica=%s target=%s after=%d sent=%d end=%s" % (
                r["id"], r["replica"], r["target"], r["after"], r["sent"], r["end"]), r["at"])


def main(folder, body, **options):
    """Runs body(kit, record), which returns True if the rule was broken; exits with the verdict."""
    record = Record(folder)
    record.line("trouble=%d" % TROUBLE)
    signal.signal(signal.SIGTERM, end_early)
    kit, code = None, COULD_NOT_RUN
    try:
        kit = Kit(**options)
        code = BROKEN if body(kit, record) else HELD
    except Exception:
        record.line("the case could not run: " + traceback.format_exc())
    finally:
        if kit:
            record.runs(kit)
            gone = kit.unexpected_exits()
            if gone:
                record.line("processes that ended by themselves: %s" % gone)
            kit.close()
    record.line({HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "could not run"}[code])
    record.f.close()
    sys.stdout.flush()
    os._exit(code)
