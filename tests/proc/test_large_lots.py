"""Many batch lots of the largest size at once: each control process stays within the memory of its VM.

Guards against lots, their snapshot, the log in memory and messages under way that together take more than `memory_mib`:
the platform kills a process that uses more, and all three had been over it within 4 s.
"""
import asyncio
import os
import signal
import threading
import time
import unittest

from platform_kit import Kit

MEMORY_MIB = 280
CLIENTS = 6
ITEMS, BODY = 200, 14600        # 3.9 MB in base64
FILL_S = 30                     # within which lots fill their part of the memory
REFUSED_PAUSE_S = 0.2
SETTLE_S = 1                    # for snapshots that are due when the last lot has come
CATCH_UP_S = 15


class Memory:
    """Watches the private memory of processes, in MiB: without files and shared pages."""

    def __init__(self, procs):
        self.procs, self.peak, self.over = procs, {}, threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.over.wait(0.01):
            for p in self.procs:
                with open("/proc/%d/status" % p.p.pid) as f:
                    mib = int(dict(x.split(":", 1) for x in f)["RssAnon"].split()[0]) / 1024
                self.peak[p.name] = max(self.peak.get(p.name, 0), mib)

    def close(self):
        self.over.set()
        self.thread.join()


class LargeLots(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(controls=3, fronts=4, replicas=4, slots=8, memory_mib=MEMORY_MIB, snapshot_entries=10000)
        self.addCleanup(self.kit.close)
        self.kit.up()
        self.memory = Memory(self.kit.controls)
        self.addCleanup(self.memory.close)
        self.accepted, self.refused = [], {}

    async def client(self, n):
        """Sends lots until one is refused as lots fill their part of the memory."""
        end = time.time() + FILL_S
        while True:
            self.assertLess(time.time(), end, "accepted %d, refused %s" % (len(self.accepted), self.refused))
            lot, items = self.kit.lot(ITEMS, body=os.urandom(BODY))
            status = await self.kit.open_lot(self.kit.fronts[n % len(self.kit.fronts)], lot, items)
            if status == 202:
                self.accepted.append(lot)
            else:
                self.refused[status] = self.refused.get(status, 0) + 1
                if status == 429:
                    return
                await asyncio.sleep(REFUSED_PAUSE_S)

    async def flood(self):
        await asyncio.gather(*[self.client(n) for n in range(CLIENTS)])

    def check_memory(self):
        for name, mib in self.memory.peak.items():
            self.assertLessEqual(mib, MEMORY_MIB, "%s (accepted %d, refused %s)" % (name, len(self.accepted), self.refused))

    def check_accepted(self):
        for lot in self.accepted:
            self.assertEqual(self.kit.loop.run(self.kit.read_lot(self.kit.fronts[0], lot))[0], 200, lot)

    def test_large_lots_leave_control_processes_within_their_memory(self):
        self.kit.loop.run(self.flood())
        time.sleep(SETTLE_S)
        self.check_memory()
        self.check_accepted()

    def test_control_process_that_missed_large_lots_catches_up_within_its_memory(self):
        # It is full of lots when it gets a snapshot with as many others.
        self.kit.loop.run(self.flood())
        follower = next(c for c in self.kit.controls if c != self.kit.leader())
        restored = follower.log_text().count("event=snapshot_restored")
        follower.freeze()
        for lot in self.accepted:
            self.assertEqual(self.kit.loop.run(self.kit.end_lot(self.kit.fronts[0], lot)), 200, lot)
        self.accepted.clear()
        self.kit.loop.run(self.flood())
        follower.signal(signal.SIGCONT)
        end = time.time() + CATCH_UP_S
        while follower.log_text().count("event=snapshot_restored") == restored:
            self.assertLess(time.time(), end, "%s gets no snapshot" % follower.name)
            time.sleep(0.05)
        time.sleep(SETTLE_S)
        self.check_memory()
        self.check_accepted()


if __name__ == "__main__":
    unittest.main()
