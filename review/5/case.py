import pathlib
import shutil
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness2 as harness  # noqa: E402

REPLACEMENT = 4
PLANNED_GAP_S = 2.0  # the new machine first, then SIGTERM
LOSS_AFTER_S = 6.0  # after the start of the successor; catch-up-s is 4
READ_FOR_S = 25.0  # recovery-s is 12


def config(version):
    service = {"name": "desk", "health-check": "/health", "max-connections": 100, "protocol": "h1", "tls": False}
    route = {
        "name": "r-1", "host": "desk.example", "path-prefix": "/desk/", "route-type": "safe", "timeout-ms": 1000,
        "slo-ms": 300, "priority": 1, "service": "desk", "attempts": 2,
    }
    return harness.configuration(version, [route], [service])


def case(site):
    disks = {n: site.tmp / ("disk-%d" % n) for n in (1, 2, 3, REPLACEMENT)}
    seeds = [1, 2, 3]
    for n in seeds:
        disks[n].mkdir()
        site.start("control", n, seeds, data=disks[n], bootstrap=True, zone="zone-%d" % n)
    operator = harness.Operator(site, seeds)
    operator.apply(config(1))
    leader = operator.leader()
    site.record("machine %d leads; it is replaced as planned work" % leader)
    time.sleep(3)

    disks[REPLACEMENT].mkdir()
    started = time.monotonic()
    site.start("control", REPLACEMENT, seeds, data=disks[REPLACEMENT], zone="zone-%d" % leader)
    operator.machines.append(REPLACEMENT)
    time.sleep(PLANNED_GAP_S)
    site.signal("control", leader, signal.SIGTERM)
    if site.wait_exit("control", leader, harness.BOUNDS["grace-s"]) is None:
        site.signal("control", leader, signal.SIGKILL)
    shutil.rmtree(disks[leader])
    operator.machines.remove(leader)
    operator.apply(config(2))
    if time.monotonic() - started > LOSS_AFTER_S:
        raise harness.CannotRun("the replacement took too long")
    time.sleep(started + LOSS_AFTER_S - time.monotonic())

    victim = next(n for n in seeds if n not in (leader, operator.leader()))
    if harness.TROUBLE:
        site.record("machine %d loses its disk" % victim)
        site.signal("control", victim, signal.SIGKILL)
        site.wait_exit("control", victim, 5)
        shutil.rmtree(disks[victim])
        disks[victim].mkdir()
        time.sleep(1)
        site.start("control", victim, seeds, data=disks[victim], zone="zone-%d" % victim)
    time.sleep(harness.BOUNDS["recovery-s"])
    version = operator.fetch(READ_FOR_S)
    site.record("read back: version %s" % version)
    if version is None or version < 2:
        return "CONFIG: version 2 was acknowledged, and read back %.0f s after all are back it is %s" % (
            harness.BOUNDS["recovery-s"] + READ_FOR_S, version)
    return None


harness.main(case)
