"""Links with delays between the real processes of platform_kit."""
import asyncio

from platform_kit import Kit


class Path:
    """A TCP relay on the path from one process to another; forwards each byte after `delay` seconds."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.delay = 0.0
        self.connections = 0    # accepted so far
        self.tasks = set()      # one for each connection

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen)

    async def serve(self, reader, writer):
        self.connections += 1
        self.tasks.add(asyncio.current_task())
        target_writer = None
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(self.pump(reader, target_writer), self.pump(target_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        self.tasks.discard(asyncio.current_task())
        for w in (writer, target_writer):
            if w:
                w.transport.abort()

    async def pump(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(self.delay, writer.write, data)
        except OSError:
            pass
        await asyncio.sleep(self.delay)
        writer.transport.abort()

    async def close(self):
        self.server.close()
        await self.reset()

    async def reset(self):
        """Closes all connections."""
        tasks = list(self.tasks)
        for t in tasks:
            t.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class SlowKit(Kit):
    """A Kit with a Path from each process to each other control process, one for links and one for Raft messages."""

    def before_start(self):
        self.paths = {}     # (name of the process that connects, name of the control process, "link" or "raft"): Path
        procs = self.controls + self.fronts
        for i, p in enumerate(procs):
            p.settings["link_port"] = self.port + 100 + i
        for i, p in enumerate(procs):
            self.add_paths(p, p.settings["link_port"], self.port + 200 + i)
            p.write_settings()

    def add_paths(self, p, link_port, rpc_port):
        routes = []
        for c in self.controls:
            if c is p:
                continue
            self.paths[p.name, c.name, "link"] = Path((c.ip, link_port), (c.ip, c.settings["link_port"]))
            if p in self.controls:
                self.paths[p.name, c.name, "raft"] = Path((c.ip, rpc_port), (c.ip, self.port))
                routes.append("%s:%d=%s:%d" % (c.ip, self.port, c.ip, rpc_port))
        for (name, _, _), path in self.paths.items():
            if name == p.name:
                self.loop.run(path.start())
        if routes:
            p.settings["routes"] = routes

    def select_paths(self, source=None, target=None, kind=None):
        """The paths from the process `source` to the control process `target`; None: any."""
        return [path for (a, b, k), path in self.paths.items()
                if source in (None, a) and target in (None, b) and kind in (None, k)]

    def delay(self, s, **which):
        """Sets the delay in each direction, in seconds; which: see select_paths."""
        for path in self.select_paths(**which):
            path.delay = s

    def close(self):
        for p in self.fronts + self.controls:
            p.stop()
        self.loop.run(self.close_paths())
        super().close()

    async def close_paths(self):
        for path in self.paths.values():
            await path.close()
