"""Configs that bring the first customers or take all of them away while lots are kept.

Guards against an accepted lot that its callers can't read or end any more, or that runs a second time when it comes
again, because its owner is judged by another config than the one that it was opened under.
"""
import asyncio
import struct
import time
import unittest

from link_kit import LinkEntry, opaque
from lots_kit import LotCalls
from platform_kit import Kit
from test_customers import ADA, BOB, key

IN_FORCE_S = 1      # an acknowledged config is in force everywhere within this time
LONG = 400          # events of an item that is still running at the end of a test
ADA_KEY, ADA_KEY_2, BOB_KEY = key("ada-key-1"), key("ada-key-2"), key("bob-key-1")

CALL, REPLY = 13, 14            # link_kind_t
LOT_READ = 2                    # link_call_kind_t
NOT_FOUND, UNAVAILABLE = 2, 4   # status_t


class CallingEntry(LinkEntry):
    """A simulated entry that reads lots."""
    replies = 0
    reply = None

    def on_message(self, kind, m):
        if kind == REPLY:
            self.reply.set_result(struct.unpack(">QI", m[4:16])[1])

    async def read_lot(self, lot):
        self.reply = asyncio.get_running_loop().create_future()
        self.replies += 1
        self.send(struct.pack(">IQI", CALL, self.replies, LOT_READ) + opaque(lot.encode()) + struct.pack(">II", 0, 0))
        return await asyncio.wait_for(self.reply, 2)

    def read_status(self, lot):
        return self.loop.run(self.read_lot(lot))


class FirstCustomers(LotCalls, unittest.TestCase):
    def setUp(self):
        self.kit = Kit(fronts=2, replicas=2, revoke_ms=2500)
        self.addCleanup(self.kit.close)

    def submit(self, *customers, **changes):
        if customers:
            changes["tenants"] = list(customers)
        self.assertTrue(self.kit.loop.run(self.kit.submit(**changes)))
        time.sleep(IN_FORCE_S)

    def run_long(self):
        for r in self.kit.replicas:
            r.events = LONG

    def link_entry(self):
        """Links a simulated entry; returns it once it has the config."""
        async def start():
            entry = CallingEntry("calling", [c.ip for c in self.kit.controls], self.kit.port + 1, 0)
            while not entry.in_force[0]:
                await asyncio.sleep(0.05)
            return entry
        entry = self.kit.loop.run(start())
        entry.loop = self.kit.loop
        self.addCleanup(lambda: self.kit.loop.run(entry.close()))
        return entry

    def new_leader(self):
        leader = self.kit.leader()
        leader.stop()
        leader.exit_expected = True
        end = time.time() + 10
        while self.kit.leader() is None:
            self.assertLess(time.time(), end)
            time.sleep(0.05)

    def check_found(self, lot, items, headers=()):
        """The lot is there at each entry, with the bodies of its items, which are not listed yet."""
        for front in (0, 1):
            self.assertEqual(self.read(front, lot, headers), (200, set()))
            for i, x in enumerate(items):
                self.assertEqual(self.body(front, lot, x["id"], headers), (200, b"item body%d" % i))

    def check_ended_by(self, lot, headers=()):
        self.assertEqual(self.kit.loop.run(self.kit.end_lot(self.kit.fronts[1], lot, headers)), 200)
        self.wait_stopped()

    def check_ran_once(self, items):
        for x in items:
            self.assertEqual(len(self.kit.runs_of(x["id"])), 1)

    # ---- the first customers come ----

    def test_lot_opened_before_the_first_customers_is_found_with_a_key(self):
        self.kit.up()
        self.run_long()
        lot, items = self.open()
        self.submit(ADA, BOB)
        self.check_found(lot, items, ADA_KEY)
        self.check_found(lot, items, BOB_KEY)
        self.check_found(lot, items)
        self.check_ended_by(lot, BOB_KEY)

    def test_lot_opened_before_the_first_customers_is_the_same_when_it_comes_again_with_a_key(self):
        self.kit.up()
        lot, items = self.open()
        self.wait_done(lot, items)
        self.submit(ADA, BOB)
        self.open(lot=lot, headers=ADA_KEY, front=1)
        self.assertEqual(self.read(0, lot, ADA_KEY), (200, {x["id"] for x in items}))
        time.sleep(1)
        self.check_ran_once(items)

    def test_other_lot_with_the_id_of_one_that_belongs_to_nobody_is_a_lot_of_its_own(self):
        self.kit.up()
        lot, items = self.open()
        self.wait_done(lot, items)
        self.submit(ADA, BOB)
        others = [dict(x, id="other%d" % i) for i, x in enumerate(items)]
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.kit.fronts[0], lot, others, ADA_KEY)), 202)
        self.wait_done(lot, others, ADA_KEY)
        self.assertEqual(self.read(1, lot, BOB_KEY), (200, {x["id"] for x in items}))

    def test_lot_opened_before_the_first_customers_is_found_at_a_new_leader(self):
        self.kit.up()
        self.run_long()
        lot, items = self.open()
        self.submit(ADA, BOB)
        self.new_leader()
        self.check_found(lot, items, ADA_KEY)
        self.check_ended_by(lot, ADA_KEY)

    # ---- the last customers go ----

    def test_lot_of_a_customer_is_found_once_there_are_none(self):
        self.kit.up(tenants=[ADA, BOB])
        self.run_long()
        lot, items = self.open(headers=ADA_KEY)
        self.submit()
        self.check_found(lot, items)
        self.check_found(lot, items, ADA_KEY)
        self.check_ended_by(lot)

    def test_lot_of_a_customer_is_the_same_when_it_comes_again_once_there_are_none(self):
        self.kit.up(tenants=[ADA, BOB])
        lot, items = self.open(headers=ADA_KEY)
        self.wait_done(lot, items, ADA_KEY)
        self.submit()
        self.open(lot=lot, front=1)
        self.assertEqual(self.read(0, lot), (200, {x["id"] for x in items}))
        time.sleep(1)
        self.check_ran_once(items)

    def test_lot_of_a_customer_is_found_at_a_new_leader_once_there_are_none(self):
        self.kit.up(tenants=[ADA, BOB])
        self.run_long()
        lot, items = self.open(headers=ADA_KEY)
        self.submit()
        self.new_leader()
        self.check_found(lot, items)
        self.check_ended_by(lot)

    def test_lots_of_customers_count_against_the_quota_of_the_route_once_there_are_none(self):
        self.kit.up(tenants=[ADA, BOB], quota=2500)
        self.run_long()
        self.open(headers=ADA_KEY)      # 1,100 tokens each
        self.open(headers=BOB_KEY)
        self.submit(quota=2500)
        lot, items = self.kit.lot(1)
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 429)

    def test_waiting_read_is_not_answered_404_when_the_first_customers_come_back(self):
        self.kit.up(tenants=[ADA, BOB])
        self.run_long()
        lot, _ = self.open(headers=ADA_KEY)
        self.submit()

        async def read_during_change():
            read = asyncio.ensure_future(self.kit.read_lot(self.kit.fronts[0], lot, 0, 2000))
            await asyncio.sleep(0.3)
            self.assertTrue(await self.kit.submit(tenants=[ADA, BOB]))
            return await read
        self.assertEqual(self.kit.loop.run(read_during_change())[0], 200)

    def test_entry_with_an_older_config_gets_no_definite_answer(self):
        """It doesn't know the customer of its caller, so it asks the leader for a lot of nobody."""
        self.kit.up()
        entry = self.link_entry()
        entry.apply_s = 3 * IN_FORCE_S
        self.submit(ADA, BOB)
        lot, _ = self.open(headers=ADA_KEY)
        self.assertEqual(entry.read_status(lot), UNAVAILABLE)
        self.assertEqual(entry.read_status("unknown"), NOT_FOUND)
        time.sleep(3 * IN_FORCE_S)
        self.assertEqual(entry.read_status(lot), NOT_FOUND)

    # ---- customers come and go beside others ----

    def test_lots_of_a_customer_are_found_again_when_it_is_back(self):
        self.kit.up(tenants=[ADA, BOB])
        self.run_long()
        lot, items = self.open(headers=ADA_KEY)
        self.submit(BOB)
        self.assertEqual(self.read(0, lot, ADA_KEY)[0], 401)
        self.assertEqual(self.read(0, lot, BOB_KEY)[0], 404)
        self.submit(ADA, BOB)
        self.check_found(lot, items, ADA_KEY_2)

    def test_lots_stay_with_their_customer_when_its_key_moves_to_another(self):
        self.kit.up(tenants=[ADA, BOB])
        self.run_long()
        lot, items = self.open(headers=ADA_KEY)
        first, rest = ADA["apiKeys"][0], ADA["apiKeys"][1:]
        self.submit(dict(ADA, apiKeys=rest), dict(BOB, apiKeys=BOB["apiKeys"] + [first]))
        self.check_found(lot, items, ADA_KEY_2)
        self.assertEqual(self.read(0, lot, ADA_KEY)[0], 404)


if __name__ == "__main__":
    unittest.main()
