"""Simulated ends of links: entries that link to the leading control process, hundreds of them in one process, and a leader
to which real entries link.
"""
import asyncio
import struct

HELLO, WELCOME, CONFIG, VIEW, PING, CONFIG_IN_FORCE = 1, 2, 3, 4, 15, 17  # link_kind_t in src/proto/link.x
PING_S = 0.15
RETRY_S = 0.05
CONNECT_S = 0.5


def opaque(b):
    return struct.pack(">I", len(b)) + b + b"\0" * (-len(b) % 4)


class LinkEntry:
    """Tries the control processes in turn until one leads; acknowledges each config `apply_s` after receiving it."""

    def __init__(self, name, controls, port, apply_s):
        self.name, self.controls, self.port, self.apply_s = name, controls, port, apply_s
        self.in_force = (0, 0)      # (number, digest) of the config that it acknowledged last
        self.received_bytes = 0     # on links to leaders
        self.configs_received = 0
        self.last_view = b""        # the last VIEW message, undecoded
        self.link_count = 0         # links to leaders opened so far
        self.linked = False
        self.closed = False
        self.next_control = hash(name) % len(controls)
        self.tasks = [asyncio.ensure_future(self.run()), asyncio.ensure_future(self.ping())]

    def hello(self):
        return struct.pack(">I", HELLO) + opaque(self.name.encode()) + opaque(self.name.encode() + b":9") + opaque(b"za") + \
            struct.pack(">I", 0) + opaque(b"") + struct.pack(">QQQ", 0, *self.in_force) + struct.pack(">II", 0, 0)

    def send(self, m):
        self.writer.write(struct.pack(">I", len(m)) + m)

    async def run(self):
        while not self.closed:
            ip = self.controls[self.next_control % len(self.controls)]
            self.next_control += 1
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
                self.link_count += 1
            self.received_bytes += n
            if kind == VIEW:
                self.last_view = m
            if kind == CONFIG:
                self.configs_received += 1
                asyncio.ensure_future(self.apply(struct.unpack(">QQ", m[4:20])))
            self.on_message(kind, m)

    def on_message(self, kind, m):
        """Called with each message from the leader."""

    async def apply(self, config_id):
        await asyncio.sleep(self.apply_s)
        self.in_force = config_id
        if self.linked:
            self.send(struct.pack(">IQQ", CONFIG_IN_FORCE, *config_id))

    async def close(self):
        self.closed = True
        for t in self.tasks:
            t.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class SimulatedLeader:
    """A control process that leads, to which entries link; for a kit without control processes."""

    def __init__(self, kit):
        self.kit = kit

    def start(self, **settings):
        """Starts to listen, and an entry with these settings that knows only this leader; returns the entry."""
        ip = self.kit.next_ip()
        self.server = self.kit.loop.run(asyncio.start_server(self.serve, ip, self.kit.port + 1))
        self.kit.seeds = ["%s:%d" % (ip, self.kit.port)]
        entry = self.kit.make_front("front-0", "za")
        entry.settings.update(settings)
        entry.write_settings()
        self.kit.fronts.append(entry)
        entry.start()
        return entry

    def on_hello(self, m, send):
        """Called with the contents of each hello, once it is answered."""

    def on_message(self, kind, m, send):
        """Called with the contents of each other message from an entry."""

    async def serve(self, reader, writer):
        def send(m):
            writer.write(struct.pack(">I", len(m)) + m)

        async def ping():
            while True:
                send(struct.pack(">I", PING))
                await asyncio.sleep(PING_S)
        pings = None
        try:
            while True:
                n, = struct.unpack(">I", await reader.readexactly(4))
                m = await reader.readexactly(n)
                kind, = struct.unpack(">I", m[:4])
                if kind == HELLO:
                    send(struct.pack(">II", WELCOME, 1) + opaque(b""))
                    pings = pings or asyncio.ensure_future(ping())
                    self.on_hello(m[4:], send)
                else:
                    self.on_message(kind, m[4:], send)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if pings:
                pings.cancel()
