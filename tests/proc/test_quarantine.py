"""A part of prompts that crashes each replica that begins an answer on it.

Guard against requests with such a part that crash one replica after the other, and against sound requests that are
refused beside them.
"""
import asyncio
import random
import time
import unittest

from platform_kit import Kit

CONTACT_S = 3           # after the fifth crash no request with the part may reach a replica any more, but
REACH_MAX = 3           # so many
CRASH_PART = "dead"


class CrashingPart(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(fronts=3, replicas=9)
        self.addCleanup(self.kit.close)
        self.kit.up()
        self.answers = []       # (kind, start, seconds, status, headers)

    def make_replicas_crash(self):
        for r in self.kit.replicas:
            r.crash_part = CRASH_PART

    async def send(self, kind, front, parts, path="/brief/1"):
        at = time.time()
        s, h, _ = await self.kit.stream(front, path, "%016x" % random.getrandbits(64), parts=parts)
        self.answers.append((kind, at, time.time() - at, s, h))

    async def play(self, seconds, fronts=None, tainted_every_s=0.2):
        """Sound requests at all fronts, and requests with the part at a random one of `fronts`."""
        k, tasks = self.kit, []
        end = time.time() + seconds
        next_tainted = 0
        while time.time() < end:
            for f in k.fronts:
                tasks.append(asyncio.ensure_future(self.send(
                    "sound", f, random.choice(("aa:100,bb:100", "aa:100,cc:100")))))
            if time.time() >= next_tainted:
                next_tainted = time.time() + tainted_every_s
                tasks.append(asyncio.ensure_future(self.send(
                    "tainted", random.choice(fronts or k.fronts),
                    random.choice(("aa:100,dead:100", "aa:100,dead:100,bb:100", "aa:100,bb:100,dead:100")),
                    random.choice(("/brief/1", "/alert/1")))))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    def check_budget(self):
        crashes = sorted(t for r in self.kit.replicas for t in r.crashes)
        since = (crashes[4] if len(crashes) > 4 else crashes[-1]) + CONTACT_S
        late = [r for r in self.kit.runs if r["at"] > since and CRASH_PART in r["headers"].get("prompt-prefix", "")]
        self.assertLessEqual(len(late), REACH_MAX, "%d crashes" % len(crashes))
        return crashes, since

    def share_served(self, since):
        sound = [a for a in self.answers if a[0] == "sound" and a[1] > since]
        self.assertGreater(len(sound), 20)
        return sum(a[3] == 200 for a in sound) / len(sound)

    def test_replicas_stop_crashing_and_sound_requests_are_served(self):
        self.make_replicas_crash()
        self.kit.loop.run(self.play(10))
        crashes, since = self.check_budget()
        self.assertGreater(self.share_served(since + CONTACT_S), 0.9)
        refused = [a for a in self.answers if a[0] == "tainted" and a[1] > since]
        self.assertGreater(len(refused), 5)
        for _, _, took, s, h in refused:
            self.assertEqual(s, 503)
            self.assertLess(took, 0.5)
            self.assertGreater(float(h["retry-after"]), 10)

    def test_a_new_leader_and_a_restarted_entry_know_the_part(self):
        self.make_replicas_crash()
        self.kit.loop.run(self.play(6))
        leader = self.kit.leader()
        leader.stop()
        before = len([r for r in self.kit.runs if CRASH_PART in r["headers"].get("prompt-prefix", "")])
        deadline = time.time() + 15
        while time.time() < deadline and self.kit.leader() in (None, leader):
            time.sleep(0.1)
        restarted = self.kit.fronts[0]
        restarted.stop()
        restarted.start()
        self.kit.loop.run(self.kit.wait_ready())
        time.sleep(0.5)
        self.kit.loop.run(self.play(3, fronts=[restarted]))
        after = len([r for r in self.kit.runs if CRASH_PART in r["headers"].get("prompt-prefix", "")])
        self.assertEqual(after, before)

    def test_without_a_leader_each_entry_learns_by_itself(self):
        for c in self.kit.controls:
            c.stop()
        time.sleep(2.5)
        self.make_replicas_crash()
        self.kit.loop.run(self.play(10, fronts=self.kit.fronts[:1]))
        self.check_budget()

    def test_items_with_the_part_run_one_at_a_time_after_the_first_crashes(self):
        self.make_replicas_crash()
        lot, items = self.kit.lot(9)
        for it in items[:6]:
            it["headers"]["Prompt-Prefix"] = "dead:100,%s:250" % it["id"]

        async def go():
            self.assertEqual(await self.kit.open_lot(self.kit.fronts[0], lot, items), 202)
            await asyncio.sleep(8)
            return await self.kit.read_whole(lot, 1)
        results = self.kit.loop.run(go())
        self.check_budget()
        self.assertEqual({x["id"] for x in results}, {it["id"] for it in items[6:]})
        starts = sorted(r["at"] for r in self.kit.runs if r["id"] in {it["id"] for it in items[:6]})
        first = [t for t in starts if t < starts[0] + 0.25]
        later = starts[len(first):]
        for a, b in zip(later, later[1:]):
            self.assertGreater(b - a, 0.25, starts)


class CommonCrash(unittest.TestCase):
    def test_items_are_run_again_after_a_crash_of_all_replicas_under_a_new_part(self):
        """Guards against accepted items that wait for minutes although all replicas are back and idle."""
        kit = Kit(replicas=6)
        self.addCleanup(kit.close)
        kit.up()
        lot, items = kit.lot(6)
        for it in items:
            it["headers"]["Prompt-Prefix"] = "5c1e07a2:100,%s:250" % it["id"]
        for r in kit.replicas:
            r.silent_after = 0      # an item's prompt is read when its replica crashes

        async def go():
            self.assertEqual(await kit.open_lot(kit.fronts[0], lot, items), 202)
            end = time.time() + 3
            while len({r["id"] for r in kit.runs}) < len(items) and time.time() < end:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            for r in kit.replicas:
                r.silent_after = None
            await asyncio.gather(*[r.crash() for r in kit.replicas])
            return await kit.read_whole(lot, 10)
        results = kit.loop.run(go())
        self.assertEqual(sorted(x["id"] for x in results), [it["id"] for it in items])
        self.assertEqual({x["state"] for x in results}, {"completed"})


if __name__ == "__main__":
    unittest.main()
