"""Streams that all processes' restart interrupts can't be taken up again."""

import http.client
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins as st

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = "127.0.62"
STREAMS = 18
EVENTS = 30
EVENT_GAP_S = 0.2
DEADLINE_MS = 14000
SLO_MS = 2000  # clients abandon a stream after a gap of four times this
BREAK_AT_S = 1.6
BACK_AFTER_S = 0.6
TAKE_UP_AFTER_S = 6.8  # more than twice the stable window after the processes are back

record = st.Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))


def engine(server, handler, _body):
    """Writes the events of a stream after Last-Event-Id."""
    request = handler.headers["Request-Id"]
    last = int(handler.headers.get("Last-Event-Id") or 0)
    record("server", server.id, "runs", request, "from event", last + 1)
    handler.send_response(200)
    for name, value in (("Content-Type", "text/event-stream"), ("Request-Id", request),
                        ("Response-Seal", st.seal(server, request)), ("Transfer-Encoding", "chunked")):
        handler.send_header(name, value)
    handler.end_headers()
    for number in range(last + 1, EVENTS + 1):
        data = f"id: {number}\ndata: piece {number} of {server.version}\n\n".encode()
        handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        handler.wfile.flush()
        time.sleep(EVENT_GAP_S)
    handler.wfile.write(b"0\r\n\r\n")


class Client(threading.Thread):
    """One client with one stream: its attempts, and the events that it has received."""

    def __init__(self, site, number, begin):
        super().__init__(daemon=True)
        self.site, self.number, self.begin = site, number, begin
        self.events, self.first, self.attempts, self.outcomes = 0, None, 0, []
        self.complete = False
        self.connection = None

    def attempt(self, machine):
        """Makes one client attempt; returns what came of it."""
        self.attempts += 1
        request = f"{self.number:08x}{self.attempts:08x}"
        headers = {"Host": "h.example", "Request-Id": request, "Token-Count": "50,60", "Model": "m",
                   "Prompt-Prefix": f"{self.number + 16:x}:50",
                   "Request-Deadline": str(int(DEADLINE_MS - 1000 * (time.monotonic() - self.begin)))}
        if self.events:
            headers["Last-Event-Id"], headers["Resumes"] = str(self.events), self.first
        record("client", self.number, "sends", request, "to", machine.name, "after event", self.events)
        self.connection = http.client.HTTPConnection(*machine.front, timeout=8)
        before = self.events
        try:
            self.connection.request("POST", "/plans/x", b"plan", headers)
            answer = self.connection.getresponse()
            if answer.status != 200:
                body = answer.read()
                record("client", self.number, "gets", answer.status, body.decode(), "Retry-After", answer.headers.get("Retry-After"))
                return str(answer.status)
            while True:
                line = answer.readline()
                if not line:
                    break
                if line.startswith(b"id: "):
                    self.events = int(line[4:])
                    self.first = self.first or request
            self.complete = self.events == EVENTS
        except (OSError, http.client.HTTPException, AttributeError, ValueError) as e:
            record("client", self.number, "is cut off after event", self.events, type(e).__name__)
        finally:
            self.connection.close()
        return "goes on" if self.events > before else "nothing"

    def break_off(self):
        """Breaks the connection from the client's side."""
        try:
            self.connection.sock.shutdown(2)
        except (OSError, AttributeError):
            pass


def main():
    site = st.Site(record, NET)
    try:
        site.seeds = [f"{NET}.{n}" for n in (1, 2, 3)]
        machines = [site.add(n, zone, True) for n, zone in ((1, "a"), (2, "b"), (3, "c"))]
        for m in machines:
            m.start_all()
        for n in range(2):
            st.Server(site, "planner", f"{NET}.{101 + n}", engine, zone="ab"[n])
        operator = st.Operator(site)
        route = {"name": "r", "host": "h.example", "path-prefix": "/plans/", "route-type": "streaming", "timeout-ms": DEADLINE_MS,
                 "slo-ms": SLO_MS, "priority": 1, "service": "planner", "attempts": 2, "session-affinity": True,
                 "resumable": True, "itl-target-ms": 300}
        document = {"version": 5, "routes": [route],
                    "services": [{"name": "planner", "health-check": "/health", "max-connections": 390, "protocol": "h1", "tls": False}],
                    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        if operator.replace(document) is None or not st.wait_until(lambda: all(m.is_ready() for m in machines), 15):
            return 2
        time.sleep(st.STABLE_WINDOW_S + 1)

        begin = time.monotonic()
        clients = [Client(site, n, begin) for n in range(STREAMS)]
        firsts = [threading.Thread(target=c.attempt, args=(machines[c.number % 3],), daemon=True) for c in clients]
        for t in firsts:
            t.start()
        time.sleep(BREAK_AT_S)
        if not all(c.events for c in clients):
            return 2
        broken = time.monotonic()
        if TROUBLE:
            record("platform: all processes are killed")
            for m in machines:
                m.signal(signal.SIGKILL)
            for m in machines:
                m.kill()
            time.sleep(max(0, broken + BACK_AFTER_S - time.monotonic()))
            for m in machines:
                m.start_all()
            record("platform: all processes are started again")
            if time.monotonic() - broken > 1:
                return 2  # the core must be back within a second
        else:
            record("clients: all connections are broken off")
            for c in clients:
                c.break_off()
        for t in firsts:
            t.join()
        received = [c.events for c in clients]
        time.sleep(max(0, broken + TAKE_UP_AFTER_S - time.monotonic()))
        if not all(m.is_ready() for m in machines) or not site.all_run():
            return 2

        # Each stream is taken up at the next machine, and as many new streams begin.
        fresh = [Client(site, STREAMS + n, time.monotonic()) for n in range(STREAMS)]
        results, running = {}, []
        for c in clients + fresh:
            def one(c=c):
                results[c.number] = c.attempt(machines[(c.number + 1) % 3])
            t = threading.Thread(target=one, daemon=True)
            running.append(t)
            t.start()
        for t in running:
            t.join(14)
        on = sum(c.events > received[c.number] for c in clients)
        new = sum(c.events > 0 for c in fresh)
        record("taken up:", STREAMS, "go on:", on, "of which complete:", sum(c.complete for c in clients), "new:", STREAMS, "begin:", new)
        print(f"taken up {STREAMS}, go on {on}; new {STREAMS}, begin {new}")
        if new < STREAMS / 2:
            return 2
        return 1 if on / STREAMS < 0.5 * new / STREAMS else 0
    finally:
        site.close()


st.run(main)
