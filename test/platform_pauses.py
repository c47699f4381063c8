"""Tests a team's limit while its owner nodes freeze, and grants given back."""

import json
import signal
import sys
import threading
import time

import platform_hosted as hosted
import platform_stop as stop
from platform_hosted import expect, wait_for

import fleet

RATE, BURST, OVERAGE, SLACK = 43, 43, 0.1, 20
WINDOW_S = 5
CALLERS = 12  # per node
FREEZE_S, EVERY_S = 1.2, 2.5
ASKED = 50  # more than a burst, the slack and what is refilled meanwhile


def team_document(version, rate, burst):
    r = hosted.route("pay", "/pay/", "billing", "non_idempotent")
    d = json.loads(hosted.document(version, [r]))
    d["Tenants"] = [{"Name": "red", "ApiKeys": ["k1"], "Priority": 1,
                     "RatePerS": rate, "Burst": burst}]
    return json.dumps(d)


def run_times(h):
    return sorted(s[1] for w in h.workers.values() for s in w.seen
                  if s[3] == "/pay/")


def most_in_window(times):
    return max((sum(1 for t in times if a <= t <= a + WINDOW_S)
                for a in times), default=0)


def press(h, node, until):
    while time.monotonic() < until:
        try:
            h.ask(node, "/pay/", "POST", b"c", {"X-Key": "k1"}, timeout=3)
        except OSError:
            pass  # its node is frozen
        time.sleep(0.02)


# Guards against an owner node that goes on with its old bucket after others
# have granted from theirs. Each node is frozen three times, so that the team's
# owner is among them.
def check_pauses(h):
    h.put_config(team_document(11, RATE, BURST))
    expect(wait_for(lambda: h.ask("n0", "/pay/", "POST", b"c",
                                  {"X-Key": "k1"})[0] == 200), "served")
    for name in list(h.nodes):
        time.sleep(3)
        for w in h.workers.values():
            w.seen.clear()
        until = time.monotonic() + 3 * EVERY_S + 1
        threads = [threading.Thread(target=press, args=(h, n, until))
                   for n in h.nodes for _ in range(CALLERS)]
        for t in threads:
            t.start()
        for _ in range(3):
            time.sleep(EVERY_S - FREEZE_S)
            h.f.nodes[name].send(signal.SIGSTOP)
            time.sleep(FREEZE_S)
            h.f.nodes[name].send(signal.SIGCONT)
        for t in threads:
            t.join()
        bound = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
        most = most_in_window(run_times(h))
        expect(most <= bound, "with %s frozen: %d ran in %g s, bound %g" % (
            name, most, WINDOW_S, bound))


# Guards against a team that pays for requests that never ran.
def check_returns(h):
    h.put_config(team_document(12, 1, 20))
    time.sleep(4)
    for w in h.workers.values():
        w.mode = "shed"
    first = [h.ask("n0", "/pay/", "POST", b"c", {"X-Key": "k1"})[0]
             for _ in range(ASKED)]
    expect(first.count(503) > 0 and first.count(429) == 0,
           "refused as not run, their grants are given back: %s" % first)
    for w in h.workers.values():
        w.mode = "healthy"


def main():
    with fleet.Fleet(cluster="pauses") as f:
        h = stop.start_fleet(f, ("hosted.allowance_overage=%g" % OVERAGE,
                                 "hosted.allowance_slack=%g" % SLACK))
        time.sleep(2)
        check_pauses(h)
        check_returns(h)
    return hosted.summarize("pauses")


if __name__ == "__main__":
    sys.exit(main())
