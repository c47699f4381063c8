"""Tests an entry node that stops while requests wait before they are passed on:
for their team's turn, or for the rest of their body."""

import json
import socket
import sys
import threading
import time

import platform_hosted as hosted
import platform_stop as stop
from platform_hosted import expect
from platform_stop import ENTRY

import fleet

CALLERS = 4
RATE, BURST = 2, 1
TARGET_S = 20  # a tenth of it is the longest wait for a turn
TARGET_OF_REFUSALS_S = 0.5


def team_document(version):
    r = hosted.route("pay", "/pay/", "billing", "non_idempotent", timeout=20)
    r["TargetLatencyS"] = TARGET_S
    warm = hosted.route("warm", "/warm/", "billing")
    warm["NoAuth"] = True
    d = json.loads(hosted.document(version, [r, warm]))
    d["Tenants"] = [{"Name": "red", "ApiKeys": ["k1"], "Priority": 1,
                     "RatePerS": RATE, "Burst": BURST}]
    return json.dumps(d)


class Charges:
    """Requests of one team at the same moment; one in three of them runs at
    once, the others wait."""

    def __init__(self, h):
        self.results = []
        self.threads = [threading.Thread(target=self.charge, args=(h,))
                        for _ in range(CALLERS)]
        for t in self.threads:
            t.start()

    def charge(self, h):
        began = time.monotonic()
        try:
            status, headers, _ = h.ask(ENTRY, "/pay/", "POST", b"c",
                                       {"X-Key": "k1"}, timeout=10)
        except OSError as e:
            status, headers = type(e).__name__, {}
        self.results.append((status, headers.get("Retry-After"),
                             time.monotonic() - began))

    def wait(self):
        for t in self.threads:
            t.join()
        return sorted(self.results, key=str)


def start_entry(h, drain_ms):
    stop.start_entry(h, "limits.drain_ms=%d" % drain_ms,
                     "hosted.allowance_overage=0")
    time.sleep(2)  # the team's bucket fills


def stop_while_waiting(h, drain_ms):
    """Stops a node while requests wait for their team's turn."""
    start_entry(h, drain_ms)
    charges = Charges(h)
    time.sleep(0.2)
    stop.stop_entry(h)
    return charges.wait()


# Guards against a node that takes itself for idle while requests wait for
# their team's turn, and closes their connections.
def check_turn_before_the_end(h):
    results = stop_while_waiting(h, 3000)
    expect([r[0] for r in results] == [200] * CALLERS,
           "requests whose turn comes before the node ends are served: %s" %
           results)


# Guards against requests that are held until the end though their turn comes
# too late.
def check_turn_after_the_end(h):
    results = stop_while_waiting(h, 300)
    late = [r for r in results if r[0] != 200]
    expect(late and all(r[0] == 503 and float(r[1] or 0) > 0 and
                        r[2] < TARGET_OF_REFUSALS_S for r in late),
           "others are refused at once, with a time to return: %s" % results)


# Guards against a node that ends while it reads the body of a request.
def check_body(h):
    start_entry(h, 300)
    with socket.create_connection(
            ("127.0.0.1", h.nodes[ENTRY]["entry"]), 5) as s:
        s.sendall(("POST /warm/ HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: b1\r\n"
                   "X-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nab" %
                   hosted.HOST).encode())
        time.sleep(0.2)
        stop.stop_entry(h)
        time.sleep(1)
        s.sendall(b"cd")
        head = s.recv(4096).decode().split("\r\n")[0]
    expect(" 503 " in head, "a request read whole is answered: %r" % head)


def main():
    with fleet.Fleet(cluster="stop-turns") as f:
        h = stop.start_fleet(f)
        h.put_config(team_document(9))
        time.sleep(3)
        for check in (check_turn_before_the_end, check_turn_after_the_end,
                      check_body):
            check(h)
    return hosted.summarize("stop_turns")


if __name__ == "__main__":
    sys.exit(main())
