"""Base class of tests that make the disk of a control process refuse writes, or lose it."""
import os
import re
import shutil
import time
import unittest

from platform_kit import Kit


class DiskTest(unittest.TestCase):
    kit_options = {}

    def setUp(self):
        self.kit = Kit(**self.kit_options)
        self.kit.up()

    def tearDown(self):
        exits = self.kit.unexpected_exits()
        self.kit.close()
        self.assertEqual(exits, [])

    def follower(self):
        return next(c for c in self.kit.controls if c is not self.kit.leader())

    def fill_disk(self, control):
        """Makes the disk of a control process refuse writes, and changes the config until a write was refused."""
        control.fill_disk()
        end = time.time() + 10
        while "event=disk_failed" not in control.log_text():
            self.assertLess(time.time(), end, "no write was refused")
            self.assertTrue(self.kit.loop.run(self.kit.submit()))

    def lose_disk(self, control):
        control.stop()
        control.exit_expected = True
        shutil.rmtree(os.path.join(self.kit.dir, control.name))

    def open_lot(self):
        lot, items = self.kit.lot(4)
        self.assertEqual(self.kit.loop.run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        return lot

    def log_lines(self, control, event, since=0, **want):
        """The fields of the lines of this event, logged after `since` (Unix ms), that have these values; oldest first."""
        lines = []
        for line in control.log_text().splitlines():
            fields = {k: v.strip('"') for k, v in re.findall(r'(\w+)=("[^"]*"|\S+)', line)}
            if (fields.get("event") == event and float(fields["t"]) >= since
                    and all(fields.get(k) == v for k, v in want.items())):
                lines.append(fields)
        return lines

    def wait_line(self, control, event, s, since=0, **want):
        """Waits until the process logs a line of this event; returns its fields."""
        end = time.time() + s
        while not self.log_lines(control, event, since, **want):
            self.assertLess(time.time(), end, "%s logs no %s after %.0f, but %s" % (
                control.name, event, since, self.log_lines(control, event)[-3:]))
            time.sleep(0.02)
        return self.log_lines(control, event, since, **want)[0]

    def voters_acknowledging(self, control):
        """Number of voters that acknowledge to this leader, from its metrics; 0 if it doesn't lead, None if it has none."""
        _, _, b = self.kit.loop.run(self.kit.call(control.ip, self.kit.port + 4, "GET", "/metrics", [], b"", 2))
        values = [x.split()[1] for x in b.decode().splitlines() if x.startswith("auburn_group_voters_acknowledging{")]
        return int(float(values[0])) if values else None
