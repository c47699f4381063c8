"""Tests a store that comes back from an older copy of itself: all nodes believe
what it holds then, also the nodes that don't read it themselves."""

import json
import sys
import time

import platform_hosted as hosted
import platform_stop as stop
from platform_hosted import expect, wait_for

import fleet

REVOKE_S = 5


def team_document(version, keys, padding=""):
    r = hosted.route("pay", "/pay/", "billing", "non_idempotent")
    warm = hosted.route("warm" + padding, "/warm/", "billing")
    warm["NoAuth"] = True
    d = json.loads(hosted.document(version, [r, warm]))
    d["Tenants"] = [{"Name": "red", "ApiKeys": keys, "Priority": 1,
                     "RatePerS": 0, "Burst": 0}]
    return json.dumps(d)


def fault(h, mode):
    fleet.post(h.f.platform.address(), "/fault", {"mode": mode})


def statuses(h, key):
    return [h.ask(n, "/pay/", "POST", b"c", {"X-Key": key})[0]
            for n in h.nodes]


def all_answer(h, key, status):
    return set(statuses(h, key)) == {status}


def put_and_wait(h, text, key):
    h.put_config(text)
    expect(wait_for(lambda: all_answer(h, key, 200)), "%s lets in" % key)


def restore(h, away_s=1):
    fault(h, "down")
    time.sleep(away_s)
    fault(h, "restore")
    fault(h, "none")


# Guards against readers that wait for changes after a store version that the
# restored store has yet to reach.
def check_lost_rows(h):
    put_and_wait(h, team_document(11, ["k1", "k2"]), "k2")
    fault(h, "copy")
    for k in range(5):
        fleet.post(h.f.platform.address(), "/operator",
                   {"table": "other", "key": "row%d" % k, "value": "x"})
    time.sleep(3)  # the readers' position passes these versions
    restore(h)
    h.put_config(team_document(12, ["k1"]))
    began = time.monotonic()
    expect(wait_for(lambda: all_answer(h, "k2", 401), REVOKE_S + 1),
           "a key that is taken away after the restore stops: %s" %
           statuses(h, "k2"))
    expect(time.monotonic() - began <= REVOKE_S, "within its bound")
    expect(wait_for(lambda: all_answer(h, "k1", 200)), "the other one remains")


# Guards against two documents of one version: nodes keep the one that the
# restored store no longer has.
def check_same_version(h):
    fault(h, "copy")
    put_and_wait(h, team_document(21, ["k1", "k3"]), "k3")
    restore(h)
    h.put_config(team_document(21, ["k1", "k4"]))
    expect(wait_for(lambda: all_answer(h, "k4", 200) and
                    all_answer(h, "k3", 401), REVOKE_S + 1),
           "the document of the restored store counts: k3 %s, k4 %s" % (
               statuses(h, "k3"), statuses(h, "k4")))


# Guards against nodes that stay with a version that the store has lost.
def check_lower_version(h):
    fault(h, "copy")
    put_and_wait(h, team_document(40, ["k1", "k5"]), "k5")
    restore(h)
    expect(wait_for(lambda: all_answer(h, "k5", 401) and
                    all_answer(h, "k1", 200), REVOKE_S + 1),
           "the older configuration of the store counts: k5 %s" %
           statuses(h, "k5"))


def main():
    with fleet.Fleet(cluster="store-back") as f:
        h = stop.start_fleet(f)
        for check in (check_lost_rows, check_same_version,
                      check_lower_version):
            check(h)
    return hosted.summarize("store_back")


if __name__ == "__main__":
    sys.exit(main())
