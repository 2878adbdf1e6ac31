"""Common parts of the scripts of case 7: a small deployment with the settings of the deploy templates, a record
of what was sent, answered and run, and the exit code.

Replicas, the upstream list, callers and the operator are those of tests/proc/platform_kit.py.
"""
import os
import sys
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
os.environ["AUBURN_BIN_DIR"] = "target/bin"     # as the deploy file builds and names them
sys.path.insert(0, os.path.join(ROOT, "tests", "proc"))
import platform_kit  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class Kit(platform_kit.Kit):
    """As platform_kit.Kit, with the settings that deploy/control.tmpl and deploy/front.tmpl give."""
    store_mb, front_mb = 280, 260   # the machines of further/arsis-fatture.toml

    def make_control(self, name, ip, zone, bootstrap):
        p = self.port
        return platform_kit.Proc(self, "auburn-control", name, zone, {
            "_ip": ip, "name": name, "zone": zone, "listen": "%s:%d" % (ip, p),
            "data": os.path.join(self.dir, name), "controls": self.seeds, "rpc_port": p, "link_port": p + 1,
            "operators": "%s:%d" % (ip, p + 2), "upstream_list": self.list_addr, "tolerate": 1,
            "bootstrap": bootstrap, "ledger_groups": 0, "replace_grace_ms": 1500, "snapshot_mib": 16,
            "memory_mib": self.store_mb, "election_ms": 250, "tick_ms": 10, "http": "%s:%d" % (ip, p + 4)})

    def make_front(self, name, zone):
        p = super().make_front(name, zone)
        p.settings.update(memory_mib=self.front_mb, capacity=0.25, grace_s=8)
        p.write_settings()
        return p


class Record:
    def __init__(self, folder):
        self.f = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.time()

    def __call__(self, text):
        line = "%7.2f  %s" % (time.time() - self.start, text)
        print(line, flush=True)
        self.f.write(line + "\n")
        self.f.flush()


def play(folder, make_kit, case):
    """Runs case(kit, record), which returns whether the rule was broken, and exits with the code that stands for it."""
    record = Record(folder)
    code = NOT_RUN
    kit = None
    if not os.access(os.path.join(ROOT, "target", "bin", "auburn-control"), os.X_OK):
        record("target/bin/auburn-control is not built")
        sys.exit(NOT_RUN)
    try:
        kit = make_kit()
        record("trouble: %s; zones %s; controls %s; fronts %s; replicas %s" % (
            TROUBLE, kit.zones, [c.name for c in kit.controls], [f.name for f in kit.fronts],
            [r.id for r in kit.replicas]))
        kit.up()
        code = BROKEN if case(kit, record) else HELD
    except Exception:   # the case could not run
        record("did not run:\n" + traceback.format_exc())
    finally:
        if kit:
            kit.close()
    record("exit %d: %s" % (code, {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "not run"}[code]))
    sys.exit(code)
