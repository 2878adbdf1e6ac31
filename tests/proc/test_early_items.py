"""Items that an entry is told to run before it has a config.

Guards against an entry that runs an item without knowing whether the config has customers: the item's own headers then
name a customer, or bring a key, to a replica. The leader gives items to entries that have a config; an entry without one
gives them back.
"""
import struct
import time
import unittest

from link_kit import LinkEntry, SimulatedLeader, opaque
from platform_kit import HOST, Kit

ITEM_RUN, ITEM_ENDED = 10, 12           # link_kind_t in src/proto/link.x
END_UNFINISHED, OUTCOME_CANCELLED = 3, 6
WAIT_S = 10
LOT = b"ada\nlot"        # owner and id, see lot_id_make


class SlowEntry(LinkEntry):
    """An entry that takes its time to decode its first config, and records the items that it is told to run."""

    def __init__(self, name, controls, port):
        self.items_before_config = 0
        self.items_after_config = 0
        super().__init__(name, controls, port, 1.5)

    def on_message(self, kind, m):
        if kind != ITEM_RUN:
            return
        if self.in_force[0]:
            self.items_after_config += 1
        else:
            self.items_before_config += 1


class Leader(unittest.TestCase):
    def test_entry_without_a_config_gets_no_items(self):
        kit = Kit(fronts=1, replicas=4)
        self.addCleanup(kit.close)
        kit.up()
        for r in kit.replicas:
            r.events = 10

        async def link():
            return SlowEntry("slow", [c.ip for c in kit.controls], kit.port + 1)
        slow = kit.loop.run(link())
        self.addCleanup(lambda: kit.loop.run(slow.close()))
        self.open_lots(kit, lambda: slow.in_force[0], "the entry gets no config")
        self.assertEqual(slow.items_before_config, 0)
        self.open_lots(kit, lambda: slow.items_after_config, "the entry with a config gets no items")

    def open_lots(self, kit, is_over, what):
        end = time.time() + WAIT_S
        while not is_over():
            self.assertLess(time.time(), end, what)
            lot, items = kit.lot(40)
            self.assertEqual(kit.loop.run(kit.open_lot(kit.fronts[0], lot, items)), 202)
            time.sleep(0.2)


class ItemLeader(SimulatedLeader):
    """Tells its entry to run an item and sends it no config."""

    def __init__(self, kit):
        super().__init__(kit)
        self.ended = []     # (job, item, replica, end, outcome) of the items that the entry reports as ended

    def on_hello(self, m, send):
        send(self.item_run())

    def on_message(self, kind, m, send):
        if kind == ITEM_ENDED:
            self.ended.append(self.decode_ended(m))

    def item_run(self):
        """Runs item 3 of a lot of the customer ada, whose client named another customer."""
        r = self.kit.replicas[0]
        headers = b"Model: m\r\nToken-Usage: 10,10\r\nTenant: bob\r\nAuthorization: Bearer ada-key-1\r\n"
        return struct.pack(">I", ITEM_RUN) + opaque(LOT) + struct.pack(">I", 3) + b"".join(
            opaque(x) for x in (b"item03", HOST.encode(), b"/digest/3", headers, b"body", r.id.encode(),
                                r.addr.encode())) + \
            struct.pack(">Q", r.start_time) + opaque(b"") + struct.pack(">Ii", 0, 60000)

    def decode_ended(self, m):
        def take_opaque():
            nonlocal m
            n, = struct.unpack(">I", m[:4])
            b, m = m[4:4 + n], m[4 + (n + 3) // 4 * 4:]
            return b

        def take_int():
            nonlocal m
            v, m = struct.unpack(">I", m[:4])[0], m[4:]
            return v
        return take_opaque(), take_int(), take_opaque(), take_int(), take_int()


class Entry(unittest.TestCase):
    def test_entry_without_a_config_gives_an_item_back_unrun(self):
        kit = Kit(controls=0, fronts=0, replicas=1)
        self.addCleanup(kit.close)
        leader = ItemLeader(kit)
        leader.start()
        end = time.time() + WAIT_S
        while not leader.ended:
            self.assertLess(time.time(), end, "the item isn't given back")
            time.sleep(0.02)
        self.assertEqual(leader.ended[0], (LOT, 3, kit.replicas[0].id.encode(), END_UNFINISHED,
                                           OUTCOME_CANCELLED))
        self.assertEqual(kit.runs_of("item03"), [])


if __name__ == "__main__":
    unittest.main()
