"""A faulty server's bytes fill the memory of forwarders until the platform kills them."""

import collections
import http.client
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins as st

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = "127.0.63"
SERVERS = 3  # one of them is faulty: share = 0.34
SPOILT_EACH = 50  # of this many answers of the faulty server one is spoilt: x = 0.02
FAULTY_S, EACH_S = 5.5, 8.0  # for_s, and how often the server turns faulty again
LINK_BYTES_S = 100e6  # of a faulty answer; a link carries 1,000 Mbit/s
MEMORY_KB = 284 * 1024  # limits.memory-mb of this site
EVENTS = 8
RUN_S = 80
GIVE_UP_S = 3.6  # clients abandon a stream after a gap of four times slo-ms

record = st.Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))


class Engine:
    """A server of streams on plain sockets."""

    def __init__(self, site, ip, faulty):
        self.site, self.service, self.zone, self.version, self.slots, self.stage = site, "planner", "a", "v1", 64, ""
        self.id, self.born, self.faulty = f"i-{ip.replace('.', '')}", int(time.time() * 1000), faulty
        self.answers, self.lock, self.begin = 0, threading.Lock(), time.monotonic()
        self.socket = socket.socket()
        self.socket.bind((ip, 0))
        self.socket.listen(256)
        self.address = self.socket.getsockname()
        self.beats = st.Heartbeats(self)
        self.beats.start()
        threading.Thread(target=self.accept, daemon=True).start()
        site.servers.append(self)

    def stop(self):
        self.beats.ended.set()
        self.socket.close()

    def accept(self):
        while True:
            try:
                c, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(c,), daemon=True).start()

    def serve(self, c):
        try:
            reader = c.makefile("rb")
            while self.answer(c, reader):
                pass
        except OSError:
            pass
        finally:
            c.close()

    def answer(self, c, reader):
        line = reader.readline()
        if not line:
            return False
        headers = http.client.parse_headers(reader)
        reader.read(int(headers.get("Content-Length") or 0))
        request = headers["Request-Id"]
        if headers.get("Expect-Instance") not in (None, self.id):
            c.sendall(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        with self.lock:
            now_faulty = TROUBLE and self.faulty and self.in_fault()
            self.answers += now_faulty
            spoilt = now_faulty and self.answers % SPOILT_EACH == 0
        record("server", self.id, "runs", request, "and spoils its answer" if spoilt else "")
        if spoilt:
            return self.spoil(c, request)
        c.sendall(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {request}\r\n"
                  f"Response-Seal: {st.seal(self, request)}\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, EVENTS + 1):
            data = f"id: {number}\ndata: piece\n\n".encode()
            c.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            time.sleep(0.05)
        c.sendall(b"0\r\n\r\n")
        return True

    def in_fault(self):
        return (time.monotonic() - self.begin) % EACH_S < FAULTY_S

    def spoil(self, c, request):
        """Sends bytes that are not a response, until the connection or the fault ends."""
        piece, sent, began = b"x" * 250_000, 0, time.monotonic()
        try:
            while self.in_fault():
                c.sendall(piece)
                sent += len(piece)
                time.sleep(max(0, began + sent / LINK_BYTES_S - time.monotonic()))
        except OSError:
            record("server", self.id, "has sent", sent // 1_000_000, "MB for", request)
        return False


class Platform(threading.Thread):
    """Kills a process that uses more than its memory, and starts it again after a short delay."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.ends, self.peak = site, collections.Counter(), collections.Counter()
        self.ended = threading.Event()

    def run(self):
        while not self.ended.wait(0.02):
            for m in self.site.machines:
                for role, p in list(m.processes.items()):
                    self.check(m, role, p)

    def check(self, m, role, p):
        used = 0
        try:
            with open(f"/proc/{p.pid}/status", encoding="utf-8") as f:
                used = next((int(line.split()[1]) for line in f if line.startswith("VmRSS")), 0)
        except OSError:
            pass
        self.peak[m.name, role] = max(self.peak[m.name, role], used // 1024)
        if p.poll() is None and used <= MEMORY_KB:
            return
        if p.poll() is None:
            record("platform:", role, "of", m.name, "uses", used // 1024, "MB of", MEMORY_KB // 1024, "and is killed")
            p.kill()
        else:
            record("platform:", role, "of", m.name, "has ended by itself:", p.returncode)
        p.wait()
        self.ends[m.name] += 1
        threading.Timer(0.5, self.restart, (m, role)).start()
        m.processes.pop(role)

    def restart(self, m, role):
        if not self.ended.is_set():
            m.start(role)


def client(site, number, stop, outcomes):
    """Begins one stream after the other, at the machines that are in."""
    tries = 0
    while not stop.is_set():
        tries += 1
        machine = site.machines[(number + tries) % len(site.machines)]
        request = f"{number:08x}{tries:08x}"
        c = http.client.HTTPConnection(*machine.front, timeout=GIVE_UP_S)
        try:
            c.request("POST", "/plans/x", f"plan {request}", {"Host": "h.example", "Request-Id": request, "Request-Deadline": "14000"})
            r = c.getresponse()
            body = r.read()
            whole = r.status == 200 and body.count(b"id: ") == EVENTS
            outcomes["whole" if whole else str(r.status)] += 1
        except (OSError, http.client.HTTPException) as e:
            record("client", request, "at", machine.name, "is cut off:", type(e).__name__)
            outcomes["cut off"] += 1
        finally:
            c.close()
        stop.wait(0.2)


def main():
    site = st.Site(record, NET)
    platform = Platform(site)
    try:
        site.seeds = [f"{NET}.{n}" for n in (1, 2, 3)]
        for n, zone in ((1, "a"), (2, "b"), (3, "c")):
            site.add(n, zone, True).start_all()
        for n in range(SERVERS):
            Engine(site, f"{NET}.{101 + n}", n == 0)
        route = {"name": "r", "host": "h.example", "path-prefix": "/plans/", "route-type": "streaming", "timeout-ms": 14000, "slo-ms": 900,
                 "priority": 1, "service": "planner", "attempts": 1, "session-affinity": True, "resumable": False, "itl-target-ms": 300}
        document = {"version": 5, "routes": [route],
                    "services": [{"name": "planner", "health-check": "/health", "max-connections": 390, "protocol": "h1", "tls": False}],
                    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        if st.Operator(site).replace(document) is None or not st.wait_until(lambda: all(m.is_ready() for m in site.machines), 15):
            return 2
        time.sleep(1)
        platform.start()
        stop, outcomes = threading.Event(), collections.Counter()
        clients = [threading.Thread(target=client, args=(site, n, stop, outcomes), daemon=True) for n in range(36)]
        for t in clients:
            t.start()
        end = time.monotonic() + RUN_S
        while time.monotonic() < end and sum(n >= 3 for n in platform.ends.values()) < 2:
            time.sleep(0.2)
        stop.set()
        platform.ended.set()
        time.sleep(1)
        record("ends by machine:", dict(platform.ends), "peaks in MB:", dict(platform.peak), "streams:", dict(outcomes))
        print("ends", dict(platform.ends), "peak MB", max(platform.peak.values()), "streams", dict(outcomes))
        return 1 if sum(n >= 3 for n in platform.ends.values()) >= 2 else 0
    finally:
        platform.ended.set()
        time.sleep(0.6)
        site.close()


st.run(main)
