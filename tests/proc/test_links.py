"""Fan-out of large configs from the leader to 250 entries.

Guards against a leader that sends every entry a whole config at once: the bytes then exceed what the leader's CPU,
memory and links can carry, links time out, and entries get the config too late. That happens on a change of a large
config, and when all entries reconnect to a new leader.
"""
import asyncio
import signal
import struct
import time
import unittest

from link_kit import LinkEntry
from platform_kit import Kit

ENTRIES = 250
ROUTES = 2000
APPLY_S = 3             # the platform requires a config to be in force within this
APPLY_DELAY_S = 0.06    # an entry needs this to build a table of 2,000 routes with a tenth of a core
CONFIG_BYTES = 100000   # limit for a message with 2,000 routes: a fifth of the operators' JSON
SUBSET = 64             # number of other entries that an entry's view lists
VIEW_BYTES = 500        # an entry that received more than this got a view, not only pings
IDLE_BYTES = 20000      # limit for all other messages to one entry, mostly views


class LinksCase(unittest.TestCase):
    def setUp(self):
        self.kit = Kit(controls=3, fronts=1, replicas=2)
        self.addCleanup(self.kit.close)
        self.kit.up()
        self.entries = self.kit.loop.run(self.open_links())
        self.addCleanup(lambda: self.kit.loop.run(self.close_links()))
        self.wait(lambda e: e.linked and e.in_force[0] > 0)

    async def open_links(self):
        return [LinkEntry("e%d" % i, [c.ip for c in self.kit.controls], self.kit.port + 1, APPLY_DELAY_S)
                for i in range(ENTRIES)]

    async def close_links(self):
        for e in self.entries:
            await e.close()

    def wait(self, done, s=10):
        """Waits until done(entry) holds for all entries; returns the seconds this took."""
        started = time.time()
        while not all(done(e) for e in self.entries):
            self.assertLess(time.time() - started, s)
            time.sleep(0.01)
        return time.time() - started

    def submit(self, **changes):
        self.assertTrue(self.kit.loop.run(self.kit.submit(**changes)))

    def newest_number(self):
        return max(e.in_force[0] for e in self.entries)

    def reset_counters(self):
        for e in self.entries:
            e.received_bytes = e.configs_received = 0

    def total_bytes(self):
        return sum(e.received_bytes for e in self.entries)

    def add_routes(self, n):
        """Submits a config with n more routes and waits until all entries have it; returns the seconds this took."""
        before = self.newest_number()
        self.submit(more=n)
        return self.wait(lambda e: e.in_force[0] > before, APPLY_S)

    def memory_peak_mb(self, proc):
        with open("/proc/%d/status" % proc.p.pid) as f:
            return int([x.split()[1] for x in f if x.startswith("VmHWM")][0]) / 1024


class Configs(LinksCase):
    """A config of 2,000 routes must reach all entries in time, as a delta wherever the entry has an earlier config."""

    def test_large_config_reaches_all_entries_in_time_without_losing_a_link(self):
        self.reset_counters()
        link_count = sum(e.link_count for e in self.entries)
        took = self.add_routes(ROUTES)
        print("in force at %d entries after %.2f s, %.1f MB sent, leader's peak memory %.0f MB" % (
            ENTRIES, took, self.total_bytes() / 1e6, self.memory_peak_mb(self.kit.leader())), flush=True)
        self.assertEqual(sum(e.link_count for e in self.entries), link_count)
        self.assertLess(self.total_bytes(), ENTRIES * (CONFIG_BYTES + IDLE_BYTES))

    def test_new_leader_sends_no_config_to_entries_that_have_it(self):
        """All entries reconnect at once after the leader was killed, and name their config in the hello."""
        self.add_routes(ROUTES)
        self.reset_counters()
        leader = self.kit.leader()
        leader.signal(signal.SIGKILL)
        leader.p.wait()
        self.wait(lambda e: not e.linked or e.link_count > 1)
        self.wait(lambda e: e.linked)
        time.sleep(1)
        self.assertEqual(sum(e.configs_received for e in self.entries), 0)
        self.assertLess(self.total_bytes(), ENTRIES * IDLE_BYTES)

    def test_three_large_configs_in_quick_succession_with_a_killed_leader(self):
        """The entries must end with the newest config although the leader is lost during the fan-out of the second."""
        before = self.newest_number()
        for n in range(3):
            self.submit(more=ROUTES + n)
            if n == 1:
                leader = self.kit.leader()
                leader.signal(signal.SIGKILL)
                leader.p.wait()
                leader.start()
        self.wait(lambda e: e.in_force[0] >= before + 3, APPLY_S)

    def test_small_change_of_a_large_config_is_a_small_message(self):
        self.add_routes(ROUTES)
        self.reset_counters()
        self.add_routes(ROUTES + 1)
        self.assertLess(self.total_bytes(), ENTRIES * IDLE_BYTES)


class Kinds(LinksCase):
    """A peer of a newer build may send messages of kinds that this build doesn't know."""

    def test_messages_of_newer_kinds_are_skipped(self):
        links = [e.link_count for e in self.entries]

        async def send():
            for e in self.entries[:20]:
                for kind in (1000, 1001):
                    e.send(struct.pack(">IQ", kind, 7))
        self.kit.loop.run(send())
        time.sleep(1)
        self.assertEqual([e.link_count for e in self.entries], links)
        self.assertTrue(all(e.linked for e in self.entries))
        self.assertEqual(sum(c.log_text().count("event=link_message_skipped") for c in self.kit.controls), 20)


class Views(LinksCase):
    """Changes of membership must reach the entries concerned without a new view for every entry."""

    def test_new_control_process_is_announced_to_all_entries(self):
        """An entry that doesn't learn of it can't reconnect once all older control processes are replaced."""
        time.sleep(1)
        late = self.kit.make_control("control-late", self.kit.next_ip(), "za", False)
        self.kit.controls.append(late)
        late.start()
        self.wait(lambda e: late.ip.encode() in e.last_view)

    def test_lost_entry_is_announced_only_to_entries_whose_view_lists_it(self):
        """With a view to every entry, the loss of n of n entries would cost the leader n * n messages."""
        time.sleep(1)
        self.reset_counters()
        self.kit.loop.run(self.entries[0].close())
        gone = self.entries.pop(0)
        gone.writer.transport.abort()
        time.sleep(1.5)
        notified = sum(e.received_bytes > VIEW_BYTES for e in self.entries)
        print("announced to %d of %d entries, %.2f MB" % (
            notified, len(self.entries), self.total_bytes() / 1e6), flush=True)
        self.assertGreater(notified, 0)
        self.assertLessEqual(notified, 2 * SUBSET)


if __name__ == "__main__":
    unittest.main()
