"""Stand-ins for the platform, the operator, the servers and the clients of oriolebend.

They speak what PROTOCOL.md and DEPLOY.md describe, on loopback addresses and the real
clock. The programs under test are started with the `run` lines of deploy/system.toml and
with settings that are rendered from the templates beside it.
"""

import http.client
import http.server
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Bounds of the small deployments (SYSTEM.md).
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
HEARTBEAT_S = 1.2
CATCH_UP_S = 4.0  # a counted machine stays lost for so long after it is back


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.begin:8.3f} " + " ".join(str(w) for w in words)
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()


def free_port(ip, count=1):
    """Returns the first of count consecutive ports that are free on ip for TCP and UDP."""
    for first in range(21000 + os.getpid() % 5000, 60000, 7):
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    sockets.append(s)
                    s.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise RuntimeError("no free ports")


def lookup(fields, name):
    """Returns a field by its dotted name, None if there is none."""
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
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
    """Fills in a settings template as DEPLOY.md describes."""

    def section(match):
        value, body = lookup(fields, match.group(1)), match.group(2)
        if value is None or value is False:
            return ""
        if not isinstance(value, list):
            return render(body, fields)
        parts = []
        for at, entry in enumerate(value):
            comma = "," if at < len(value) - 1 else ""
            parts.append(body.replace("{{.}}", text_of(entry)).replace("{{,}}", comma))
        return "".join(parts)

    out = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^|]+)\}\}", lambda m: text_of(lookup(fields, m.group(1))), out)


class Machine:
    """One machine of the system: an IP, a disk or none, and the processes of its roles."""

    def __init__(self, site, ip, zone, disk):
        self.site, self.ip, self.zone, self.disk = site, ip, zone, disk
        self.name = f"front-{zone}-{ip.rsplit('.', 1)[1]}"
        self.folder = os.path.join(site.folder, self.name)
        os.makedirs(os.path.join(self.folder, "data"))
        self.processes = {}
        self.bootstrap = True

    @property
    def front(self):
        return self.ip, self.site.port

    @property
    def ready(self):
        return self.ip, self.site.port + 1

    @property
    def control(self):
        return self.ip, self.site.port + 2

    def fields(self):
        site = self.site
        at = "{}:{}".format
        return {
            "node-name": self.name, "machine-class": "front", "ip": self.ip, "zone": self.zone, "region": "bogota",
            "listen": {"front": at(*self.front), "ready": at(*self.ready), "control": at(*self.control)},
            "port-range": [site.port + 3, site.port + 18],
            "seeds": [at(ip, site.port + 2) for ip in site.seeds],
            "bootstrap": self.bootstrap, "data-dir": os.path.join(self.folder, "data") if self.disk else "",
            "limits": {"memory-mb": 284, "link-mbps": 1000.0, "cores": 1},
            "bounds": {"grace-s": 8, "retry-budget-ratio": 0.2, "budget-slack": 62, "budget-window-s": 10},
        }

    def start(self, role):
        """Starts the process of a role as the deploy file says."""
        deployed = self.site.roles[role]
        fields = self.fields()
        settings = os.path.join(self.folder, role + ".toml")
        with open(os.path.join(ROOT, deployed["template"]), encoding="utf-8") as f:
            text = render(f.read(), fields)
        # The machines share one host here, and the operators' own port is on 127.0.0.1 on each of them.
        port = site_port = self.site.port + 3
        text = text.replace(f'listen = "127.0.0.1:{port}"', f'listen = "{self.ip}:{site_port + 8}"')
        with open(settings, "w", encoding="utf-8") as f:
            f.write(text)
        words = [render(w, fields) for w in deployed["run"].split()]
        words[0] = os.path.join(ROOT, words[0])
        log = open(os.path.join(self.folder, role + ".log"), "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["ORIOLEBEND_NODE_FILE"] = settings
        self.processes[role] = subprocess.Popen(words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def start_all(self):
        for role in self.site.roles:
            self.start(role)
        self.bootstrap = False

    def signal(self, number, roles=None):
        for role in roles or self.processes:
            self.processes[role].send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        for p in self.processes.values():
            p.wait()

    def is_ready(self):
        try:
            c = http.client.HTTPConnection(*self.ready, timeout=1)
            c.request("GET", "/v1/readiness")
            return c.getresponse().status == 200
        except OSError:
            return False


class Site:
    """A small deployment: machines, and the ports that are the same on all of them."""

    def __init__(self, record, net):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.roles = tomllib.load(f)["roles"]
        self.record = record
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # close() is called on the way out
        self.folder = tempfile.mkdtemp(prefix="oriolebend-review-")
        self.net = net
        self.port = free_port("127.0.0.1", 24)
        self.machines, self.servers, self.seeds = [], [], []

    def add(self, number, zone, disk):
        m = Machine(self, f"{self.net}.{number}", zone, disk)
        self.machines.append(m)
        return m

    def all_run(self):
        """Reports whether every process that was started still runs."""
        return all(p.poll() is None for m in self.machines for p in m.processes.values())

    def close(self):
        """Ends every process that was started, and removes the folder."""
        for s in self.servers:
            s.stop()
        for m in self.machines:
            for p in m.processes.values():
                if p.poll() is None:
                    try:
                        p.send_signal(signal.SIGCONT)
                        p.kill()
                    except ProcessLookupError:
                        pass
                    p.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Makes one call on a new connection; returns status, headers and body, or None."""
    c = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        c.request(method, path, body, headers or {})
        r = c.getresponse()
        return r.status, r.headers, r.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        c.close()


class Operator:
    """Sends configurations to the daemons that serve control, until one acknowledges them."""

    def __init__(self, site):
        self.site, self.leader = site, None

    def replace(self, document, within=10.0):
        """Sends a configuration; returns the time of its acknowledgement, None if there is none."""
        body, end, at = json.dumps(document), time.monotonic() + within, 0
        while time.monotonic() < end:
            addresses = [m.control for m in self.site.machines]
            address = self.leader or addresses[at % len(addresses)]
            at += 1
            answer = self.follow(address, body)
            if answer == 200:
                self.site.record("operator: version", document["version"], "acknowledged")
                return time.monotonic()
            if answer in (400, 409, 412, 413, 422):
                self.site.record("operator: version", document["version"], "refused", answer)
                return None
            self.leader = None
            time.sleep(0.05)
        return None

    def follow(self, address, body):
        for _ in range(3):
            r = call(address, "POST", "/v1/Config.Replace", body, {"Content-Type": "application/json"}, timeout=1.5)
            if r is None:
                return None
            if r[0] != 307:
                if r[0] == 200:
                    self.leader = address
                return r[0]
            host, port = r[1]["Location"].split("/")[2].split(":")
            address = (host, int(port))
        return None


class Heartbeats(threading.Thread):
    """Announces one server to the daemons that serve control."""

    def __init__(self, server):
        super().__init__(daemon=True)
        self.server, self.sequence, self.address = server, 0, None
        self.ended = threading.Event()

    def body(self):
        s = self.server
        self.sequence += 1
        b = {
            "service": s.service, "address": "{}:{}".format(*s.address), "zone": s.zone, "version": s.version,
            "slots": s.slots, "state": "ready", "cold-remaining-ms": 0, "sequence": self.sequence, "born": s.born,
        }
        if s.stage:
            b.update(stage=s.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        return json.dumps(b)

    def run(self):
        at = 0
        while not self.ended.is_set():
            machines = self.server.site.machines
            address = self.address or machines[at % len(machines)].control
            r = call(address, "POST", "/v1/Instances.Heartbeat/" + self.server.id, self.body(),
                     {"Content-Type": "application/json"}, timeout=1.0)
            if r is None or r[0] // 100 != 2:
                self.address, at = None, at + 1
                self.ended.wait(0.1)
                continue
            given = json.loads(r[2] or b"{}").get("heartbeat-addr")
            if given:
                host, port = given.split(":")
                self.address = (host, int(port))
            self.ended.wait(HEARTBEAT_S)


class Server:
    """One server of a service. handle(handler, body) answers a request that it runs."""

    number = 0

    def __init__(self, site, service, ip, handle, zone="a", version="v1", slots=64, stage="", port=0, name=None):
        Server.number += 1
        self.site, self.service, self.zone, self.version = site, service, zone, version
        self.slots, self.stage, self.handle = slots, stage, handle
        self.id = name or f"i-{Server.number:08x}"
        self.born = int(time.time() * 1000)
        self.ran = []
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            timeout = 30

            def log_message(self, *_):
                pass

            def reply(self, status, body=b"", headers=()):
                self.send_response(status)
                for k, v in headers:
                    self.send_header(k, v)
                if "Request-Id" in self.headers:
                    self.send_header("Request-Id", self.headers["Request-Id"])
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def any(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                if self.path == "/health":
                    return self.reply(200, headers=[("Instance-Id", outer.id)])
                if self.headers.get("Expect-Instance") not in (None, outer.id):
                    return self.reply(421, headers=[("Instance-Id", outer.id), ("Not-Executed", "1")])
                try:
                    outer.handle(outer, self, body)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = any

        class Listener(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 256
            allow_reuse_address = True

            def handle_error(self, *_):
                pass

        self.http = Listener((ip, port), Handler)
        self.address = self.http.server_address[:2]
        self.beats = Heartbeats(self)
        threading.Thread(target=self.http.serve_forever, daemon=True).start()
        self.beats.start()
        site.servers.append(self)

    def stop(self):
        self.beats.ended.set()
        self.http.shutdown()
        self.http.server_close()


def seal(server, request):
    return f"{server.id}.{request}"


def wait_until(condition, within, step=0.02):
    end = time.monotonic() + within
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(step)
    return False


def run(main):
    """Ends with the result of a case; a case that fails in itself couldn't run."""
    try:
        code = main()
    except Exception:  # an exit code of 1 would say that the rule was broken
        traceback.print_exc()
        code = 2
    sys.exit(code)
