"""Stand-ins for entries on their links to the control processes: hundreds of them in one process."""
import asyncio
import struct

HELLO, WELCOME, CONF, VIEW, PING, HOLDS = 1, 2, 3, 4, 15, 17
PING_S = 0.15
RETRY_S = 0.05
CONNECT_S = 0.5


def opaque(b):
    return struct.pack(">I", len(b)) + b + b"\0" * (-len(b) % 4)


class LinkEntry:
    """Greets control processes in turn until one leads, holds what it sends, tells so after `take_s`."""

    def __init__(self, name, controls, port, take_s):
        self.name, self.controls, self.port, self.take_s = name, controls, port, take_s
        self.holds = (0, 0)
        self.bytes = 0          # received on links to leaders
        self.texts = 0
        self.view = b""         # the last one, as it came
        self.links = 0          # to leaders, so far
        self.linked = False
        self.ended = False
        self.next = hash(name) % len(controls)
        self.tasks = [asyncio.ensure_future(self.run()), asyncio.ensure_future(self.ping())]

    def hello(self):
        return struct.pack(">I", HELLO) + opaque(self.name.encode()) + opaque(self.name.encode() + b":9") + opaque(b"za") + \
            struct.pack(">I", 0) + opaque(b"") + struct.pack(">QQQ", 0, *self.holds) + struct.pack(">II", 0, 0)

    def send(self, m):
        self.writer.write(struct.pack(">I", len(m)) + m)

    async def run(self):
        while not self.ended:
            ip = self.controls[self.next % len(self.controls)]
            self.next += 1
            try:
                reader, self.writer = await asyncio.wait_for(asyncio.open_connection(ip, self.port), CONNECT_S)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(RETRY_S)
                continue
            try:
                await self.serve(reader)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            self.linked = False
            self.writer.transport.abort()
            await asyncio.sleep(RETRY_S)

    async def ping(self):
        while True:
            await asyncio.sleep(PING_S)
            if self.linked:
                self.send(struct.pack(">I", PING))

    async def serve(self, reader):
        self.send(self.hello())
        while True:
            n, = struct.unpack(">I", await asyncio.wait_for(reader.readexactly(4), 1))
            m = await reader.readexactly(n)
            kind, = struct.unpack(">I", m[:4])
            if kind == WELCOME:
                leads, = struct.unpack(">I", m[4:8])
                if not leads:
                    return
                self.linked = True
                self.links += 1
            self.bytes += n
            if kind == VIEW:
                self.view = m
            if kind == CONF:
                self.texts += 1
                asyncio.ensure_future(self.take(struct.unpack(">QQ", m[4:20])))

    async def take(self, text):
        await asyncio.sleep(self.take_s)
        self.holds = text
        if self.linked:
            self.send(struct.pack(">IQQ", HOLDS, *text))

    async def close(self):
        self.ended = True
        for t in self.tasks:
            t.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
