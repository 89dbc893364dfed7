"""Starts the project's own programs as the deploy file does, on loopback addresses.

Each "machine" is a loopback address of its own (127.A.B.N); the ports are the same on all machines, as
DEPLOY.md says. The settings are the templates under deploy/, filled in as DEPLOY.md tells. One line
differs: the operators' port of a control process, which the template puts on 127.0.0.1 of each machine,
gets a port of its own here, because all machines share one 127.0.0.1.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of sites/lintang-convoy.toml, as SYSTEM.md prints them.
BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "rollback-slack-ms": 250, "skew-max-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10,
    "budget-slack": 60, "recovery-s": 12, "transit-ms": 120, "retry-after-s": 6.6,
    "fencing-enforced": False, "lease-ms": 3000, "thaw-slack-ms": 300,
}


class CannotRun(Exception):
    """The case could not be brought about; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))


def lookup(scope, path):
    value = scope
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)] if key.isdigit() and int(key) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(key)
        else:
            value = None
        if value is None:
            return None
    return value


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(v) for v in value)
    return str(value)


def render(template, fields):
    """Fills in the placeholders and sections that DEPLOY.md describes, as far as deploy/ uses them."""

    def section(match):
        name, body = match.group(1), match.group(2)
        value = lookup(fields, name)
        if value in (None, False, "", []):
            return ""
        if not isinstance(value, list):
            return render(body, fields)
        parts = []
        for i, entry in enumerate(value):
            comma = "," if i + 1 < len(value) else ""
            parts.append(body.replace("{{.}}", text_of(entry)).replace("{{,}}", comma))
        return "".join(parts)

    out = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda m: text_of(lookup(fields, m.group(1))), out)


def port_is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as s:
            try:
                s.bind((host, port))
            except OSError:
                return False
    return True


class Site:
    """The processes of one small deployment."""

    def __init__(self, record):
        self.record = Record(record)
        self.tmp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
        self.random = random.Random()
        base = next(p for p in iter(lambda: random.randint(20000, 29000), None) if all(port_is_free(host, p + i) for host in ("127.0.0.1", self.net + ".1") for i in range(16)))
        self.ports = {"front": base, "ready": base + 1, "control": base + 2, "peer": base + 4, "app": base + 8}
        self.operators = base + 9  # the operators' port of machine N is this + N
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.processes = {}
        self.closers = []

    def address(self, number, port):
        return "%s.%d:%d" % (self.net, number, self.ports[port])

    def start(self, role, number, seeds, data=None, bootstrap=False, zone="zone-a"):
        """Starts a role on machine number; data names its data folder."""
        deploy = self.roles[role]
        ip = "%s.%d" % (self.net, number)
        fields = {
            "node-name": "front-%d" % number, "role": role, "machine-class": "front", "ip": ip, "zone": zone,
            "region": "region", "zones": {zone: "region"},
            "listen": {k: "%s:%d" % (ip, self.ports[k]) for k in ("front", "ready", "control")},
            "port-range": [self.ports["peer"], self.ports["peer"] + 1],
            "seeds": ["%s.%d:%d" % (self.net, n, self.ports["control"]) for n in seeds],
            "bootstrap": bootstrap, "limits": {"memory-mb": 134, "link-mbps": 1000.0},
            "data-dir": str(data) if data else "", "bounds": BOUNDS,
        }
        settings = render((ROOT / deploy["template"]).read_text(), fields)
        if role == "control":
            operator = "127.0.0.1:%d" % self.ports["peer"]
            assert operator in settings
            settings = settings.replace(operator, "127.0.0.1:%d" % (self.operators + number))
        path = self.tmp / ("%s-%d.conf" % (role, number))
        path.write_text(settings)
        command = render(deploy["run"], fields).split(" ")
        log = open(self.tmp / ("%s-%d.log" % (role, number)), "ab")
        process = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.tmp), "ORIOLEBEND_NODE_FILE": str(path)},
        )
        log.close()
        self.processes[(role, number)] = process
        self.record("start %s on machine %d (process %d)%s" % (role, number, process.pid, ", bootstrap" if bootstrap else ""))
        return process

    def signal(self, role, number, which):
        self.record("%s to %s on machine %d" % (which.name, role, number))
        self.processes[(role, number)].send_signal(which)

    def wait_exit(self, role, number, seconds):
        try:
            code = self.processes[(role, number)].wait(seconds)
        except subprocess.TimeoutExpired:
            return None
        self.record("%s on machine %d has exited with %d" % (role, number, code))
        return code

    def log_of(self, role, number):
        return (self.tmp / ("%s-%d.log" % (role, number))).read_text(errors="replace")

    def stop(self):
        for close in self.closers:
            close()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)


def call(address, method, path, body=None, timeout=1.0, headers=None):
    """One call on a new connection; status 0 means that no answer came."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
        connection.request(method, path, data, headers or ({"Content-Type": "application/json"} if data else {}))
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Operator:
    """The operator of PROTOCOL.md: it goes on to another daemon and follows a 307 twice."""

    def __init__(self, site, machines):
        self.site, self.machines = site, list(machines)
        self.turn = 0

    def attempt(self, method, path, body, timeout):
        self.turn += 1
        address = self.site.address(self.machines[self.turn % len(self.machines)], "control")
        for _ in range(3):
            status, headers, data = call(address, method, path, body, timeout)
            if status != 307:
                return status, data, address
            address = headers["Location"].split("//", 1)[1].split("/", 1)[0]
        return 307, b"", address

    def until(self, method, path, body, seconds, timeout=2.0):
        """Repeats a call until it is answered 200 or 4xx; returns the last status and body."""
        end, status, data, tries = time.monotonic() + seconds, 0, b"", 0
        while time.monotonic() < end:
            status, data, address = self.attempt(method, path, body, timeout)
            tries += 1
            if status == 200 or 400 <= status < 500 and status not in (408, 429):
                self.site.record("operator: %s %s answered %d by %s after %d tries" % (method, path, status, address, tries))
                return status, data
            time.sleep(0.2)
        self.site.record("operator: %s %s not answered in %.0f s, %d tries, last status %d" % (method, path, seconds, tries, status))
        return status, data

    def apply(self, config, seconds=15):
        status, _ = self.until("POST", "/v1/Config.Replace", config, seconds)
        if status != 200:
            raise CannotRun("version %d not acknowledged: %d" % (config["version"], status))
        self.site.record("operator: version %d acknowledged" % config["version"])

    def fetch(self, seconds):
        """Returns the version that is read back, or None."""
        status, data = self.until("GET", "/v1/Config.Fetch", None, seconds)
        return json.loads(data)["version"] if status == 200 else None

    def leader(self):
        """Returns the machine that answers a read itself."""
        for _ in range(50):
            for n in self.machines:
                status, _, _ = call(self.site.address(n, "control"), "GET", "/v1/Config.Fetch")
                if status == 200:
                    return n
            time.sleep(0.1)
        raise CannotRun("no daemon answers a read")


def configuration(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    }


def wait_ready(site, machines, seconds=15):
    end = time.monotonic() + seconds
    for n in machines:
        while call(site.address(n, "ready"), "GET", "/v1/readiness")[0] != 200:
            if time.monotonic() > end:
                raise CannotRun("forwarder on machine %d not ready" % n)
            time.sleep(0.1)
    site.record("forwarders ready")


def main(case):
    """Runs a case, which returns the reason why the rule was broken, or None; exits as run.sh must.

    The first argument is the path of the record.
    """
    try:
        site = Site(sys.argv[1])
    except Exception as e:
        print("could not run: %r" % e)
        sys.exit(NOT_RUN)

    def expired(*_):
        raise CannotRun("time is over")

    signal.signal(signal.SIGTERM, expired)
    signal.signal(signal.SIGALRM, expired)
    signal.alarm(115)
    code = NOT_RUN
    try:
        if not (ROOT / "target/oriolebend-node").exists():
            raise CannotRun("target/oriolebend-node is not built")
        broken = case(site)
        code = BROKEN if broken else HELD
        site.record("result: %s" % (broken or "the rule held"))
        print(broken or "the rule held")
    except Exception as e:  # a fault of the script itself says nothing about the rule either
        site.record("result: could not run: %r" % e)
        print("could not run: %r" % e)
    finally:
        signal.alarm(0)
        site.stop()
    sys.exit(code)
