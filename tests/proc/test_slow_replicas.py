"""Replicas that need longer than usual before the first event of an item, as they read its body slowly, or its prompt.

Guards against an item that is cut by the same time limit at each of its runs, and so never ends.
"""
import asyncio
import base64
import unittest

from platform_kit import Kit, Replica

READ_BYTES_PER_S = 200000
BODY_BYTES = 400000
PROMPT_S = 2.5          # longer than a replica may be silent in an item's first run
DEADLINE_S = 12


class SlowReplica(Replica):
    """Reads bodies at `read_bytes_per_s`; answers `prompt_s` after it has read a request."""
    read_bytes_per_s = None
    prompt_s = 0

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while line := (await reader.readline()).decode("latin-1").strip():
                headers = {}
                while h := (await reader.readline()).decode("latin-1").rstrip("\r\n"):
                    k, _, v = h.partition(":")
                    headers[k.strip().lower()] = v.strip()
                body = await self.read_body(reader, int(headers.get("content-length", 0)))
                await asyncio.sleep(self.prompt_s)
                if reader.at_eof() or not await self.answer((line.split(None, 2), headers, body), reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read_body(self, reader, n):
        body = b""
        while len(body) < n:
            piece = await reader.read(min(16384, n - len(body)))
            if not piece:
                raise ConnectionResetError
            body += piece
            if self.read_bytes_per_s:
                await asyncio.sleep(len(piece) / self.read_bytes_per_s)
        return body


class SlowKit(Kit):
    replica_class = SlowReplica


class SlowReplicas(unittest.TestCase):
    def setUp(self):
        self.kit = SlowKit(fronts=2, replicas=3)
        self.addCleanup(self.kit.close)
        self.kit.up()

    def check_done(self, body_bytes):
        lot, items = self.kit.lot(3)
        for x in items[:2]:
            x["body"] = base64.b64encode(b"x" * body_bytes).decode()
        run = self.kit.loop.run
        self.assertEqual(run(self.kit.open_lot(self.kit.fronts[0], lot, items)), 202)
        results = run(self.kit.read_whole(lot, DEADLINE_S))
        self.assertEqual({r["id"]: (r["state"], r["output"]) for r in results},
                         {x["id"]: ("completed", self.kit.whole_text(x["id"])) for x in items})

    def test_items_are_done_by_replicas_that_read_their_bodies_slowly(self):
        for r in self.kit.replicas:
            r.read_bytes_per_s = READ_BYTES_PER_S
        self.check_done(BODY_BYTES)

    def test_items_are_done_by_replicas_that_read_their_prompts_slowly(self):
        for r in self.kit.replicas:
            r.prompt_s = PROMPT_S
        self.check_done(10)

    def test_item_comes_to_the_sound_replica_beside_silent_ones(self):
        self.kit.replicas[0].silent_after = self.kit.replicas[1].silent_after = 0
        self.check_done(10)


if __name__ == "__main__":
    unittest.main()
