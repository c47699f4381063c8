"""Replaces the nodes of a fleet during a store outage, with one node paused at
a time: membership and configuration must survive, and a new configuration must
be accepted after the outage."""

import signal
import sys

import fleet

NODES = int(sys.argv[1]) if len(sys.argv) > 1 else 60
DATA_CENTRES = ("a", "b", "c", "d")
BATCH = max(1, NODES // 6)
CONFIG = "[fleet]\nname = churn\n[service s]\nfloor = 50%%\n" \
         "[route r]\npath = /%d\nservice = s\n"


def launch(f, numbers):
    nodes = [f.launch_node("n%d" % n, DATA_CENTRES[n % len(DATA_CENTRES)])
             for n in numbers]
    for n in nodes:
        n.wait_ready(60)


def wait_members(f, timeout):
    def all_known(node):
        response = f.ask(node, {"query": "fleet"})
        alive = [n for n in response["nodes"] if n["state"] != "dead"]
        return len(alive) == len(f.nodes)
    f.wait("all members known everywhere",
           lambda: all(all_known(n) for n in f.nodes), timeout)


def replace(f, numbers):
    """Kills nodes and starts replacements of the same names."""
    for n in numbers:
        f.nodes["n%d" % n].stop(signal.SIGKILL)
        del f.nodes["n%d" % n]
    launch(f, numbers)
    # A rolling replacement waits for readiness before the next batch.
    f.wait("replaced nodes are ready", lambda: all(
        f.ask("n%d" % n, {"query": "status"})["config_version"] >= 1
        for n in numbers), 30)


def main():
    with fleet.Fleet(cluster="churn") as f:
        f.start_platform()
        launch(f, range(4))
        launch(f, range(4, NODES))
        f.wait_config(f.submit_text(CONFIG % 1), 60)
        wait_members(f, 60)
        f.set_platform_fault(mode="down")
        paused = "n%d" % (NODES - 1)
        for first in range(0, NODES, BATCH):
            batch = range(first, min(first + BATCH, NODES))
            f.nodes[paused].send(signal.SIGSTOP)
            replace(f, [n for n in batch if "n%d" % n != paused])
            f.nodes[paused].send(signal.SIGCONT)
        f.wait_config(1, 60)
        wait_members(f, 60)
        code, out = f.ctl("config", "submit",
                          fleet.ROOT + "/examples/hinoha",
                          "--platform=" + f.platform.address())
        print("store out: exit %d, %s" % (code, out.strip()))
        f.set_platform_fault(mode="none")
        f.wait_config(f.submit_text(CONFIG % 3), 60)
        print("churn: nodes=%d replaced=%d members_kept=1 config_kept=1 "
              "refused_while_out=%d" % (NODES, NODES - 1, code == 3))
        return 0 if code == 3 else 1


if __name__ == "__main__":
    sys.exit(main())
