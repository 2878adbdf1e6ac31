"""Starts a small fleet of real processes on loopback addresses, for tests, the demo and the bench."""
import http.client
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BIN = os.environ.get("AUBURN_BIN", os.path.join(ROOT, "build", "bin"))
WAIT_S = 60
CALLER_KEY = "caller-key-desk"
CALLER2_KEY = "caller-key-paper"
OPERATOR_KEY = "operator-key-0001"
PEER_KEY = "peer-key-of-the-fleet"

TEXT = """\
retention_s = 3600
address_ttl_s = 2

[[service]]
name = "sammandrag-llm"
kind = "engine"
latency_weight = 0.5
slots = 8
stall_ms = 2000
online_deadline_ms = 10000
checks_fencing = true

[[service]]
name = "quotes"
kind = "plain"
repeatable = false
depends = ["sammandrag-llm"]
"""


def net(offset=0):
    """Prefix of loopback addresses, derived from the process id so that tests can run side by side."""
    pid = os.getpid() + offset * 7919
    return "127.%d.%d." % (10 + pid // 250 % 200, pid % 250)


def wait_for(what, fn, seconds=WAIT_S, pause=0.05):
    """Polls fn until it returns a true value, and returns that; raises AssertionError after `seconds`."""
    end = time.monotonic() + seconds
    last = None  # value or exception of the last poll
    while time.monotonic() < end:
        try:
            last = fn()
            if last:
                return last
        except (OSError, http.client.HTTPException, ValueError, KeyError, subprocess.CalledProcessError) as e:
            last = e
        time.sleep(pause)
    raise AssertionError("no %s within %d s, last seen: %r" % (what, seconds, last))


def toml(values):
    """Formats settings as TOML; a list of dicts becomes an array of tables."""
    out, tables = [], []
    for k, v in values.items():
        if isinstance(v, list) and v and isinstance(v[0], dict):
            for t in v:
                tables.append("[[%s]]\n%s" % (k, toml(t)))
        elif isinstance(v, dict):
            tables.append("[%s]\n%s" % (k, toml(v)))
        else:
            out.append("%s = %s" % (k, json.dumps(v)))
    return "\n".join(out + tables) + "\n"


def call(addr, method, path, body=None, headers=None, timeout=30):
    """Sends an HTTP request; returns (status, headers, body bytes)."""
    host, port = addr.rsplit(":", 1)
    c = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        c.request(method, path, body=body, headers=headers or {})
        r = c.getresponse()
        return r.status, dict(r.getheaders()), r.read()
    finally:
        c.close()


def bearer(key, idempotency_key=None, **headers):
    """Request headers with a bearer key; `_` in the name of a further header stands for `-`."""
    h = {"Authorization": "Bearer " + key}
    if idempotency_key:
        h["Idempotency-Key"] = idempotency_key
    h.update({k.replace("_", "-"): str(v) for k, v in headers.items()})
    return h


def get_json(addr, path, headers=None):
    status, _, body = call(addr, "GET", path, headers=headers)
    if status != 200:
        raise ValueError("%s%s: status %d: %s" % (addr, path, status, body[:300]))
    return json.loads(body)


def sse_texts(body):
    """Parses an event stream: ({token index: texts}, whether [DONE] was received, error event or None)."""
    texts, done, error, event = {}, False, None, None
    for line in body.decode().split("\n"):
        if line.startswith("event: "):
            event = line[7:]
        elif line.startswith("data: "):
            data = line[6:]
            if data == "[DONE]":
                done = True
            elif event == "error":
                error = json.loads(data)
            else:
                o = json.loads(data)
                texts.setdefault(o["index"], []).append(o["choices"][0]["text"])
        elif not line:
            event = None
    return texts, done, error


def sse_text(body):
    """The concatenated text of an event stream."""
    texts = sse_texts(body)[0]
    return "".join(t for i in sorted(texts) for t in texts[i])


class Proc:
    """A process with its settings file and log."""

    def __init__(self, fleet, program, name, settings, args=()):
        self.fleet, self.program, self.name, self.settings = fleet, program, name, settings
        self.args, self.env = list(args), {}
        self.bin = BIN  # folder of the build that it is started from
        self.path = os.path.join(fleet.dir, name + ".toml")
        self.log = os.path.join(fleet.dir, name + ".log")
        self.p = None

    def start(self, args=None):
        with open(self.path, "w") as f:
            f.write(toml(self.settings))
        argv = [os.path.join(self.bin, self.program), "--config", self.path] + (self.args if args is None else args)
        with open(self.log, "ab") as log:
            self.p = subprocess.Popen(argv, stdout=log, stderr=log, env=dict(os.environ, **self.env))
        return self

    def alive(self):
        return self.p is not None and self.p.poll() is None

    def kill(self):
        if self.alive():
            self.p.send_signal(signal.SIGCONT)
            self.p.kill()
            self.p.wait()

    def stop(self, seconds=WAIT_S):
        """Sends SIGTERM and waits; returns the exit code."""
        if self.alive():
            self.p.send_signal(signal.SIGTERM)
        return self.p.wait(seconds)

    def freeze(self):
        self.p.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.p.send_signal(signal.SIGCONT)

    def log_lines(self, needle=""):
        """The log lines that contain `needle`."""
        with open(self.log, errors="replace") as f:
            return [x.rstrip("\n") for x in f if needle in x]


class Fleet:
    """Control processes, entries, engines, plain services and a platform; close() ends all of them.

    `engine`, `control` and `entry` are settings that override the defaults of these processes.
    """

    def __init__(self, controls=3, entries=3, engines=2, plain=1, spares=0, text=TEXT, zones=3, engine=None,
                 control=None, entry=None, offset=0, groups=2):
        self.dir = tempfile.mkdtemp(prefix="auburn-")
        self.net, self.text, self.groups = net(offset), text, groups
        self.zones = ["se-mid-%s" % "abcdefg"[i] for i in range(zones)]
        self.procs, self.links = [], {}
        self.control_addrs = [self.net + "%d:7100" % (11 + i) for i in range(controls)]
        self.spare_addrs = [self.net + "%d:7100" % (31 + i) for i in range(spares)]
        self.platform = self.add("auburn-fake-platform", "platform", {"listen": self.net + "9:7900", "lag_ms": 50})
        self.engines = [self.make_engine(i, engine) for i in range(engines)]
        self.plain = [self.add("auburn-fake-service", "plain-%d" % (i + 1), {"listen": self.net + "%d:7800" % (190 + i)})
                      for i in range(plain)]
        self.controls = [self.make_control(i, a, control) for i, a in enumerate(self.control_addrs + self.spare_addrs)]
        self.entries = [self.make_entry(i, entry) for i in range(entries)]

    def zone(self, i):
        return self.zones[i % len(self.zones)]

    def add(self, program, name, settings, args=()):
        p = Proc(self, program, name, settings, args)
        self.procs.append(p)
        return p

    def make_engine(self, i, overrides):
        s = {"listen": self.net + "%d:7700" % (100 + i), "name": "engine-%d" % (i + 1), "slots": 8, "step_base_us": 5000,
             "step_per_stream_us": 200, "prefill_us_per_token": 20, "report_lag_ms": 200, "seed": i + 1}
        s.update(overrides or {})
        return self.add("auburn-fake-engine", "engine-%d" % (i + 1), s)

    def make_control(self, i, addr, overrides):
        s = {"name": "control-%d" % (i + 1), "zone": self.zone(i), "listen": addr, "http": addr.replace(":7100", ":7180"),
             "data": os.path.join(self.dir, "control-%d.data" % (i + 1)), "controls": self.control_addrs,
             "spares": self.spare_addrs, "ledger_groups": self.groups,
             "platform": "http://%s/v1/vms" % self.platform.settings["listen"], "lease_ms": 2000,
             "platform_poll_ms": 200}
        s.update(overrides or {})
        return self.add("auburn-control", "control-%d" % (i + 1), s,
                        ["--bootstrap"] if addr in self.control_addrs else [])

    def make_entry(self, i, overrides):
        ip = self.net + "%d" % (51 + i)
        s = {"name": "entry-%d" % (i + 1), "zone": self.zone(i), "listen": ip + ":7000", "peer": ip + ":7001",
             "peer_key": PEER_KEY, "controls": self.control_addrs + self.spare_addrs, "ledger_groups": self.groups,
             "caller": [{"name": "desk", "key": CALLER_KEY}, {"name": "paper", "key": CALLER2_KEY}],
             "operator": [{"name": "ops", "key": OPERATOR_KEY}]}
        s.update(overrides or {})
        return self.add("auburn-entry", "entry-%d" % (i + 1), s)

    def vms(self, leaving=()):
        """The platform's list of all engines and plain services."""
        out = []
        for i, e in enumerate(self.engines):
            out.append({"id": e.name, "addr": e.settings["listen"], "zone": self.zone(i), "service": "sammandrag-llm",
                        "state": "leaving" if e.name in leaving else "live"})
        for i, p in enumerate(self.plain):
            out.append({"id": p.name, "addr": p.settings["listen"], "zone": self.zone(i), "service": "quotes",
                        "state": "leaving" if p.name in leaving else "live"})
        return out

    def set_vms(self, vms):
        status, _, body = call(self.platform.settings["listen"], "PUT", "/v1/vms", json.dumps({"vms": vms}))
        assert status == 200, body

    def start(self, submit=True):
        """Starts all processes and, with `submit`, brings the first config into force."""
        for p in [self.platform] + self.engines + self.plain:
            p.start()
        wait_for("platform", lambda: call(self.platform.settings["listen"], "GET", "/v1/vms")[0] == 200)
        self.set_vms(self.vms())
        for p in self.controls + self.entries:
            p.start()
        if submit:
            self.wait_sessions()
            self.submit(1, self.text)
            self.wait_in_force(1)
            self.wait_owned()
        return self

    def addr(self, i=0):
        """Address of entry i for callers."""
        return self.entries[i].settings["listen"]

    def status(self, i=0):
        """Status of entry i, as operators read it."""
        return get_json(self.addr(i), "/v1/status", bearer(OPERATOR_KEY))

    def wait_sessions(self):
        for i, e in enumerate(self.entries):
            if e.alive():
                wait_for("session of " + e.name, lambda i=i: self.status(i)["session"] > 0)

    def submit(self, number, text, entry=0):
        """Submits a config until the answer is final; returns (status, answer)."""
        return wait_for("final answer to the config", lambda: self.try_submit(number, text, entry))

    def try_submit(self, number, text, entry=0):
        """Submits a config once; returns None if the answer leaves the outcome open."""
        status, _, body = call(self.addr(entry), "PUT", "/v1/config?number=%d" % number, text, bearer(OPERATOR_KEY))
        return (status, json.loads(body)) if status in (200, 400, 409, 422) else None

    def wait_in_force(self, number):
        for i, e in enumerate(self.entries):
            if e.alive():
                wait_for("config %d at %s" % (number, e.name), lambda i=i: self.status(i)["conf_number"] >= number)

    def wait_owned(self):
        """Waits until each running engine is owned by a running entry."""
        def owned():
            owned_ids = set()
            for i, e in enumerate(self.entries):
                if e.alive():
                    owned_ids |= {u["id"] for u in self.status(i)["upstreams"] if u["owned_here"]}
            return {e.name for e in self.engines if e.alive()} <= owned_ids
        wait_for("owners of all engines", owned)

    def control_status(self):
        """Status of each control process by name, from auburnctl; unreachable ones are omitted."""
        out = self.ctl("status", "--json")
        return {c["name"]: c for c in json.loads(out)["controls"] if c.get("name")}

    def leader(self, group=0):
        """The control process that leads the group in the highest term, or None."""
        best = None
        for name, c in self.control_status().items():
            for g in c.get("groups", []):
                if g["group"] == group and g["leader"] and (best is None or g["term"] > best[1]):
                    best = (name, g["term"])
        return next((p for p in self.controls if best and p.name == best[0]), None)

    def ctl_settings(self):
        """Writes auburnctl's settings file; returns its path."""
        path = os.path.join(self.dir, "ctl.toml")
        with open(path, "w") as f:
            f.write(toml({"entries": [e.settings["listen"] for e in self.entries],
                          "controls": self.control_addrs + self.spare_addrs, "key": CALLER_KEY,
                          "operator_key": OPERATOR_KEY}))
        return path

    def ctl_run(self, *args, stdin=None):
        """Runs auburnctl; returns the CompletedProcess."""
        return subprocess.run([os.path.join(BIN, "auburnctl"), "--config", self.ctl_settings()] + list(args),
                              capture_output=True, text=True, input=stdin, timeout=120)

    def ctl(self, *args, stdin=None):
        """Runs auburnctl, which must succeed; returns its output."""
        p = self.ctl_run(*args, stdin=stdin)
        if p.returncode != 0:
            raise ValueError("auburnctl %s: exit %d: %s" % (" ".join(args), p.returncode, p.stderr))
        return p.stdout

    def complete(self, key, prompt="en vers", tokens=8, entry=0, caller=CALLER_KEY, timeout=60, **headers):
        """Sends a completion under an idempotency key; returns (status, headers, body)."""
        body = json.dumps({"model": "sammandrag-llm", "prompt": prompt, "max_tokens": tokens, "stream": True})
        return call(self.addr(entry), "POST", "/v1/completions", body, bearer(caller, key, **headers), timeout)

    def submit_job(self, job, items, entry=0, deadline_ms=600000, caller=CALLER_KEY):
        body = "".join(json.dumps(i) + "\n" for i in items)
        return call(self.addr(entry), "POST", "/v1/jobs?service=sammandrag-llm&deadline_ms=%d" % deadline_ms, body,
                    bearer(caller, job), 120)

    def job(self, job, entry=0, caller=CALLER_KEY):
        return get_json(self.addr(entry), "/v1/jobs/" + job, bearer(caller))

    def start_relay(self, name, listen, target, port=7990):
        """Starts a TCP relay in front of `target`; set_relay_mode sets its mode."""
        control = "%s:%d" % (listen.rsplit(":", 1)[0], port)
        p = self.add("auburn-relay", name, {"listen": listen, "target": target, "control": control})
        p.start()
        wait_for("relay", lambda: call(control, "GET", "/mode")[0] == 200)
        return p

    def set_relay_mode(self, relay, mode, ms=0):
        status, _, body = call(relay.settings["control"], "POST", "/mode", json.dumps({"mode": mode, "ms": ms}))
        assert status == 200, body

    def route_controls(self):
        """Puts a relay on each link between control processes, and from the entries to each; call before start()."""
        port = 7200
        for b in self.controls:
            target = b.settings["listen"]
            for a in self.controls + [None]:
                if a is b:
                    continue
                name = "relay-%s-%s" % (a.name if a else "entries", b.name)
                port += 1
                r = self.start_relay(name, self.net + "200:%d" % port, target, port + 700)
                self.links[(a.name if a else None, b.name)] = r
                if a:
                    a.settings.setdefault("routes", []).append("%s=%s" % (target, r.settings["listen"]))
            entry_side = self.links[(None, b.name)].settings["listen"]
            for e in self.entries:
                e.settings["controls"] = [entry_side if x == target else x for x in e.settings["controls"]]

    def set_link(self, a, b, mode):
        """Sets the mode of the link from a to b, names of control processes; a is None for all entries."""
        self.set_relay_mode(self.links[(a, b)], mode)

    def cut(self, name, mode="cut"):
        """Sets the mode of all links of a control process; by default cuts them, so that no bytes pass."""
        for (a, b) in self.links:
            if name in (a, b):
                self.set_link(a, b, mode)

    def heal(self, name):
        """Ends the partition of a control process."""
        self.cut(name, "pass")

    def close(self, keep=False):
        for p in reversed(self.procs):
            p.kill()
        if not keep and not os.environ.get("AUBURN_KEEP"):
            shutil.rmtree(self.dir, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.close()
