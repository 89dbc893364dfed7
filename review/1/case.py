"""A forwarder goes back to an older configuration and keeps it."""

import os
import random
import re
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins as st

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = os.environ.get("NET", "127.0.61")
ROUTES = 350  # big_config, count = 350
RUN_S = float(os.environ.get("RUN_S", "95"))
STEP = 12  # routes by which the sizes of the two configurations change from round to round
HELD_S = 0.13  # how long the machines are frozen after the second configuration
SETTLE_S = st.STABLE_WINDOW_S + st.CONFIG_APPLY_S + 1

record = st.Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), os.environ.get("RECORD", "record.txt")))


def answer(server, handler, _body):
    request = handler.headers["Request-Id"]
    record("server of", server.service, "runs", request)
    handler.reply(200, server.service.encode(), [("Response-Seal", st.seal(server, request))])


class Case:
    def __init__(self, site):
        self.site, self.requests, self.version = site, 0, 0
        self.fewer, self.logged = 60, 0
        self.operator = st.Operator(site)
        self.victims = []

    def document(self, version, routes):
        """A configuration that sends /book/ to svc-a if its version is even, and else to svc-b."""
        common = {"host": "h.example", "route-type": "unsafe", "timeout-ms": 2000, "slo-ms": 300, "priority": 2, "attempts": 1,
                  "session-affinity": False, "resumable": False}
        list_ = [dict(common, name="r", **{"path-prefix": "/book/", "service": "svc-b" if version % 2 else "svc-a"})]
        list_ += [dict(common, name=f"r-{n}", **{"path-prefix": f"/x{n}/", "service": "svc-a"}) for n in range(routes)]
        return {"version": version, "routes": list_,
                "services": [{"name": n, "health-check": "/health", "max-connections": 130, "protocol": "h1", "tls": False} for n in ("svc-a", "svc-b")],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}

    def change(self, routes=ROUTES):
        """Sends the next version; it must be acknowledged, or nothing can be said of it."""
        self.version += 1
        if self.operator.replace(self.document(self.version, routes)) is None:
            raise RuntimeError(f"version {self.version} wasn't acknowledged")

    def held(self, machine):
        """The version in force on a machine, by its own metrics; the case is not decided by it."""
        r = st.call((machine.ip, self.site.port + 18), "GET", "/metrics")
        found = r and re.search(rb"routing_version(?:\{[^}]*\})? ([0-9.e+]+)", r[2])
        return int(float(found.group(1))) if found else 0

    def served_by(self, machine, tries=40):
        """Sends a request of a client; returns the service that ran it."""
        for _ in range(tries):
            self.requests += 1
            request = f"{self.requests:016x}"
            r = st.call(machine.front, "GET", "/book/1", None, {"Host": "h.example", "Request-Id": request, "Request-Deadline": "1500"})
            record("client sends", request, "to", machine.name, "and gets", None if r is None else (r[0], r[2].decode()))
            if r is not None and r[0] == 200:
                return r[2].decode()
            time.sleep(0.05)
        return None

    def followers(self):
        return [m for m in self.site.machines if m.disk and m.control != self.operator.leader]

    def choose(self, forwarders):
        """Finds a follower that sends configurations to two forwarders or more, and two of these.

        Without the follower that is the first of a forwarder, a configuration comes later. One counted
        machine may be lost at a time: the next one is frozen when the last one has caught up.
        """
        if not TROUBLE:
            self.victims = forwarders[:2]
            self.new_log()
            return self.followers()[0]
        for m in self.followers():
            time.sleep(st.CATCH_UP_S)
            m.signal(signal.SIGSTOP)
            self.change()
            time.sleep(0.07)
            late = [f for f in forwarders if self.held(f) < self.version]
            time.sleep(0.2)
            m.signal(signal.SIGCONT)
            time.sleep(0.4)
            if len(late) >= 2:
                self.victims = late[:2]
                self.new_log()
                return m
        return None

    def round(self, first):
        """Changes the configuration twice while the victims' machines are frozen."""
        self.version += self.version % 2  # the next two are odd and even
        if TROUBLE:
            for m in self.victims:
                record("platform:", m.name, "freezes")
                m.signal(signal.SIGSTOP)
        self.change(ROUTES + min(0, self.fewer))
        self.change(ROUTES - max(0, self.fewer))
        if TROUBLE:
            first.signal(signal.SIGSTOP)
            record("platform:", first.name, "freezes")
        time.sleep(HELD_S)
        if TROUBLE:
            for m in self.victims:
                m.signal(signal.SIGCONT)
                record("platform:", m.name, "wakes")
            time.sleep(0.05)
            first.signal(signal.SIGCONT)
            record("platform:", first.name, "wakes")
        time.sleep(0.1)
        # The two versions reach each victim by two ways. Their sizes are chosen so that both are
        # decoded at about the same time; only that is read from the log.
        first_too = f'"version":{self.version - 1},' in self.new_log()
        self.fewer = max(-300, min(300, self.fewer + (STEP if first_too else -STEP) + random.randint(-3, 3)))

    def new_log(self):
        """Returns which routings the first victim has logged since the last call."""
        with open(os.path.join(self.victims[0].folder, "forwarder.log"), encoding="utf-8", errors="replace") as f:
            f.seek(self.logged)
            text = f.read()
            self.logged = f.tell()
        return "".join(line for line in text.splitlines(True) if "routing in force" in line)


def main():
    site = st.Site(record, NET)
    try:
        site.seeds = [f"{NET}.{n}" for n in (1, 2, 3)]
        for n, zone in ((1, "a"), (2, "b"), (3, "c")):
            site.add(n, zone, True)
        case = Case(site)
        forwarders = [site.add(4 + n, zone, False) for n, zone in enumerate("aabc")]
        for m in site.machines:
            m.start_all()
        for n, service in enumerate(("svc-a", "svc-b")):
            st.Server(site, service, f"{NET}.{101 + n}", answer)
        case.change()
        if not st.wait_until(lambda: all(m.is_ready() for m in site.machines), 15):
            return 2
        time.sleep(1)
        begin, rounds, leader, first = time.monotonic(), 0, None, None
        while time.monotonic() - begin < RUN_S - SETTLE_S:
            if case.operator.leader != leader:
                first = case.choose(forwarders)
                leader = case.operator.leader
                record("configurations come first from", first and first.name, "to", [m.name for m in case.victims])
                if first is None:
                    leader = None
                    continue
            rounds += 1
            case.round(first)
            if any(case.held(m) < case.version and case.served_by(m) == "svc-b" for m in case.victims):
                break
        # All machines run undisturbed; from now on the newest version alone may be obeyed.
        record("round", rounds, "is the last; version", case.version, "was acknowledged; all is calm for", SETTLE_S, "s")
        time.sleep(SETTLE_S)
        if rounds == 0 or not site.all_run():
            return 2
        stale = {m.name: [case.served_by(m) for _ in range(5)].count("svc-b") for m in site.machines}
        record("requests that the service of the older version ran, of 5:", stale)
        print("rounds", rounds, "stale", stale)
        return 1 if any(stale.values()) else 0
    finally:
        site.close()


st.run(main)
