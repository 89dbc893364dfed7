"""Stand-ins for backend servers, as PROTOCOL.md describes them."""

import socket
import threading
import time

import harness2 as harness


def read_head(stream):
    """Reads a head strictly; returns the first line and a list of (name, value), or None at the end."""
    line = stream.readline(65536)
    if not line:
        return None
    first, fields = line.rstrip(b"\r\n").decode("latin-1"), []
    while True:
        line = stream.readline(65536)
        if not line:
            return None
        text = line.rstrip(b"\r\n").decode("latin-1")
        if not text:
            return first, fields
        name, _, value = text.partition(":")
        fields.append((name, value.strip()))


def field(fields, name):
    for n, v in fields:
        if n.lower() == name.lower():
            return v
    return None


def read_body(stream, fields):
    if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            if size == 0:
                while stream.readline().strip():
                    pass
                return body
            body += stream.read(size)
            stream.readline()
    length = int(field(fields, "Content-Length") or 0)
    body = stream.read(length)
    if len(body) < length:
        raise OSError("the request was broken off")
    return body


class Request:
    """One request that a server has read."""

    def __init__(self, first, fields, body, server, connection):
        self.method, self.target, _ = first.split(" ", 2)
        self.fields, self.body, self.server, self.connection = fields, body, server, connection
        self.id = field(fields, "Request-Id") or ""

    def field(self, name):
        return field(self.fields, name)


class Server:
    """One start of a server. handle(request, send) answers a request that the server runs."""

    def __init__(self, site, number, service, instance, handle, version="v1", born=None, slots=6):
        self.site, self.number, self.service, self.instance = site, number, service, instance
        self.handle, self.version, self.slots = handle, version, slots
        self.born = born or int(time.time() * 1000)
        self.address = site.address(number, "app")
        self.sequence, self.state, self.alive = 0, "ready", True
        self.connections, self.lock = set(), threading.Lock()
        self.beats_from = 0.0  # heartbeats arrive from then on only
        host, port = self.address.split(":")
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.bind(host, int(port))
        self.listener.listen(64)
        site.closers.append(self.crash)
        threading.Thread(target=self.accept, daemon=True).start()

    def bind(self, host, port):
        """Waits until the sockets of the server's earlier start are closed."""
        for _ in range(100):
            try:
                return self.listener.bind((host, port))
            except OSError:
                time.sleep(0.02)
        raise harness.CannotRun("address %s:%d stays in use" % (host, port))

    def accept(self):
        while self.alive:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                self.connections.add(conn)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        stream = conn.makefile("rb")
        try:
            while self.alive:
                head = read_head(stream)
                if head is None:
                    return
                request = Request(head[0], head[1], read_body(stream, head[1]), self, conn)
                if not self.answer(request, conn):
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(conn)
            try:
                conn.close()
            except OSError:
                pass

    def answer(self, request, conn):
        if request.target == "/health":
            conn.sendall(("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.instance).encode())
            return True
        expected = request.field("Expect-Instance")
        if expected and expected != self.instance:
            self.site.record("server %s answers 421 to %s" % (self.instance, request.id))
            conn.sendall(("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                          % (request.id, self.instance)).encode())
            return True
        return self.handle(request, conn) is not False

    def beat(self, controls):
        """Sends heartbeats every 1.2 s to one of the daemons, and to the next one if it is not acknowledged."""
        def run():
            turn = 0
            while self.alive:
                if time.monotonic() >= self.beats_from:
                    for _ in range(len(controls)):
                        self.sequence += 1
                        status, _, _ = harness.call(
                            self.site.address(controls[turn % len(controls)], "control"), "POST",
                            "/v1/Instances.Heartbeat/" + self.instance, self.heartbeat())
                        if 200 <= status < 300:
                            break
                        turn += 1
                time.sleep(1.2)
        threading.Thread(target=run, daemon=True).start()

    def heartbeat(self):
        return {
            "service": self.service, "address": self.address, "zone": "zone-a", "version": self.version,
            "slots": self.slots, "state": self.state, "cold-remaining-ms": 0, "sequence": self.sequence, "born": self.born,
        }

    def crash(self):
        """Ends the server as a crash does: its port is closed and its connections are reset."""
        if not self.alive:
            return
        self.alive = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            for conn in self.connections:
                try:
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    conn.shutdown(socket.SHUT_RDWR)
                    conn.close()
                except OSError:
                    pass
            self.connections.clear()


def head(request, extra=""):
    return ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\n%s" % (request.id, request.server.instance, request.id, extra)).encode()


def plain(request, conn, body=b"done\n"):
    conn.sendall(head(request, "Content-Length: %d\r\n\r\n" % len(body)) + body)
