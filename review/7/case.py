import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness2 as harness  # noqa: E402
import standins2 as standins  # noqa: E402

TRIES = 5


def config():
    service = {"name": "desk", "health-check": "/health", "max-connections": 100, "protocol": "h1", "tls": False}
    route = {
        "name": "r-1", "host": "desk.example", "path-prefix": "/desk/", "route-type": "unsafe", "timeout-ms": 2000,
        "slo-ms": 300, "priority": 1, "service": "desk", "attempts": 1,
    }
    return harness.configuration(1, [route], [service])


def case(site):
    controls = [1, 2, 3]
    for n in controls:
        disk = site.tmp / ("disk-%d" % n)
        disk.mkdir()
        site.start("control", n, controls, data=disk, bootstrap=True, zone="zone-%d" % n)
    site.start("forwarder", 1, controls)
    harness.Operator(site, controls).apply(config())
    runs = []

    def handle(request, conn):
        runs.append(request)
        site.record("server runs %s: %s %s, body of %d bytes" % (request.id, request.method, request.target, len(request.body)))
        standins.plain(request, conn)

    standins.Server(site, 11, "desk", "i-1", handle).beat(controls)
    harness.wait_ready(site, [1])
    time.sleep(2)

    sent = {}
    for i in range(TRIES):
        inner = ("POST /desk/pay HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: inner-%d\r\nRequest-Deadline: 1500\r\n"
                 "Content-Length: 0\r\n\r\n" % i).encode()
        name = "Content-Length " if harness.TROUBLE else "Content-Length"
        outer = ("POST /desk/note HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: outer-%d\r\nRequest-Deadline: 1500\r\n"
                 "%s: %d\r\n\r\n" % (i, name, len(inner))).encode()
        sent["outer-%d" % i] = inner
        host, port = site.address(1, "front").split(":")
        with socket.create_connection((host, int(port)), timeout=3) as conn:
            conn.sendall(outer + inner)
            site.record("client sends outer-%d: one request with a body of %d bytes" % (i, len(inner)))
            conn.settimeout(1.0)
            answers = b""
            try:
                while piece := conn.recv(65536):
                    answers += piece
            except OSError:
                pass
        site.record("client receives: %r" % answers[:400])
    time.sleep(0.5)

    if not harness.TROUBLE and len(runs) < TRIES:
        raise harness.CannotRun("sound requests did not reach the server")
    smuggled = [r.id for r in runs if r.id not in sent]
    changed = [r.id for r in runs if r.id in sent and r.body != sent[r.id]]
    if smuggled or changed:
        return "UNASKED: run though they were smuggled inside another request: %s; run with the body changed: %s" % (smuggled, changed)
    return None


harness.main(case)
