"""`make demo`: starts a small fleet, does what callers and operators do, checks each answer."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "proc"))
import fleet as fl  # noqa: E402

counts = {"passed": 0, "failed": 0}


def step(name, fn):
    """Runs one step and prints a line for it; a step passes when fn gives something true."""
    start = time.monotonic()
    try:
        ok = fn()
        why = "" if ok else ": answer is not as expected"
    except Exception as e:  # a step that breaks is a failed step, the rest still runs
        ok, why = False, ": %s" % e
    counts["passed" if ok else "failed"] += 1
    print("%s %s (%.1f s)%s" % ("ok  " if ok else "FAIL", name, time.monotonic() - start, why), flush=True)
    return ok


def whole(body, tokens):
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
        return status == 200 and whole(body, 12)

    def again():
        status, headers, body = f.complete("brief-1", "Flood warning on the river Elbe", 12, entry=2)
        return status == 200 and headers.get("X-Auburn-Replay") == "1" and \
            fl.sse_text(body) == fl.sse_text(state["text"])

    def stored():
        r = fl.get_json(f.addr(1), "/v1/requests/brief-1", fl.bearer(fl.CALLER_KEY))
        return r["state"] == "done" and r["verdict"] == "ran"

    def conflict():
        return f.complete("brief-1", "another body", 12)[0] == 409

    def strangers():
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
        fl.wait_for("a stopped job", lambda: f.job("lot-2")["leased"] == 0 and f.job("lot-2")["dropped"] > 0)
        j = f.job("lot-2")
        return j["state"] == "cancelled" and j["done"] + j["failed"] + j["dropped"] == 400

    def quote():
        h = fl.bearer(fl.CALLER_KEY, "quote-1")
        first = fl.call(f.addr(), "POST", "/v1/services/quotes/send", '{"client":"abbot"}', h)
        second = fl.call(f.addr(1), "POST", "/v1/services/quotes/send", '{"client":"abbot"}', h)
        runs = fl.get_json(f.plain[0].settings["listen"], "/runs")
        return first[0] == 200 and second[0] == 200 and first[2] == second[2] and runs["total"] == 1

    def change():
        text = f.text.replace("retention_s = 3600", "retention_s = 7200")
        path = os.path.join(f.dir, "text.toml")
        with open(path, "w") as out:
            out.write(text)
        f.ctl("config", "check", path)
        f.ctl("config", "submit", path)
        f.wait_in_force(2)
        return "number 2" in f.ctl("config", "show") and f.ctl("config", "diff", path) == ""

    def everywhere():
        s = json.loads(f.ctl("status", "--json"))
        entries = [e["conf_number"] for e in s["entries"]]
        controls = [c["conf_number"] for c in s["controls"]]
        return entries == [2] * 3 and controls == [2] * 3

    def late_number():
        status, answer = f.try_submit(2, f.text + "\n# another text\n", 1)
        return status == 409 and answer["code"] == "number_taken"

    def bad_text():
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
        return status == 200 and whole(body, 10)

    def killed_leader():
        f.leader().kill()
        status, _, body = fl.wait_for("an answer", lambda: (lambda a: a if a[0] == 200 else None)(
            f.complete("brief-3", "The bridge is open again", 10, entry=1)))
        return status == 200 and whole(body, 10)

    def read_back():
        r = fl.wait_for("the first result", lambda: fl.get_json(f.addr(2), "/v1/requests/brief-1",
                                                                fl.bearer(fl.CALLER_KEY)))
        return r["state"] == "done"

    def stop():
        return f.entries[1].stop() == 0 and all(c.stop() == 0 for c in f.controls if c.alive())

    step("callers ask which addresses to use", addresses)
    step("a Brief is answered as a whole stream", brief)
    step("the same request again gets the stored result from another entry", again)
    step("the result is read under its key", stored)
    step("the same key with another body is refused", conflict)
    step("no key and a wrong key are refused", strangers)
    step("a job ends, its one impossible item fails", job)
    step("its results are read back", results)
    step("a cancelled job stops", cancel)
    step("a client quote runs once", quote)
    step("a changed text is checked, submitted and shown", change)
    step("its number is in force on every process", everywhere)
    step("another text under a taken number is refused", late_number)
    step("a text with an unknown key is refused", bad_text)
    step("explain tells what was decided", explain)
    step("entries and controls give metrics", metrics)
    step("an entry is killed, the next request is answered", killed_entry)
    step("the leader of the state is killed, requests are answered again", killed_leader)
    step("the first result is still there", read_back)
    step("processes stop as planned", stop)


def main():
    f = fl.Fleet()
    try:
        if step("a fleet starts: 3 controls, 3 entries, 2 engines, a plain service, the platform", lambda: f.start()):
            demo(f)
    finally:
        f.close()
    left = [p.name for p in f.procs if p.alive()]
    step("no process is left behind", lambda: not left)
    print("demo: %(passed)d passed, %(failed)d failed" % counts)
    return 0 if counts["failed"] == 0 else 1


sys.exit(main())
