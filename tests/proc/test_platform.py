"""End-to-end tests of auburn-control and auburn-front (called entries here) with simulated replicas, upstream list and
callers, in the formats that platform/ converts.

The test classes cover online requests, faults, leaving replicas, duplicate answers, planned stops, paused entries,
memory, configs, lots, retirement and settings. Requests to /brief/ may be resumed on another replica; those to /alert/
run at most once.
"""
import asyncio
import os
import random
import shutil
import signal
import subprocess
import tempfile
import time
import unittest

from platform_kit import BIN, HOST, Kit


class PlatformCase(unittest.TestCase):
    kit_args = {}

    def setUp(self):
        self.kit = Kit(**self.kit_args)
        self.addCleanup(self.kit.close)
        self.kit.up()

    def run_all(self, *coros):
        async def go():
            return await asyncio.gather(*coros)
        return self.kit.loop.run(go())

    def run_one(self, coro):
        return self.kit.loop.run(coro)

    def rid(self):
        return "%016x" % random.getrandbits(64)


class Online(PlatformCase):
    """Online requests, with replicas that break off, fall silent, are full or leave.

    Guards against streams with lost, repeated or delayed events, requests that run twice, and slots that leak.
    """

    def test_stream_passes_unchanged(self):
        rid = self.rid()
        s, h, b = self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1?q=2", rid))
        self.assertEqual(s, 200)
        self.kit.check_stream(rid, b)
        self.assertEqual(h["signature"], "sig-" + rid)
        run, = self.kit.runs_of(rid)
        self.assertEqual((run["target"], run["body"], run["model"], run["method"]),
                         ("/brief/1?q=2", b"body of " + rid.encode(), "m", "POST"))
        self.assertLessEqual(int(run["wait"]), 5000)

    def test_events_are_passed_on_one_by_one(self):
        rid, events = self.rid(), []
        self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", rid, events=events))
        self.assertGreaterEqual(len(events), 8)

    def test_unknown_routes_are_404(self):
        s, _, _ = self.run_one(self.kit.stream(self.kit.fronts[0], "/nothing/1", self.rid()))
        self.assertEqual(s, 404)

    def test_concurrent_requests_never_exceed_the_slots_of_a_replica(self):
        rids = [self.rid() for _ in range(12)]
        got = self.run_all(*[self.kit.stream(self.kit.fronts[i % 2], "/brief/1", r) for i, r in enumerate(rids)])
        for rid, (s, _, b) in zip(rids, got):
            self.assertEqual(s, 200)
            self.kit.check_stream(rid, b)
        for r in self.kit.replicas:
            spans = [(x["at"], x["ended"]) for x in self.kit.runs if x["replica"] == r.id]
            for at, _ in spans:
                self.assertLessEqual(sum(a <= at < e for a, e in spans), r.slots)

    def test_broken_stream_resumes_on_another_replica_after_the_last_event(self):
        self.kit.replicas[0].break_after = self.kit.replicas[1].break_after = self.kit.replicas[2].break_after = 4
        rid = self.rid()
        s, _, b = self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", rid))
        self.assertEqual(s, 0)  # both attempts broke, so the entry breaks off its own answer
        self.assertEqual([r["after"] for r in self.kit.runs_of(rid)], [0, 3])
        for r in self.kit.replicas:
            r.break_after = None
        self.kit.replicas[0].break_after = 4
        for _ in range(12):
            rid = self.rid()
            s, _, b = self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", rid))
            self.assertEqual(s, 200)
            self.kit.check_stream(rid, b)
            if len(self.kit.runs_of(rid)) == 2:
                self.assertEqual(self.kit.runs_of(rid)[1]["after"], 3)
                self.assertNotEqual(*[r["replica"] for r in self.kit.runs_of(rid)])
                return
        self.fail("no request reached the replica that breaks off")

    def test_stream_without_length_that_ends_within_an_event_is_resumed(self):
        for r in self.kit.replicas:
            r.unframed = True
        rid = self.rid()
        s, _, b = self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", rid))
        self.assertEqual(s, 200)
        self.kit.check_stream(rid, b)
        self.assertEqual(len(self.kit.runs_of(rid)), 1)
        self.kit.replicas[0].end_within = 4
        for _ in range(12):
            rid = self.rid()
            s, _, b = self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", rid))
            self.assertEqual(s, 200)
            self.kit.check_stream(rid, b)
            if len(self.kit.runs_of(rid)) == 2:
                self.assertEqual(self.kit.runs_of(rid)[1]["after"], 3)
                return
        self.fail("no request reached the replica that ends within an event")

    def test_stream_moves_away_from_a_silent_replica_within_the_silence_timeout(self):
        silent = self.kit.replicas[0]
        silent.silent_after = 4
        moved = 0
        for _ in range(12):
            rid, events = self.rid(), []
            s, _, b = self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", rid, events=events))
            self.assertEqual(s, 200)
            self.kit.check_stream(rid, b)
            if len(self.kit.runs_of(rid)) == 2:
                moved += 1
                gaps = [b[0] - a[0] for a, b in zip(events, events[1:])]
                self.assertLess(max(gaps), 0.4)
                first, second = self.kit.runs_of(rid)
                self.assertLess(first["ended"] - second["at"], 0.4)
        self.assertGreater(moved, 0)

    def test_unresumable_request_runs_once(self):
        for r in self.kit.replicas:
            r.break_after = 4
        rid = self.rid()
        s, _, _ = self.run_one(self.kit.stream(self.kit.fronts[0], "/alert/1", rid))
        self.assertEqual(s, 0)
        self.assertEqual(len(self.kit.runs_of(rid)), 1)

    def test_full_replicas_are_skipped_and_a_refused_request_never_runs(self):
        self.kit.replicas[0].full = self.kit.replicas[1].full = True
        rid = self.rid()
        s, _, b = self.run_one(self.kit.stream(self.kit.fronts[0], "/alert/1", rid))
        self.assertEqual(s, 200)
        self.kit.check_stream(rid, b)
        self.kit.replicas[2].full = True
        rid = self.rid()
        s, h, _ = self.run_one(self.kit.stream(self.kit.fronts[0], "/alert/1", rid))
        self.assertEqual(s, 503)
        self.assertGreater(float(h["retry-after"]), 0)
        for r in self.kit.replicas:
            r.full = False
        time.sleep(0.5)
        self.assertEqual(self.kit.runs_of(rid), [])

    def test_requests_that_replicas_reject_release_their_slots(self):
        """If rejected requests kept their slots, the requests after them would find none free."""
        k = self.kit
        slots = sum(r.slots for r in k.replicas)

        async def without_id():
            return (await k.call(k.fronts[0].ip, k.port, "POST", "/brief/1",
                                 [("Host", HOST), ("Deadline-Ms", 3000)], b"x", 4))[0]
        self.assertEqual(self.run_all(*[without_id() for _ in range(slots)]), [400] * slots)
        for _ in range(slots):
            rid = self.rid()
            s, _, b = self.run_one(k.stream(k.fronts[0], "/brief/1", rid))
            self.assertEqual(s, 200)
            k.check_stream(rid, b)

    def test_disconnect_of_the_caller_ends_the_run(self):
        for r in self.kit.replicas:
            r.events = 200
        rid = self.rid()
        disconnect_time = time.time() + 0.3
        self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", rid, timeout=0.3))
        time.sleep(0.6)
        run, = self.kit.runs_of(rid)
        self.assertEqual(run["end"], "left")
        self.assertLess(run["ended"] - disconnect_time, 0.5)

    def test_draining_replica_gets_no_new_requests(self):
        draining = self.kit.replicas[0]
        draining.state = "draining"
        time.sleep(2.2)
        n = len(self.kit.runs)
        for _ in range(8):
            self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", self.rid()))
        self.assertNotIn(draining.id, [r["replica"] for r in self.kit.runs[n:]])

    def test_requests_are_served_although_another_replica_reuses_an_address(self):
        """The list showed the old replica; the new one answers 421 to requests that are addressed to the old id."""
        self.kit.replicas[0].id = "i-other"
        for _ in range(6):
            s, _, _ = self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", self.rid()))
            self.assertEqual(s, 200)


class FewSlots(PlatformCase):
    """Guards against a request that fails because no other slot is free at the moment when its replica is lost."""
    kit_args = {"replicas": 2, "slots": 1}

    def test_request_that_lost_its_replica_waits_for_a_slot(self):
        k = self.kit
        for r in k.replicas:
            r.events = 40

        async def go():
            first = asyncio.ensure_future(k.stream(k.fronts[0], "/brief/1", self.rid()))
            while not k.runs:
                await asyncio.sleep(0.01)
            for r in k.replicas:
                r.break_after = None if r.id == k.runs[0]["replica"] else 1
            other = await k.stream(k.fronts[0], "/brief/1", self.rid())
            return await first, other
        for s, _, _ in self.run_one(go()):
            self.assertEqual(s, 200)


class Faults(PlatformCase):
    """Loss of the leader, of all processes, of the upstream list, or of the disks of the seeds, under load.

    Guards against streams that depend on the leader while they run, and against processes that can't find each other or
    the replicas again.
    """
    kit_args = {"fronts": 3}

    def start_load(self, seconds, path="/brief/1"):
        """Starts streams at all entries in turn; the future's result lists (id, status, body, seconds, start time)."""
        async def go():
            got, n, end = [], 0, time.time() + seconds

            async def send(f, rid):
                started = time.time()
                s, _, b = await self.kit.stream(f, path, rid)
                got.append((rid, s, b, time.time() - started, started))
            tasks = []
            while time.time() < end:
                tasks.append(asyncio.ensure_future(send(self.kit.fronts[n % len(self.kit.fronts)], self.rid())))
                n += 1
                await asyncio.sleep(0.06)
            await asyncio.gather(*tasks)
            return got
        return asyncio.run_coroutine_threadsafe(go(), self.kit.loop.loop)

    def check(self, got):
        """Served streams are complete; refused requests never ran."""
        for rid, s, b, _, _ in got:
            if s == 200:
                self.kit.check_stream(rid, b)
            if s in (429, 503):
                self.assertEqual(self.kit.runs_of(rid), [], rid)

    def test_killed_or_frozen_leader_interrupts_no_stream(self):
        for sig in (signal.SIGKILL, signal.SIGSTOP):
            leader = self.kit.leader()
            f = self.start_load(3)
            time.sleep(1)
            leader.signal(sig)
            got = f.result(30)
            self.check(got)
            bad = [(s, d) for _, s, _, d, _ in got if s != 200 or d > 2]
            self.assertEqual(bad, [])
            leader.signal(signal.SIGCONT)
            if sig == signal.SIGKILL:
                leader.p.wait()
                leader.start()
            time.sleep(2)

    def test_all_control_processes_recover_from_a_kill_within_3_s(self):
        for c in self.kit.controls:
            c.stop()
        for c in self.kit.controls:
            c.start()
        started = time.time()
        self.assertTrue(self.run_one(self.kit.submit(extra="new")))
        self.assertLess(time.time() - started, 3)
        self.assertEqual(self.run_one(self.kit.read_config(self.kit.controls[0]))["version"], self.kit.acked_version)

    def test_fleet_serves_again_after_a_kill_of_all_processes(self):
        for p in self.kit.controls + self.kit.fronts:
            p.stop()
        for p in self.kit.controls + self.kit.fronts:
            p.start()
        self.run_one(self.kit.wait_ready())
        rid = self.rid()
        s, _, b = self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", rid))
        self.assertEqual(s, 200)
        self.kit.check_stream(rid, b)

    def test_planned_stop_of_an_entry_interrupts_no_stream(self):
        front = self.kit.fronts[0]
        f = self.start_load(2)
        time.sleep(1)
        front.signal(signal.SIGTERM)
        time.sleep(0.3)
        self.assertFalse(self.run_one(self.kit.ready(front)))
        self.assertNotIn("%s:%d" % (front.ip, self.kit.port),
                         self.run_one(self.kit.directory_addresses(self.kit.fronts[1])))
        got = f.result(30)
        self.check(got)
        self.assertEqual([s for _, s, _, _, _ in got if s != 200], [])
        self.assertEqual(front.p.wait(8), 0)

    def test_upstream_list_outage_interrupts_no_stream(self):
        self.kit.upstream_list_down = True
        got = self.start_load(3).result(30)
        self.check(got)
        self.assertEqual([s for _, s, _, _, _ in got if s != 200], [])

    def test_new_leader_has_the_replicas_during_an_upstream_list_outage(self):
        """A leader that had to read the list first would refuse all requests until the outage ends."""
        f = self.start_load(3)
        time.sleep(1)
        self.kit.upstream_list_down = True
        self.kit.leader().signal(signal.SIGKILL)
        got = f.result(30)
        self.check(got)
        self.assertEqual([s for _, s, _, _, _ in got if s != 200], [])

    def test_seeds_that_lost_their_disks_refer_entries_to_the_leader(self):
        """Restarted entries have only the addresses of the seeds, none of which is a member any more."""
        for i in range(3):
            ip = self.kit.next_ip()
            c = self.kit.make_control("extra-%d" % i, ip, self.kit.zones[i], False)
            c.start()
            self.kit.controls.append(c)
        old = self.kit.controls[:3]
        for c in old:
            time.sleep(4)
            c.stop()
        time.sleep(5)
        for c in old:
            shutil.rmtree(c.kit.dir + "/" + c.name)
            with open(c.path) as f:
                text = f.read().replace("bootstrap = true", "bootstrap = false")
            with open(c.path, "w") as f:
                f.write(text)
        for p in self.kit.fronts + self.kit.controls[3:]:
            p.stop()
        for p in self.kit.fronts + self.kit.controls:
            p.start()
        self.run_one(self.kit.wait_ready())
        self.assertEqual(self.run_one(self.kit.stream(self.kit.fronts[0], "/brief/1", self.rid()))[0], 200)


class LeavingReplica(PlatformCase):
    """A replica announces in its answers that it leaves, while the upstream list still shows it as ready.

    Guards against new requests to it after an entry has received the announcement: entries that didn't receive it, a
    new leader, or a restarted entry could still select the replica by the list.
    """
    kit_args = {"controls": 3, "fronts": 3, "replicas": 3, "slots": 4}

    def send_all(self, n, path="/brief/1"):
        """Sends n concurrent requests to all entries in turn, which must be served; returns their ids."""
        rids = [self.rid() for _ in range(n)]
        got = self.run_all(*[self.kit.stream(self.kit.fronts[i % 3], path, r) for i, r in enumerate(rids)])
        for rid, (s, _, b) in zip(rids, got):
            self.assertEqual(s, 200)
            self.kit.check_stream(rid, b)
        return rids

    def announce_leaving(self, replica):
        """Sends requests until one got the announcement; returns the time after that."""
        replica.announces_leaving = True
        for _ in range(20):
            if any(r["replica"] == replica.id for x in self.send_all(3) for r in self.kit.runs_of(x)):
                return time.time()
        self.fail("no request reached the leaving replica")

    def restart_entries(self):
        """Restarts one entry after the other, each once the one before is ready."""
        for f in self.kit.fronts:
            f.stop()
            f.start()
            self.run_one(self.kit.wait_ready([f]))

    def runs_since(self, replica, t):
        """The runs that the replica has begun after time t."""
        return [r for r in self.kit.runs if r["replica"] == replica.id and r["at"] > t]

    def test_all_entries_stop_using_it(self):
        leaving = self.kit.replicas[0]
        t = self.announce_leaving(leaving)
        for _ in range(4):
            self.send_all(6)
        self.assertEqual(self.runs_since(leaving, t), [])

    def test_items_run_on_other_replicas(self):
        leaving = self.kit.replicas[0]
        t = self.announce_leaving(leaving)
        lot, items = self.kit.lot(20)
        self.assertEqual(self.run_one(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        self.assertEqual(len(self.run_one(self.kit.read_whole(lot))), 20)
        self.assertEqual(self.runs_since(leaving, t), [])

    def test_announcement_in_the_answer_to_an_item_counts(self):
        leaving = self.kit.replicas[0]
        leaving.announces_leaving = True
        for r in self.kit.replicas[1:]:
            r.full = True
        lot, items = self.kit.lot(1)
        self.assertEqual(self.run_one(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        self.run_one(self.kit.read_whole(lot))
        t = time.time()
        for r in self.kit.replicas[1:]:
            r.full = False
        for _ in range(4):
            self.send_all(6)
        self.assertEqual(self.runs_since(leaving, t), [])

    def test_entry_remembers_the_announcement_without_a_leader(self):
        leaving = self.kit.replicas[0]
        t = self.announce_leaving(leaving)
        for c in self.kit.controls:
            c.stop()
        time.sleep(2.5)  # without a leader, entries now read the list themselves, which shows the replica as ready
        notified = [f for f in self.kit.fronts if "event=replica_leaves" in f.log_text()]
        self.assertGreater(len(notified), 0)
        for _ in range(6):
            rids = [self.rid() for _ in range(4)]
            for s, _, _ in self.run_all(*[self.kit.stream(notified[0], "/brief/1", r) for r in rids]):
                self.assertEqual(s, 200)
        self.assertEqual(self.runs_since(leaving, t), [])

    def test_new_leader_learns_of_it_from_the_entries(self):
        """Only the lost leader and the entries had the announcement; the list that the new leader reads lacks it."""
        leaving = self.kit.replicas[0]
        t = self.announce_leaving(leaving)
        leader = self.kit.leader()
        leader.signal(signal.SIGKILL)
        leader.p.wait()
        time.sleep(2)
        leader.start()
        for _ in range(4):
            self.send_all(6)
        self.assertEqual(self.runs_since(leaving, t), [])

    def test_restarted_entries_do_not_use_it_again(self):
        """Each entry loses the announcement with its restart, so the leader must still have it."""
        leaving = self.kit.replicas[0]
        t = self.announce_leaving(leaving)
        self.restart_entries()
        for _ in range(4):
            self.send_all(6)
        self.assertEqual(self.runs_since(leaving, t), [])

    def test_new_leader_knows_it_although_the_entries_were_restarted(self):
        """No entry has the announcement any more when the leader is lost: the other control processes must have it."""
        leaving = self.kit.replicas[0]
        t = self.announce_leaving(leaving)
        self.restart_entries()
        leader = self.kit.leader()
        leader.signal(signal.SIGKILL)
        leader.p.wait()
        time.sleep(2)
        for _ in range(4):
            self.send_all(6)
        self.assertEqual(self.runs_since(leaving, t), [])

    def test_replica_restarted_under_its_id_is_used_again(self):
        """Its later start time shows that the announcement was made by the previous process."""
        leaving = self.kit.replicas[0]
        self.announce_leaving(leaving)
        leaving.announces_leaving = False
        leaving.start_time += 5000
        end = time.time() + 5
        t = time.time()
        while not self.runs_since(leaving, t):
            self.assertLess(time.time(), end)
            self.send_all(6)


class DuplicateAnswers(PlatformCase):
    """A replica sends an answer a second time on a keep-alive connection, which may carry the next request by then.

    Guards against entries that take the duplicate for the answer to that request and pass it to another caller.
    """
    kit_args = {"controls": 1, "fronts": 1, "replicas": 2}

    def count_served(self, kind, path):
        """Sends 12 requests with this kind of duplicates; none may get a wrong answer. Returns the number served."""
        for r in self.kit.replicas:
            r.duplicate_answer = kind
        served = 0
        for _ in range(12):
            rid = self.rid()
            s, h, b = self.run_one(self.kit.stream(self.kit.fronts[0], path, rid))
            if s == 200:
                self.kit.check_stream(rid, b)
                self.assertEqual(h["signature"], "sig-" + rid)
                served += 1
            else:
                self.assertEqual(b, b"")
            if s in (429, 503):
                self.assertEqual(self.kit.runs_of(rid), [])
        return served

    def test_duplicate_with_the_request_id(self):
        self.assertEqual(self.count_served("with id", "/brief/1"), 12)

    def test_duplicate_without_a_request_id(self):
        self.assertGreater(self.count_served("without id", "/brief/1"), 0)

    def test_truncated_duplicate(self):
        self.assertGreater(self.count_served("cut", "/brief/1"), 0)

    def test_duplicate_before_the_next_request(self):
        self.assertEqual(self.count_served("at once", "/brief/1"), 12)

    def test_unresumable_requests_meet_no_duplicate(self):
        """They can't be retried, so all 12 are served only if none is sent on a connection that carries a duplicate."""
        for kind in ("with id", "without id", "cut", "at once"):
            self.assertEqual(self.count_served(kind, "/alert/1"), 12, kind)

    def test_items_get_their_own_text(self):
        for kind in ("with id", "without id", "cut", "at once"):
            for r in self.kit.replicas:
                r.duplicate_answer = kind
            lot, items = self.kit.lot(12)
            self.assertEqual(self.run_one(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
            for x in self.run_one(self.kit.read_whole(lot)):
                self.assertEqual(x["output"], "\n".join("%s-%d" % (x["id"], n) for n in range(1, 11)))


class PlannedStop(PlatformCase):
    """An entry or a control process is stopped with SIGTERM while requests arrive.

    Guards against connections that are accepted and then closed without an answer because the process exits: callers go
    on using an entry until it no longer listens.
    """
    kit_args = {"controls": 3, "fronts": 2, "replicas": 3, "slots": 8}

    def setUp(self):
        super().setUp()
        self.front = self.kit.fronts[0]

    async def post(self, path, rid, pause_at=None, pause_s=0, body=b"x" * 200):
        """Sends a request, with a pause after pause_at bytes; returns (connected, all was sent, answer bytes)."""
        try:
            reader, writer = await asyncio.open_connection(self.front.ip, self.kit.port)
        except OSError:
            return False, False, b""
        head = "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n"
        m = (head % (path, HOST, rid, len(body))).encode() + body
        got, sent = b"", False
        try:
            writer.write(m[:pause_at])
            if pause_at is not None:
                await writer.drain()
                await asyncio.sleep(pause_s)
                writer.write(m[pause_at:])
            await writer.drain()
            sent = True
            while not got.endswith(b"0\r\n\r\n") and b"Content-Length: 0" not in got:
                piece = await asyncio.wait_for(reader.read(65536), 5)
                if not piece:
                    break
                got += piece
        except (OSError, asyncio.TimeoutError):
            pass
        writer.transport.abort()
        return True, sent, got

    def assert_complete_answer(self, got):
        self.assertRegex(got, rb"^HTTP/1.1 (200|503|504) ")
        self.assertTrue(got.endswith(b"0\r\n\r\n") or b"Content-Length: 0" in got, got[-200:])

    def test_requests_are_answered_until_the_listener_is_closed(self):
        async def go():
            tasks, started = [], time.time()
            while self.front.p.poll() is None and time.time() - started < 8:
                tasks.append(asyncio.ensure_future(self.post("/alert/1", self.rid())))
                if len(tasks) == 50:
                    self.front.signal(signal.SIGTERM)
                await asyncio.sleep(0.01)  # a rate somewhat below the capacity of the replicas
            return await asyncio.gather(*tasks)
        got = self.kit.loop.run(go(), 30)
        self.assertIsNotNone(self.front.p.poll())
        connected = [x for x in got if x[0]]
        self.assertGreater(len(connected), 150)
        for _, sent, answer in connected:
            self.assertTrue(sent)
            self.assert_complete_answer(answer)

    def test_slow_request_body_is_read_and_answered(self):
        """The rest of the body arrives 2.6 s after its beginning, while the entry is stopping."""
        async def go():
            slow = [asyncio.ensure_future(self.post("/brief/1", self.rid(), 150 + i, 2.6)) for i in range(20)]
            await asyncio.sleep(0.1)
            self.front.signal(signal.SIGTERM)
            return await asyncio.gather(*slow)
        for connected, _, answer in self.kit.loop.run(go(), 30):
            self.assertTrue(connected)
            self.assert_complete_answer(answer)

    def test_lot_that_waits_for_its_commit_is_answered(self):
        """The control processes are frozen, so the outcome is open while the entry stops."""
        async def go():
            for c in self.kit.controls:
                c.signal(signal.SIGSTOP)
            lot, items = self.kit.lot(3)
            opening = asyncio.ensure_future(self.kit.open_lot(self.front, lot, items))
            await asyncio.sleep(0.05)
            self.front.signal(signal.SIGTERM)
            await asyncio.sleep(1)
            for c in self.kit.controls:
                c.signal(signal.SIGCONT)
            return await opening
        self.assertIn(self.kit.loop.run(go(), 30), (202, 503, 504))

    def test_requests_on_400_idle_connections_during_the_stop(self):
        """Connections that were idle when the stop began may already have a request in their socket buffer."""
        async def go():
            conns = [await asyncio.open_connection(self.front.ip, self.kit.port) for _ in range(400)]
            rids = [self.rid() for _ in conns]
            head = "POST /nothing/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n"
            for i, (_, w) in enumerate(conns):
                if i == 200:
                    self.front.signal(signal.SIGTERM)
                m = (head % (HOST, rids[i])).encode()
                w.write(m + m if i % 2 else m)  # every other connection pipelines a second request
            answers = []
            for r, w in conns:
                answers.append(await asyncio.wait_for(r.readline(), 5))
                w.transport.abort()
            return answers
        for a in self.kit.loop.run(go(), 30):
            self.assertTrue(a.startswith(b"HTTP/1.1 404"), a)

    def test_operator_call_to_a_stopping_follower_of_a_frozen_leader_is_answered(self):
        """The follower can't complete the call without the leader, but must answer before it exits."""
        leader = self.kit.leader()
        other = next(c for c in self.kit.controls if c is not leader)

        async def go():
            leader.signal(signal.SIGSTOP)
            self.kit.version += 1
            put = asyncio.ensure_future(self.kit.put(other, self.kit.config(self.kit.version)))
            await asyncio.sleep(0.02)
            other.signal(signal.SIGTERM)
            return await put
        s = self.kit.loop.run(go(), 30)
        leader.signal(signal.SIGCONT)
        self.assertIn(s, (200, 503))


class PausedEntry(PlatformCase):
    """An entry is frozen for a short time, as the scheduler of an overloaded VM does; nothing else fails.

    Guards against an entry that takes its own pause for the silence of replicas or of the leader: data that arrived
    during the pause is still unread when its timers run.
    """
    kit_args = {"controls": 3, "fronts": 1, "replicas": 3, "slots": 8}

    def pause(self, s):
        self.kit.fronts[0].signal(signal.SIGSTOP)
        time.sleep(s)
        self.kit.fronts[0].signal(signal.SIGCONT)

    def streams_across_pause(self, s):
        """Runs 8 streams across a pause of s seconds; they must be served. Returns their ids."""
        for r in self.kit.replicas:
            r.events = 60  # 1.2 s
        rids = [self.rid() for _ in range(8)]

        async def go():
            tasks = [asyncio.ensure_future(self.kit.stream(self.kit.fronts[0], "/brief/1", r)) for r in rids]
            await asyncio.sleep(0.3)
            await asyncio.get_running_loop().run_in_executor(None, self.pause, s)
            return await asyncio.gather(*tasks)
        for rid, (st, _, b) in zip(rids, self.kit.loop.run(go(), 30)):
            self.assertEqual(st, 200)
            self.kit.check_stream(rid, b)
        return rids

    def test_streams_stay_on_their_replicas(self):
        for s in (0.25, 0.6):
            for rid in self.streams_across_pause(s):
                self.assertEqual(len(self.kit.runs_of(rid)), 1)

    def test_link_to_the_leader_stays_open(self):
        lost = self.kit.fronts[0].log_text().count("event=leader_lost")
        self.pause(0.5)  # plus the time since its last ping, still below the leader's silence timeout
        time.sleep(0.5)
        self.assertEqual(self.kit.fronts[0].log_text().count("event=leader_lost"), lost)

    def test_items_run_on_after_a_pause_of_1_s(self):
        for r in self.kit.replicas:
            r.events = 100  # 2 s
        lot, items = self.kit.lot(6)
        self.assertEqual(self.run_one(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        time.sleep(0.5)
        self.pause(1.0)
        self.assertEqual(len(self.run_one(self.kit.read_whole(lot))), 6)
        for it in items:
            self.assertEqual(len(self.kit.runs_of(it["id"])), 1)


class Memory(PlatformCase):
    """Lots arrive faster than results may be deleted, as these are retained for some time.

    Guards against control processes that accept lots until they run out of memory, or delete accepted ones.
    """
    kit_args = {"controls": 3, "fronts": 2, "replicas": 2, "slots": 8, "memory_mib": 16}
    BODY = b"x" * 40000

    def peak_mb(self, c):
        with open("/proc/%d/status" % c.p.pid) as f:
            return int([x.split()[1] for x in f if x.startswith("VmHWM")][0]) / 1024

    def test_lots_beyond_the_limit_are_refused_and_accepted_lots_are_kept(self):
        opened, refused = {}, 0
        for _ in range(40):
            lot, items = self.kit.lot(10, body=self.BODY)
            s = self.run_one(self.kit.open_lot(self.kit.fronts[0], lot, items))
            self.assertIn(s, (202, 429))
            refused += s == 429
            if s == 202:
                opened[lot] = items
        self.assertGreater(len(opened), 3)
        self.assertGreater(refused, 3)
        # Opening a lot that exists succeeds, also when the memory is full.
        lot = next(iter(opened))
        self.assertEqual(self.run_one(self.kit.open_lot(self.kit.fronts[1], lot, opened[lot])), 202)
        for lot in opened:
            self.assertEqual(len(self.run_one(self.kit.read_whole(lot))), 10)
        # The body of an item is deleted when the item is done, so there is memory for another lot.
        lot, items = self.kit.lot(10, body=self.BODY)
        self.assertEqual(self.run_one(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)


class LargeConfig(PlatformCase):
    """A config of 2,000 routes, the size that the platform's operators submit.

    Guards against a fan-out that keeps the leader or the entries busy for so long that links time out, the entries get
    the config too late, or each new leader sends it to all of them again.
    """
    kit_args = {"controls": 3, "fronts": 10, "replicas": 2}
    APPLY_S = 3

    async def wait_served(self, host, end):
        """Waits until every entry serves the route of this host; fails at time `end`."""
        for f in self.kit.fronts:
            while True:
                s, _, _ = await self.kit.call(f.ip, self.kit.port, "POST", "/more/1", [
                    ("Host", host), ("Request-Id", self.rid()), ("Deadline-Ms", 3000)], b"x", 3)
                if s == 200:
                    break
                self.assertLess(time.time(), end, "%s answers %d to a request for %s" % (f.name, s, host))
                await asyncio.sleep(0.05)

    def links_lost(self):
        return sum(f.log_text().count("event=leader_lost") for f in self.kit.fronts)

    def configs_applied(self):
        return sum(f.log_text().count("event=text_in_force") for f in self.kit.fronts)

    def test_it_is_in_force_everywhere_in_time_without_losing_a_link(self):
        lost = self.links_lost()
        self.assertTrue(self.run_one(self.kit.submit(more=2000)))
        self.run_one(self.wait_served("more1999.example", time.time() + self.APPLY_S))
        self.assertEqual(self.links_lost(), lost)

    def test_new_leader_does_not_send_it_again(self):
        self.assertTrue(self.run_one(self.kit.submit(more=2000)))
        self.run_one(self.wait_served("more1999.example", time.time() + self.APPLY_S))
        applied = self.configs_applied()
        leader = self.kit.leader()
        leader.signal(signal.SIGKILL)
        leader.p.wait()
        time.sleep(2)
        self.assertGreaterEqual(self.links_lost(), len(self.kit.fronts))
        self.assertEqual(self.configs_applied(), applied)
        leader.start()

    def test_newest_of_three_is_in_force_after_a_kill_of_the_leader(self):
        for n in range(3):
            self.assertTrue(self.run_one(self.kit.submit(more=2000 + n)))
            if n == 1:
                leader = self.kit.leader()
                leader.signal(signal.SIGKILL)
                leader.p.wait()
                leader.start()
        self.run_one(self.wait_served("more2001.example", time.time() + self.APPLY_S))
        self.assertEqual(self.run_one(self.kit.read_config(self.kit.controls[0]))["version"], self.kit.acked_version)

    def test_restarted_entry_gets_all_routes(self):
        self.assertTrue(self.run_one(self.kit.submit(more=2000)))
        front = self.kit.fronts[0]
        front.stop()
        front.start()
        self.run_one(self.kit.wait_ready([front]))
        self.run_one(self.wait_served("more1999.example", time.time() + self.APPLY_S))


class Config(PlatformCase):
    """The operators' config with its versions.

    Guards against an older, forged or invalid config that replaces the one in force, through another control process or
    in a race of two operators.
    """

    def test_version_never_decreases_and_the_config_is_read_as_submitted(self):
        k = self.kit
        old = k.version
        self.run_one(k.submit(extra="new"))
        for c in k.controls:
            self.assertEqual(self.run_one(k.read_config(c)), k.config(k.version, extra="new"))
        self.assertEqual(self.run_one(k.put(k.controls[0], k.config(old))), 200)
        self.assertEqual(self.run_one(k.put(k.controls[1], k.config(k.version, extra="forged"))), 200)
        self.assertEqual(self.run_one(k.read_config(k.controls[2])), k.config(k.version, extra="new"))
        time.sleep(0.3)
        for f in k.fronts:
            self.assertEqual(self.run_one(k.stream(f, "/new/1", self.rid()))[0], 200)
            self.assertEqual(self.run_one(k.stream(f, "/forged/1", self.rid()))[0], 404)

    def test_invalid_configs_change_nothing(self):
        k = self.kit
        before = self.run_one(k.read_config(k.controls[0]))
        bad = k.config(k.version + 10)
        bad["routes"][0]["service"] = "nobody"
        self.assertEqual(self.run_one(k.put(k.controls[0], bad)), 400)
        bad = k.config(k.version + 10)
        bad["routes"][0]["timeoutMs"] = 0
        self.assertEqual(self.run_one(k.put(k.controls[1], bad)), 400)
        self.assertEqual(self.run_one(k.read_config(k.controls[2])), before)

    def test_highest_of_concurrent_versions_is_in_force(self):
        k = self.kit
        base = k.version
        k.version += 20
        got = self.run_all(*[k.put(k.controls[i % 3], k.config(base + 1 + i, extra="x%d" % i)) for i in range(6)])
        self.assertEqual(set(got), {200})
        self.assertEqual(self.run_one(k.read_config(k.controls[0])), k.config(base + 6, extra="x5"))


class Lots(PlatformCase):
    """Batch lots from acceptance to the last result.

    Guards against items that are lost, run for ever, run after the lot was ended, delay online requests, or start from
    the beginning after each interruption.
    """
    kit_args = {"fronts": 3}

    def test_lot_is_accepted_run_and_read(self):
        k = self.kit
        lot, items = k.lot(9)
        self.assertEqual(self.run_one(k.open_lot(k.fronts[0], lot, items)), 202)
        self.assertEqual(self.run_one(k.open_lot(k.fronts[1], lot, items)), 202)
        results = self.run_one(k.read_whole(lot))
        self.assertEqual(sorted(r["id"] for r in results), [i["id"] for i in items])
        for r in results:
            self.assertEqual((r["state"], r["output"]), ("completed", k.whole_text(r["id"])))
        again = self.run_one(k.read_lot(k.fronts[2], lot))[1]
        self.assertEqual(again["results"], results)

    def test_items_that_can_never_be_completed_end_dead(self):
        k = self.kit
        lot, items = k.lot(3)
        for r in k.replicas:
            r.item_statuses = {items[0]["id"]: 422, items[1]["id"]: 500}
        self.run_one(k.open_lot(k.fronts[0], lot, items))
        states = {r["id"]: r["state"] for r in self.run_one(k.read_whole(lot))}
        self.assertEqual([states[i["id"]] for i in items], ["dead", "dead", "completed"])
        self.assertEqual(len(k.runs_of(items[0]["id"])), 1)
        self.assertEqual(len(k.runs_of(items[1]["id"])), 3)

    def test_online_requests_preempt_items_which_resume_later(self):
        k = self.kit
        for r in k.replicas:
            r.events = 60
        lot, items = k.lot(12)
        self.run_one(k.open_lot(k.fronts[0], lot, items))
        end = time.time() + 5
        while len(k.runs) < 12:  # a new leader first waits until the entries have reported which items they run
            self.assertLess(time.time(), end)
            time.sleep(0.05)
        time.sleep(0.2)
        rids = [self.rid() for _ in range(8)]
        started = time.time()
        got = self.run_all(*[k.stream(k.fronts[i % 3], "/brief/1", r) for i, r in enumerate(rids)])
        self.assertLess(time.time() - started, 60 * 0.02 * 2.5)
        for rid, (s, _, b) in zip(rids, got):
            self.assertEqual(s, 200)
            k.check_stream(rid, b, 60)
        results = self.run_one(k.read_whole(lot))
        self.assertEqual([r["output"] for r in results], [k.whole_text(r["id"], 60) for r in results])
        self.assertTrue(any(r["after"] > 0 for i in items for r in k.runs_of(i["id"])))

    def test_ended_lot_stops_its_items(self):
        k = self.kit
        for r in k.replicas:
            r.events = 500
        lot, items = k.lot(6)
        self.run_one(k.open_lot(k.fronts[0], lot, items))
        time.sleep(0.5)
        self.assertEqual(self.run_one(k.end_lot(k.fronts[1], lot)), 200)
        self.assertEqual(self.run_one(k.end_lot(k.fronts[2], lot)), 200)
        time.sleep(1)
        n = len(k.runs)
        self.assertTrue(all(r["end"] == "left" for r in k.runs))
        time.sleep(1)
        self.assertEqual(len(k.runs), n)

    def test_body_of_an_unfinished_item_can_be_read(self):
        k = self.kit
        for r in k.replicas:
            r.events = 500
        lot, items = k.lot(1)
        self.run_one(k.open_lot(k.fronts[0], lot, items))

        async def body():
            return await k.call(k.fronts[1].ip, k.port, "GET", "/items/%s?id=%s" % (lot, items[0]["id"]),
                                [("Host", HOST)])
        s, _, b = self.run_one(body())
        self.assertEqual((s, b), (200, b"item body0"))
        self.assertEqual(self.run_one(k.read_lot(k.fronts[1], "nolot"))[0], 404)

    def test_lot_beyond_the_quota_is_refused(self):
        k = self.kit
        for r in k.replicas:
            r.events = 500
        self.run_one(k.submit(quota=1200))
        time.sleep(0.3)
        first, second = k.lot(2), k.lot(2)
        self.assertEqual(self.run_one(k.open_lot(k.fronts[0], *first)), 202)
        self.assertEqual(self.run_one(k.open_lot(k.fronts[1], *second)), 429)
        self.run_one(k.end_lot(k.fronts[0], first[0]))
        self.assertEqual(self.run_one(k.open_lot(k.fronts[1], *second)), 202)

    def test_lot_survives_the_loss_of_its_entry_and_of_the_leader(self):
        k = self.kit
        for r in k.replicas:
            r.events = 100
        lot, items = k.lot(10)
        self.assertEqual(self.run_one(k.open_lot(k.fronts[0], lot, items)), 202)
        time.sleep(0.5)
        k.fronts[0].stop()
        k.leader().stop()
        results = self.run_one(k.read_whole(lot, 40))
        self.assertEqual(len(results), 10)
        for r in results:
            self.assertEqual((r["state"], r["output"]), ("completed", k.whole_text(r["id"], 100)))


    def test_progress_of_items_survives_a_kill_of_all_processes(self):
        k = self.kit
        for r in k.replicas:
            r.events = 150
        lot, items = k.lot(4)
        self.assertEqual(self.run_one(k.open_lot(k.fronts[0], lot, items)), 202)
        end = time.time() + 5
        while len(k.runs) < 4:
            self.assertLess(time.time(), end)
            time.sleep(0.05)
        time.sleep(2)
        for p in k.controls + k.fronts:
            p.stop()
        for p in k.controls + k.fronts:
            p.start()
        results = self.run_one(k.read_whole(lot, 40))
        for r in results:
            self.assertEqual((r["state"], r["output"]), ("completed", k.whole_text(r["id"], 150)))
        for i in items:
            self.assertGreater(k.runs_of(i["id"])[-1]["after"], 20)


class Retire(PlatformCase):
    """A control process is retired: the others take over its replicas of the state, then it may be stopped.

    Guards against state that is lost with the retired process, and against a second retirement that would leave too few
    processes for the state.
    """
    kit_args = {"controls": 4}

    def test_retired_leader_hands_over_and_the_others_have_all_state(self):
        k = self.kit

        async def try_retire(node, via=k.controls[0]):
            return (await k.call(via.ip, k.port + 2, "POST", "/retire/%s/start" % node, [],
                                 b'{"durationS":5}'))[0]

        def retire(node, via=k.controls[0]):
            """Retries while the outcome is unclear, as it is while a new leader starts; returns the status."""
            end = time.time() + 8
            got = 503
            while got in (0, 503) and time.time() < end:
                got = self.run_one(try_retire(node, via))
                time.sleep(0.05)
            return got

        async def retirement_status(node):
            return (await k.call(k.controls[3].ip, k.port + 2, "GET", "/retire/%s/get" % node))[2]
        self.assertEqual(retire("nobody"), 404)
        lot, items = k.lot(4)
        self.run_one(k.open_lot(k.fronts[0], lot, items))
        leader = k.leader()
        self.assertEqual(retire(leader.name), 200)
        end = time.time() + 8
        while b"completed" not in self.run_one(retirement_status(leader.name)):
            self.assertLess(time.time(), end)
            time.sleep(0.1)
        leader.stop()
        remaining = [c for c in k.controls if c is not leader]
        self.assertEqual(retire(remaining[0].name, remaining[1]), 409)
        self.assertEqual(len(self.run_one(k.read_whole(lot))), 4)


class Settings(unittest.TestCase):
    """Guards against a front that starts with settings it misread."""
    VALID = ('name = "f"\nzone = "z"\nlisten = "127.0.0.1:7000"\ncontrols = ["127.0.0.1:7001"]\n'
            'link_port = 7002\n')

    def check(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as f:
            f.write(text)
            f.flush()
            p = subprocess.run([os.path.join(BIN, "auburn-front"), "--config", f.name, "--check"],
                               capture_output=True, text=True, timeout=10)
            return p.returncode, p.stderr.replace(f.name, "FILE")

    def test_invalid_settings_are_reported_with_file_line_and_key(self):
        self.assertEqual(self.check(self.VALID), (0, ""))
        for valid, invalid, message in [
                ("link_port = 7002", "link_port = \"7002\"", "FILE:5: link_port"),
                ("link_port = 7002", "", "link_port"),
                ("link_port = 7002", "link_port = 70000", "FILE:5: link_port"),
                ("127.0.0.1:7000", "localhost", "FILE:3: listen"),
                ("127.0.0.1:7001", "127.0.0.1", "FILE:4: controls"),
                ("zone", "zoen", "zoen")]:
            code, err = self.check(self.VALID.replace(valid, invalid))
            self.assertEqual(code, 3, err)
            self.assertIn(message, err)

    def test_command_line(self):
        for args, code in [(["--help"], 0), (["--version"], 0), ([], 2), (["--nonsense"], 2)]:
            p = subprocess.run([os.path.join(BIN, "auburn-front")] + args, capture_output=True, timeout=10)
            self.assertEqual(p.returncode, code, args)


if __name__ == "__main__":
    unittest.main()
