"""Texts of items that several runs produced; the text of an event names its run, see run_order."""
import asyncio
import random
import re
import signal
import time
import unittest

import run_order
from test_platform import PlatformCase


class RunOrder(unittest.TestCase):
    """The check itself finds what breaks the order."""

    RUNS = [{"id": "x", "serial": 0, "after": 0}, {"id": "x", "serial": 1, "after": 2},
            {"id": "x", "serial": 2, "after": 1}]

    def text(self, *pieces):
        return "\n".join(run_order.event_text("x", n, run, self.RUNS[run]["after"]) for n, run in pieces)

    def test_change_of_run_at_its_last_event_id_is_sound(self):
        sound = self.text((1, 0), (2, 0), (3, 1), (4, 1))
        self.assertEqual(run_order.text_problems("x", sound, self.RUNS, 4), [])

    def test_each_way_to_break_the_order_is_found(self):
        for pieces in (((1, 0), (2, 0), (3, 2)),            # joined after another event than the run was asked with
                       ((1, 0), (2, 2), (3, 0)),            # back to an earlier run
                       ((1, 0), (3, 0)), ((1, 0), (1, 0)),  # missing, twice
                       ((2, 2), (3, 2)), ((3, 1),)):        # the first events are missing
            self.assertTrue(run_order.text_problems("x", self.text(*pieces), self.RUNS), pieces)
        sound = self.text((1, 0), (2, 0))
        self.assertTrue(run_order.text_problems("y", sound, self.RUNS))
        self.assertTrue(run_order.text_problems("x", sound, self.RUNS[1:]))
        self.assertTrue(run_order.text_problems("x", sound, self.RUNS, 3))
        self.assertTrue(run_order.text_problems("x", sound + "\nx-3", self.RUNS))

    def test_bytes_between_events_of_a_stream_are_found(self):
        event = "id: 1\ndata: %s\n\n" % self.text((1, 0))
        self.assertEqual(run_order.stream_problems("x", event, self.RUNS, 0, 1), [])
        for body in ("no" + event, event + "no", event.replace("id: 1", "id: 2")):
            self.assertTrue(run_order.stream_problems("x", body, self.RUNS))


class AdoptedRun(PlatformCase):
    """A run that another one overtook while its entry stood still is not joined to the other run's text."""
    kit_args = {"controls": 3, "fronts": 2, "replicas": 2, "slots": 2, "names_runs": True}
    EVENTS = 420  # 8.4 s

    def wait(self, what, condition, s=8):
        end = time.time() + s
        while not condition():
            self.assertLess(time.time(), end, what)
            time.sleep(0.02)

    def item_runs(self):
        """The entries to which leaders have given the item, in order."""
        lines = [x for c in self.kit.controls for x in c.log_text().splitlines() if "event=item_run " in x]
        lines.sort(key=lambda x: int(re.search(r"\bt=(\d+)", x).group(1)))
        return [re.search(r"\bentry=(\S+)", x).group(1) for x in lines]

    def test_text_of_an_overtaken_run_is_not_joined_to_that_of_the_other(self):
        k = self.kit
        for r in k.replicas:
            r.events = self.EVENTS
        lot, items = k.lot(1)
        item = items[0]["id"]
        self.assertEqual(self.run_one(k.open_lot(k.fronts[0], lot, items)), 202)
        self.wait("no run", self.item_runs)
        frozen = next(f for f in k.fronts if f.name == self.item_runs()[0])
        other = next(f for f in k.fronts if f is not frozen)
        time.sleep(1.3)     # longer than the period of reports
        frozen.signal(signal.SIGSTOP)
        self.wait("no second run", lambda: len(self.item_runs()) > 1)
        self.assertEqual(self.item_runs()[1], other.name)
        time.sleep(1.3)
        k.leader().stop()
        other.stop()
        frozen.signal(signal.SIGCONT)
        time.sleep(1.6)     # a new leader takes over the run of the entry that stood still
        for r in k.replicas:
            k.loop.loop.call_soon_threadsafe(r.cut_runs)
        time.sleep(0.4)
        for p in k.controls + k.fronts:
            p.stop()
        for p in k.controls + k.fronts:
            p.start()
        results = self.run_one(k.read_whole(lot, 25))
        self.assertEqual([r["state"] for r in results], ["completed"])
        self.assertEqual(run_order.text_problems(item, results[0]["output"], k.runs, self.EVENTS), [])
        serials = {run_order.parse(x).serial for x in run_order.pieces_of_text(results[0]["output"])}
        self.assertGreater(len(serials), 1)


class NoLeader(PlatformCase):
    """Guards against the loss of what a run produced before its entry stopped it for want of a leader."""
    kit_args = {"controls": 3, "fronts": 2, "replicas": 2, "slots": 2, "names_runs": True}
    EVENTS = 220  # 4.4 s

    def test_item_goes_on_after_the_last_event_of_a_run_that_was_stopped_without_a_leader(self):
        k = self.kit
        for r in k.replicas:
            r.events = self.EVENTS
        lot, items = k.lot(2)
        self.assertEqual(self.run_one(k.open_lot(k.fronts[0], lot, items)), 202)
        time.sleep(1.9)     # the second reports are due soon
        for c in k.controls:
            c.stop()
        time.sleep(1.5)     # longer than entries let items run without a leader
        first = {i["id"]: k.runs_of(i["id"])[0] for i in items}
        self.assertEqual([r["end"] for r in first.values()], ["left"] * 2)
        for c in k.controls:
            c.start()
        results = self.run_one(k.read_whole(lot, 20))
        self.assertEqual(len(results), 2)
        for r in results:
            self.assertEqual(run_order.text_problems(r["id"], r["output"], k.runs, self.EVENTS), [])
            asked = k.runs_of(r["id"])[1]["after"]
            print("sent %d events, asked to go on after %d" % (first[r["id"]]["sent"], asked))
            self.assertGreaterEqual(asked, first[r["id"]]["sent"] - 2)  # written while the connection was being closed


class Pauses(PlatformCase):
    """Replicas, entries and leaders stand still for a second or more, and go on where they were.

    Guards against streams and texts that go on with a run that was not asked with the last event, as when bytes that
    piled up are taken for those of another run.
    """
    kit_args = {"controls": 3, "fronts": 3, "replicas": 6, "slots": 8, "names_runs": True}
    EVENTS = 40
    PLAY_S = 13

    async def caller(self, seen):
        """Reads a stream to its end; resumes it at another entry, under another id, when it breaks off."""
        k, after = self.kit, 0
        for n in range(6):
            rid = self.rid()
            headers = [("Last-Event-Id", after)] if after else []
            timeout = random.choice((0.9, None))    # the impatient ones leave and resume
            st, _, body = await k.stream(random.choice(k.fronts), "/brief/1", rid, 5000, timeout, headers=headers)
            body = body.decode()
            whole = body[:body.rfind("\n\n") + 2] if "\n\n" in body else ""
            if st in (0, -200, 200):
                seen.append((rid, body if st == 200 else whole, after, st == 200))
                after = run_order.last_event(whole, after)
            if st == 200 or after == self.EVENTS:
                return
            await asyncio.sleep(0.2)

    async def pause_replicas(self, share, s):
        paused = random.sample(self.kit.replicas, round(share * len(self.kit.replicas)))
        for r in paused:
            r.paused = True
        await asyncio.sleep(s)
        for r in paused:
            r.paused = False

    async def pause_process(self, p, s):
        p.signal(signal.SIGSTOP)
        await asyncio.sleep(s)
        p.signal(signal.SIGCONT)

    async def trouble(self):
        k = self.kit
        for s, share in ((1.2, 1.0), (1.1, 0.6), (1.3, 1.0), (1.0, 0.6)):
            await asyncio.sleep(0.6)
            pause = asyncio.ensure_future(self.pause_replicas(share, s))
            await asyncio.sleep(0.3)
            put = asyncio.ensure_future(k.submit())
            leader = k.leader()
            if share < 1.0:
                await self.pause_process(random.choice(k.fronts), 1.0)
            elif leader:
                await self.pause_process(leader, 1.5)
            if share < 1.0:
                front = random.choice(k.fronts)
                front.stop()
                front.start()
            await pause
            await put

    def test_streams_and_texts_go_on_where_their_runs_were_asked_to(self):
        k, seen = self.kit, []
        for r in k.replicas:
            r.events = self.EVENTS
        lot, items = k.lot(24)

        async def go():
            self.assertEqual(await k.open_lot(k.fronts[0], lot, items), 202)
            trouble, callers, end = asyncio.ensure_future(self.trouble()), [], time.time() + self.PLAY_S
            while time.time() < end:
                callers.append(asyncio.ensure_future(self.caller(seen)))
                await asyncio.sleep(0.08)
            await asyncio.gather(trouble, *callers)
            return await k.read_whole(lot, 20)
        results = k.loop.run(go(), 90)
        for rid, body, after, complete in seen:
            self.assertEqual(run_order.stream_problems(rid, body, k.runs, after, self.EVENTS if complete else None), [])
        self.assertEqual(len(results), len(items))
        for r in results:
            self.assertEqual(run_order.text_problems(r["id"], r["output"], k.runs, self.EVENTS), [])
        resumed = sum(len(k.runs_of(rid)) > 1 for rid, *_ in seen)
        by_callers = sum(x[2] > 0 for x in seen)
        print("%d streams, %d complete, %d with more than one run, %d resumed by callers, %d of %d items with more than one "
              "run" % (len(seen), sum(x[3] for x in seen), resumed, by_callers,
                       sum(len(k.runs_of(i["id"])) > 1 for i in items), len(items)))
        self.assertGreater(by_callers, 0)
        self.assertGreater(resumed, 0)


if __name__ == "__main__":
    unittest.main()
