"""Faults on the paths from the entries to the simulated replicas of platform_kit."""
import asyncio
import socket


class DarkPort:
    """A listener that lets connections hang: its queue of connections is full, so the kernel drops further ones."""

    def __init__(self, addr):
        ip, port = addr.split(":")
        self.sockets = [socket.socket()]
        self.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sockets[0].bind((ip, int(port)))
        self.sockets[0].listen(0)
        for _ in range(3):
            s = socket.socket()
            s.setblocking(False)
            s.connect_ex((ip, int(port)))
            self.sockets.append(s)

    def close(self):
        for s in self.sockets:
            s.close()
        self.sockets = []


class Paths:
    """Cuts all entries from replicas and heals the paths again; close() frees the ports."""

    def __init__(self, kit):
        self.kit, self.dark = kit, []

    def refuse(self, replicas=None):
        """Resets the connections to the replicas and refuses new ones."""
        for r in replicas or self.kit.replicas:
            self.kit.loop.run(r.stop())

    def darken(self, replicas=None):
        """Resets the connections to the replicas and lets new ones hang."""
        self.refuse(replicas)
        self.dark += [DarkPort(r.addr) for r in replicas or self.kit.replicas]

    def heal(self):
        self.close()
        for r in self.kit.replicas:
            if not r.server:
                ip, port = r.addr.split(":")
                r.server = self.kit.loop.run(asyncio.start_server(r.serve, ip, int(port)))

    def close(self):
        for p in self.dark:
            p.close()
        self.dark = []
