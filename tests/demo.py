"""`make demo`: starts a small fleet, sends the requests of callers and operators, and checks each answer."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "proc"))
import fleet as fl  # noqa: E402

counts = {"passed": 0, "failed": 0}


def step(name, fn):
    """Runs a step and prints a line for it; a step passes if fn returns a true value."""
    start = time.monotonic()
    try:
        ok = fn()
        reason = "" if ok else ": unexpected answer"
    except Exception as e:  # counts as failed; the other steps still run
        ok, reason = False, ": %s" % e
    counts["passed" if ok else "failed"] += 1
    print("%s %s (%.1f s)%s" % ("ok  " if ok else "FAIL", name, time.monotonic() - start, reason), flush=True)
    return ok


def is_complete(body, tokens):
    """Whether the event stream has each token once and ended without an error."""
    texts, done, error = fl.sse_texts(body)
    return done and not error and sorted(texts) == list(range(tokens)) and all(len(t) == 1 for t in texts.values())


def demo(f):
    state = {}

    def addresses():
        a = fl.get_json(f.addr(1), "/v1/addresses")
        state["addr"] = a["addresses"][0]["addr"]
        return len(a["addresses"]) == 3 and a["valid_ms"] > 0

    def brief():
        status, _, body = f.complete("brief-1", "Flood warning on the river Elbe", 12)
        state["text"] = body
        return status == 200 and is_complete(body, 12)

    def resend():
        status, headers, body = f.complete("brief-1", "Flood warning on the river Elbe", 12, entry=2)
        return status == 200 and headers.get("X-Auburn-Replay") == "1" and \
            fl.sse_text(body) == fl.sse_text(state["text"])

    def stored():
        r = fl.get_json(f.addr(1), "/v1/requests/brief-1", fl.bearer(fl.CALLER_KEY))
        return r["state"] == "done" and r["verdict"] == "ran"

    def key_conflict():
        return f.complete("brief-1", "another body", 12)[0] == 409

    def unauthorized():
        none = fl.call(f.addr(), "POST", "/v1/completions", "{}")[0]
        wrong = f.complete("x", caller="no-such-key")[0]
        return none == 401 and wrong == 401

    def job():
        items = [{"prompt": "Digest item %d" % i, "max_tokens": 6} for i in range(60)]
        items[7]["prompt"] += " {never}"
        status, _, body = f.submit_job("lot-1", items)
        if status != 202:
            raise ValueError("status %d: %s" % (status, body))
        fl.wait_for("end of the job", lambda: f.job("lot-1")["done"] + f.job("lot-1")["failed"] == 60)
        j = f.job("lot-1", entry=1)
        return j["done"] == 59 and j["failed"] == 1

    def results():
        out = [json.loads(x) for x in f.ctl("job", "results", "lot-1").splitlines()]
        return len(out) == 60 and sum(r["state"] == "done" for r in out) == 59

    def cancel():
        items = [{"prompt": "Long item %d" % i, "max_tokens": 400} for i in range(400)]
        if f.submit_job("lot-2", items, entry=1)[0] != 202:
            return False
        f.ctl("job", "cancel", "lot-2")
        fl.wait_for("end of the cancelled job", lambda: f.job("lot-2")["leased"] == 0 and f.job("lot-2")["dropped"] > 0)
        j = f.job("lot-2")
        return j["state"] == "cancelled" and j["done"] + j["failed"] + j["dropped"] == 400

    def plain_call():
        headers = fl.bearer(fl.CALLER_KEY, "quote-1")
        first = fl.call(f.addr(), "POST", "/v1/services/quotes/send", '{"client":"abbot"}', headers)
        second = fl.call(f.addr(1), "POST", "/v1/services/quotes/send", '{"client":"abbot"}', headers)
        runs = fl.get_json(f.plain[0].settings["listen"], "/runs")
        return first[0] == 200 and second[0] == 200 and first[2] == second[2] and runs["total"] == 1

    def config_change():
        text = f.text.replace("retention_s = 3600", "retention_s = 7200")
        path = os.path.join(f.dir, "text.toml")
        with open(path, "w") as out:
            out.write(text)
        f.ctl("config", "check", path)
        f.ctl("config", "submit", path)
        f.wait_in_force(2)
        return "number 2" in f.ctl("config", "show") and f.ctl("config", "diff", path) == ""

    def config_everywhere():
        s = json.loads(f.ctl("status", "--json"))
        entries = [e["conf_number"] for e in s["entries"]]
        controls = [c["conf_number"] for c in s["controls"]]
        return entries == [2] * 3 and controls == [2] * 3

    def taken_number():
        status, answer = f.try_submit(2, f.text + "\n# another text\n", 1)
        return status == 409 and answer["code"] == "number_taken"

    def invalid_config():
        path = os.path.join(f.dir, "bad.toml")
        with open(path, "w") as out:
            out.write(f.text + "\nunknown_key = 1\n")
        p = f.ctl_run("config", "check", path)
        return p.returncode == 1 and "unknown_key" in p.stderr

    def explain():
        out = f.ctl("explain", "brief-1")
        return "event=span" in out and "brief-1" in out

    def metrics():
        text = fl.call(f.addr(), "GET", "/metrics")[2].decode()
        control = fl.call(f.controls[0].settings["http"], "GET", "/metrics")[2].decode()
        return "auburn_" in text and "auburn_" in control

    def killed_entry():
        f.entries[0].kill()
        status, _, body = f.complete("brief-2", "A bridge is closed", 10, entry=1)
        return status == 200 and is_complete(body, 10)

    def killed_leader():
        f.leader().kill()
        status, _, body = fl.wait_for("completion", lambda: (lambda a: a if a[0] == 200 else None)(
            f.complete("brief-3", "The bridge is open again", 10, entry=1)))
        return status == 200 and is_complete(body, 10)

    def read_back():
        r = fl.wait_for("first result", lambda: fl.get_json(f.addr(2), "/v1/requests/brief-1",
                                                                fl.bearer(fl.CALLER_KEY)))
        return r["state"] == "done"

    def stop():
        return f.entries[1].stop() == 0 and all(c.stop() == 0 for c in f.controls if c.alive())

    step("callers read the addresses of the entries", addresses)
    step("a completion is answered with a complete stream", brief)
    step("a resend to another entry is answered with the stored result", resend)
    step("the result can be read by its key", stored)
    step("another body under the same key is refused", key_conflict)
    step("a missing and a wrong key are refused", unauthorized)
    step("a job ends, and its one invalid item fails", job)
    step("the results of the job can be read", results)
    step("a cancelled job stops", cancel)
    step("a call to a plain service runs once", plain_call)
    step("a changed config is checked, submitted and shown", config_change)
    step("the number of the config is in force on every process", config_everywhere)
    step("another config under a taken number is refused", taken_number)
    step("a config with an unknown key is refused", invalid_config)
    step("auburnctl explain shows the decisions on a request", explain)
    step("entries and control processes serve metrics", metrics)
    step("an entry is killed, and another entry answers the next request", killed_entry)
    step("the leader is killed, and requests are answered again", killed_leader)
    step("the first result is still stored", read_back)
    step("processes exit with status 0 after SIGTERM", stop)


def main():
    f = fl.Fleet()
    try:
        if step("a fleet starts: 3 control processes, 3 entries, 2 engines, a plain service, the platform",
                lambda: f.start()):
            demo(f)
    finally:
        f.close()
    left = [p.name for p in f.procs if p.alive()]
    step("no process is left running", lambda: not left)
    print("demo: %(passed)d passed, %(failed)d failed" % counts)
    return 0 if counts["failed"] == 0 else 1


sys.exit(main())
