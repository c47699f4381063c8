"""Tests the quarantine of requests that crash backend servers.

A request that crashes every process it runs on must be refused on all nodes
after a few crashes, although it arrives with a new id each time.
"""

import random
import signal
import socket
import struct
import sys
import threading
import time

import platform_hosted as hosted
from platform_hosted import expect, wait_for

import fleet

NODES = 8
CONTAINMENT_S = 3  # allowed time from the third crash until containment
MAX_RETRIES = 3  # arrivals that are allowed afterwards
CRASH_S = 0.07  # from the arrival until the crash
RESTART_S = 2  # from the crash until the restart
CRASHING = b"crash"


def reset(connection):
    """Resets a connection, as a crash of its process does."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # closed by the peer


class CrashingWorker(hosted.Worker):
    """A backend server that crashes on the body CRASHING and restarts with a
    new start time."""

    def __init__(self, name, service, control, port, slots=4):
        self.crashes, self.arrivals, self.lock = [], [], threading.Lock()
        self.fixed = False  # no longer crashes
        self.crashed = threading.Event()  # of the running process
        super().__init__(name, service, control, port, slots)

    def work(self, request, body):
        if body != CRASHING or self.fixed:
            return super().work(request, body)
        crashed = self.crashed
        self.arrivals.append(time.monotonic())
        threading.Timer(CRASH_S, self.crash, [crashed]).start()
        crashed.wait()
        raise OSError("the process has crashed")

    def crash(self, crashed):
        with self.lock:
            if crashed.is_set():
                return  # already crashed
            crashed.set()
            self.crashes.append(time.monotonic())
            self.alive = False
            self.stop_serving()
            for connection in list(self.connections):
                reset(connection)
            self.connections.clear()
        threading.Timer(RESTART_S, self.restart).start()

    def restart(self):
        # Every other restart keeps the name.
        if len(self.crashes) % 2:
            self.name += "+"
        self.seq, self.running = 0, 0
        self.born = int(time.time() * 1000)
        self.crashed, self.alive = threading.Event(), True
        self.start_serving()


class Callers:
    """Threads that send requests to random nodes until stopped."""

    def __init__(self, h, kind):
        self.h, self.kind = h, kind
        self.rng = random.Random(7)
        self.stopped = threading.Event()
        self.results = []  # (send time, kind of work, status)
        self.threads = []

    def start(self, what, count, every, body_of):
        for n in range(count):
            t = threading.Thread(target=self.run_caller,
                                 args=(what, n, every, body_of), daemon=True)
            t.start()
            self.threads.append(t)

    def run_caller(self, what, n, every, body_of):
        k = 0
        while not self.stopped.wait(every):
            k += 1
            sent = time.monotonic()
            path = "/read/" if self.kind == "idempotent" else "/pay/"
            path += "other" if what == "ordinary" else "x"
            node = self.rng.choice(list(self.h.nodes))
            try:
                status = self.h.ask(node, path, "POST", body_of(n, k),
                                    {"X-Attempt-Id": "%s-%s-%d-%d" % (
                                        self.kind, what, n, k)})[0]
            except OSError:
                status = 0
            self.results.append((sent, what, status))

    def stop(self):
        self.stopped.set()
        for t in self.threads:
            t.join()

    def success_share(self, what, since):
        got = [s for at, w, s in self.results if w == what and at >= since]
        return got.count(200) / max(1, len(got)), len(got)


def unique_body(n, k):
    return b"body %d %d" % (n, k)


def third_crash_time(h, since):
    crashes = sorted(at for w in h.workers.values() for at in w.crashes
                     if at >= since)
    return crashes[2] if len(crashes) >= 3 else None


def check_containment(h, kind):
    began = time.monotonic()
    callers = Callers(h, kind)
    callers.start("ordinary", 7, 0.05, unique_body)
    callers.start("same path", 4, 0.05, unique_body)
    callers.start("crashing", 2, 0.15, lambda n, k: CRASHING)
    wait_for(lambda: third_crash_time(h, began), 20)
    third = third_crash_time(h, began)
    expect(third is not None, kind + ": three processes crash")
    time.sleep(CONTAINMENT_S + 6)
    callers.stop()
    deadline = (third or began) + CONTAINMENT_S
    late = sum(at > deadline for w in h.workers.values() for at in w.arrivals)
    crashes = sum(at >= began for w in h.workers.values() for at in w.crashes)
    expect(late <= MAX_RETRIES,
           "%s: %d arrivals of the crashing request after %d s (%d crashes)" %
           (kind, late, CONTAINMENT_S, crashes))
    for what in ("ordinary", "same path"):
        share, count = callers.success_share(what, deadline)
        expect(share >= 0.99, "%s: %s work is served after that: %.3f of %d" %
               (kind, what, share, count))
    wait_for(lambda: all(w.alive for w in h.workers.values()), 5)


def arrivals(h):
    return sum(len(w.arrivals) for w in h.workers.values())


def restart(h, names):
    for name in names:
        h.f.nodes[name].send(signal.SIGKILL)
    for name in names:
        h.f.nodes[name].popen.wait(5)
        h.start_node(name, "billing")
    expect(wait_for(lambda: all(h.ready(n) for n in names), 20),
           "%d nodes restart" % len(names))


# Restarted nodes, one by one or all at once, must not lose the quarantine.
def check_restarts(h):
    for names in (["n0", "n1"], list(h.nodes)):
        before = arrivals(h)
        restart(h, names)
        answers = [h.ask(n, "/read/x", "POST", CRASHING) for n in names
                   for _ in range(5)]
        expect(arrivals(h) - before <= MAX_RETRIES,
               "%d arrivals after %d nodes restarted" %
               (arrivals(h) - before, len(names)))
        refused = [a for a in answers if a[0] == 503]
        expect(len(refused) >= len(answers) - MAX_RETRIES and
               all(float(a[1]["Retry-After"]) > 0 for a in refused),
               "it is refused with a Retry-After")
    expect(wait_for(lambda: all(h.ask(n, "/read/x", "POST", b"other")[0] == 200
                                for n in h.nodes)), "other work is served")


# A release by an operator at one node must reach all nodes.
def check_release(h):
    def listed(node):
        return [r for r in h.f.ask(node, {"query": "quarantine"})["requests"]
                if r["quarantined"]]

    for node in h.nodes:
        h.f.nodes[node].wait_ready()
    for w in h.workers.values():
        w.fixed = True
    held = listed("n0")
    expect(len(held) == 2, "both requests are listed")
    for request in held:
        h.f.ask("n0", {"command": "release", "reason": "mended",
                       "fingerprint": request["fingerprint"]})
    expect(wait_for(lambda: not any(listed(n) for n in h.nodes), 5),
           "a release reaches all nodes")
    expect(all(h.ask(n, "/read/x", "POST", CRASHING)[0] == 200
               for n in h.nodes), "the request is served again")


def main():
    with fleet.Fleet(cluster="crashes") as f:
        f.start_platform()
        h = hosted.Hosted(f, CrashingWorker)
        for n in range(NODES):
            h.start_node("n%d" % n, "billing")
        h.put_config(hosted.document(7, [
            hosted.route("read", "/read/", "billing"),
            hosted.route("pay", "/pay/", "billing", "non_idempotent")],
            ("billing",)))
        for n in range(NODES):
            h.start_worker("w%d" % n, "n%d" % n)
        expect(wait_for(lambda: all(h.ready(n) for n in h.nodes)) and
               wait_for(lambda: all(h.ask(n, "/read/", "POST", b"")[0] == 200
                                    for n in h.nodes)), "every node serves")
        for kind in ("idempotent", "non_idempotent"):
            check_containment(h, kind)
        check_restarts(h)
        check_release(h)
    return hosted.summarize("crashes")


if __name__ == "__main__":
    sys.exit(main())
