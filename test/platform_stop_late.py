"""Tests requests that come to an entry node during its grace period: each is
answered, or refused as not run once there is too little time to run it. Exits
non-zero if a check fails.

Arguments: names of checks; all of them without one.
"""

import signal
import socket
import sys
import threading
import time

import platform_hosted as hosted
from platform_hosted import expect, wait_for

WORK_S = 0.4  # of each request, as a share of the grace period
LAST_S = 3  # after the signal; of a request that may be cut by the end
LOST_S = 0.2  # in which a request that isn't passed on may lose its connection
KEPT = 40  # connections


class Kept:
    """A connection that has carried a request before."""

    def __init__(self, h, node, method, path, body):
        self.h, self.method, self.path, self.body = h, method, path, body
        self.sent_at = self.ended_at = None
        self.request = self.status = None
        self.link = socket.create_connection(
            ("127.0.0.1", h.nodes[node]["entry"]), 20)
        expect(b" 200 " in self.exchange("/warm/", "GET", b"")[:20],
               "a connection is kept")

    def exchange(self, path, method, body):
        self.h.requests += 1
        self.request = "r%d" % self.h.requests
        try:
            self.link.sendall((
                "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
                "X-Deadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n" % (
                    method, path, hosted.HOST, self.request,
                    len(body))).encode() + body)
            return self.link.recv(65536)
        except OSError:
            return b""

    def ask(self):
        self.sent_at = time.monotonic()
        got = self.exchange(self.path, self.method, self.body)
        self.status = int(got[9:12]) if got.startswith(b"HTTP/1.1 ") else 0
        self.ended_at = time.monotonic()


def start(f, grace_s, drain_ms):
    f.start_platform()
    h = hosted.Hosted(f, lambda *a: hosted.Worker(*a, slots=64))
    for name in ("n0", "n1"):
        h.start_node(name, "billing", extra=(
            "hosted.grace_s=%g" % grace_s, "limits.drain_ms=%d" % drain_ms,
            "limits.most_body=67108864"))
    d = hosted.json.loads(hosted.document(3, [
        hosted.route("warm", "/warm/", "billing"),
        hosted.route("read", "/read/", "billing", timeout=15),
        hosted.route("charge", "/charge/", "billing", "non_idempotent",
                     timeout=15)]))
    d["Limits"].update({"MaxBodyBytes": 1 << 24, "IdleTimeoutS": 30})
    h.put_config(hosted.json.dumps(d))
    for k, name in enumerate(("n0", "n1")):
        h.start_worker("w%d" % k, name)
    expect(wait_for(lambda: all(h.ready(n) and h.ask(n, "/warm/")[0] == 200
                                for n in h.nodes)), "the fleet serves")
    return h


def stop_under_load(f, grace_s, drain_ms=3000, kept_body=b""):
    """Stops a node and sends requests on kept connections through its grace
    period."""
    h = start(f, grace_s, drain_ms)
    kinds = (("POST", "/charge/", kept_body), ("GET", "/read/", b""))
    links = [Kept(h, "n0", *kinds[k % 2]) for k in range(KEPT)]
    for w in h.workers.values():
        w.work_s = WORK_S * grace_s
    node = h.f.nodes["n0"]
    signalled = time.monotonic()
    ended = []

    def await_end():
        node.popen.wait()
        ended.append(time.monotonic())

    node.send(signal.SIGTERM)
    threads = [threading.Thread(target=await_end)]
    threads[0].start()
    for k, link in enumerate(links):
        at = signalled + 0.05 + k * grace_s / len(links)
        time.sleep(max(0, at - time.monotonic()))
        threads.append(threading.Thread(target=link.ask))
        threads[-1].start()
    in_time = wait_for(lambda: ended, signalled + grace_s - time.monotonic())
    node.send(signal.SIGKILL)  # as the platform does; nothing if it has ended
    for t in threads:
        t.join()
    expect(in_time, "the node ends within its grace period")
    return h, links, signalled, ended[0]


def expect_answered(h, links, signalled, ended, grace_s):
    ran = {}
    for w in h.workers.values():
        for x in w.seen:
            ran.setdefault(x[0], []).append(x[1] - signalled)
    served = 0
    for link in links:
        sent, end = link.sent_at - signalled, link.ended_at - signalled
        runs = ran.get(link.request, [])
        what = "%s sent at %.2f s ran at %s, %s at %.2f s" % (
            link.path, sent, ["%.2f" % r for r in runs], link.status, end)
        served += link.status == 200
        if link.status == 0:
            expect(not runs, "no request that ran is cut: " + what)
            # The process is seen to end shortly after its sockets close.
            expect(end - sent <= LOST_S and link.ended_at >= ended - LOST_S,
                   "only the end, at %.3f s, closes a connection: %s" % (
                       ended - signalled, what))
            continue
        if link.status == 503:
            expect(not runs, "what is refused doesn't run: " + what)
            expect(end - sent < 0.5, "and is refused at once: " + what)
        elif link.status != 200:
            expect(runs and sent <= LAST_S and end >= grace_s * 5 / 6,
                   "only a late end breaks off work: " + what)
    expect(served > 0, "%d of %d are served" % (served, len(links)))


# Guards against requests that come late in the grace period, are passed on and
# cut at its end.
def check_usual(f):
    expect_answered(*stop_under_load(f, 6), 6)


# Guards against the same with bodies that are streamed.
def check_uploads(f):
    expect_answered(*stop_under_load(f, 6, kept_body=b"x" * (3 << 20)), 6)


# Guards against a drain that is as long as the grace period, or longer.
def check_short(f):
    expect_answered(*stop_under_load(f, 3), 3)


# Guards against the same with a longer grace period.
def check_long(f):
    expect_answered(*stop_under_load(f, 10), 10)


CHECKS = {"usual": check_usual, "uploads": check_uploads,
          "short": check_short, "long": check_long}


if __name__ == "__main__":
    sys.exit(hosted.run_checks("stop-late", CHECKS, sys.argv[1:]))
