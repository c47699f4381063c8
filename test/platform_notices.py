"""Soak of limits and leaving that backend servers name in answers, beside other
faults: failing and slow backend servers, new processes, kills, stops and reloads
of gates, and new configurations, in a seeded series that overlaps.

    python3 test/platform_notices.py [SEED [SECONDS]]
"""

import random
import signal
import socket
import sys
import threading
import time

import platform_hosted as hosted
from platform_hosted import expect, wait_for
from platform_limit import LIMIT, STABILITY_S, WINDOW_S, allowed

import fleet

GATES = 4
ENTRIES = ("e0", "e1")  # not stopped: a restart would excuse them
CALLERS = 4  # at each entry node, of each kind
LEAVING = "Server-Leaving"
DRAIN_S = 2
RATES = (0.3, 2, 10, 30)
STOP_S = 3  # longest stop of a node


class Process:
    """One process of a backend server and what it has said."""

    def __init__(self, worker):
        self.worker = worker
        self.rate = None
        self.leaving = False

    def name(self, rate):
        self.rate = rate
        self.update()

    def leave(self):
        self.leaving = True
        self.update()

    def update(self):
        notices = {} if self.rate is None else {LIMIT: str(self.rate)}
        if self.leaving:
            notices[LEAVING] = "1"
        self.worker.notices = notices

    def left_at(self):
        """Returns when an answer first said that it is leaving, or None."""
        return next((at for at, notices in self.worker.said
                     if LEAVING in notices), None)

    def arrivals(self):
        return self.worker.seen + self.worker.shed

    def end(self):
        self.worker.alive = False
        self.worker.stop_serving()
        for c in list(self.worker.connections):
            try:
                c.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # closed already

    def highest_limit(self, begin, end):
        """Returns the highest limit in force, or None if there was a time
        without one."""
        rates = [None]
        for at, notices in self.worker.said:
            rate = float(notices[LIMIT]) if LIMIT in notices else None
            if at <= begin:
                rates = [rate]
            elif at <= end:
                rates.append(rate)
        return None if None in rates else max(rates)

    def limited_windows(self):
        """Returns (limit, requests, end) of each window under a limit that was
        named long enough before its end."""
        times = sorted(x[1] for x in self.arrivals())
        windows = []
        for end in times:
            begin = end - WINDOW_S
            rate = self.highest_limit(end - STABILITY_S, end)
            count = sum(1 for t in times if begin < t <= end)
            if rate is not None:
                windows.append((rate, count, end))
        return windows

    def late_requests(self):
        left_at = self.left_at()
        return [x for x in self.arrivals()
                if left_at and x[1] > left_at + DRAIN_S]


class Soak:
    def __init__(self, h, seed):
        self.h, self.rng = h, random.Random(seed)
        self.processes = {name: Process(w) for name, w in h.workers.items()}
        self.ended = []
        self.answers = []  # (id, kind, status, body)
        self.steps = []  # (time, what was done)
        self.running = True
        self.next_id = 0
        self.version = 10
        self.lock = threading.Lock()

    def call(self, node, kind):
        method = "GET" if kind == "read" else "POST"
        while self.running:
            with self.lock:
                self.next_id += 1
                request = "q%d" % self.next_id
            try:
                status, _, body = self.h.ask(
                    node, "/%s/" % kind, method, b"",
                    {"X-Attempt-Id": request})
            except OSError as e:
                status, body = "closed %s" % e, ""
            self.answers.append((request, kind, status, body))
            time.sleep(0.05)

    def pick(self):
        name = self.rng.choice(sorted(self.processes))
        return name, self.processes[name]

    def change_limit(self):
        self.pick()[1].name(self.rng.choice(RATES * 3 + (None,)))

    def replace(self):
        """One leaves, or ends at once, and a new process takes its place."""
        name, process = self.pick()
        if self.rng.random() < 0.7:
            process.leave()
            time.sleep(DRAIN_S + self.rng.random())
        process.end()
        self.ended.append(process)
        time.sleep(self.rng.choice((0, 0.5)))
        worker = self.h.start_worker(name, "n" + name[1:])
        self.processes[name] = Process(worker)

    def make_unhealthy(self):
        worker = self.pick()[1].worker
        worker.mode = self.rng.choice(("fail", "shed", "unsealed"))
        time.sleep(self.rng.uniform(0.2, 1))
        worker.mode = "healthy"

    def make_slow(self):
        worker = self.pick()[1].worker
        worker.work_s = 0.6
        time.sleep(self.rng.uniform(0.5, 2))
        worker.work_s = 0.02

    def restart_gate(self):
        name = "n%d" % self.rng.randrange(GATES)
        node = self.h.f.nodes[name]
        node.send(self.rng.choice((signal.SIGKILL, signal.SIGTERM)))
        self.steps.append((time.monotonic(), "stop " + name))
        node.popen.wait(STOP_S)
        self.h.start_node(name, "billing")
        self.steps.append((time.monotonic(), "start " + name))

    def reload(self):
        name = self.rng.choice(sorted(self.h.nodes))
        self.h.f.nodes[name].send(signal.SIGHUP)

    def change_config(self):
        self.version += 1
        self.h.put_config(make_document(self.version))

    def repeat(self, steps, end):
        while time.monotonic() < end:
            self.rng.choice(steps)()
            time.sleep(self.rng.uniform(0.1, 1))

    def run(self, seconds):
        threads = [threading.Thread(target=self.call, args=(node, kind))
                   for node in ENTRIES for kind in ("read", "pay")
                   for _ in range(CALLERS)]
        for t in threads:
            t.start()
        steps = (self.change_limit, self.change_limit, self.replace,
                 self.make_unhealthy, self.make_slow, self.restart_gate,
                 self.reload, self.change_config)
        end = time.monotonic() + seconds
        # Two series, so that steps overlap; one alone replaces and restarts.
        others = [s for s in steps if s not in (self.replace,
                                                self.restart_gate)]
        overlapping = threading.Thread(target=self.repeat, args=(others, end))
        overlapping.start()
        self.repeat(steps, end)
        overlapping.join()
        self.running = False
        for t in threads:
            t.join()

    def describe(self, end):
        """Prints what led to a window, in seconds before its end."""
        for p in self.ended + list(self.processes.values()):
            if any(x[1] == end for x in p.arrivals()):
                for at, notices in p.worker.said:
                    print("  %7.3f %s says %s" % (at - end, p.worker.name,
                                                  notices))
                for x in sorted(p.arrivals(), key=lambda x: x[1]):
                    if -WINDOW_S <= x[1] - end <= 0:
                        print("  %7.3f %s %s" % (x[1] - end, x[0], x[3]))
        for at, what in self.steps:
            if -10 < at - end <= 0:
                print("  %7.3f %s" % (at - end, what))

    def check(self):
        processes = self.ended + list(self.processes.values())
        windows = [w for p in processes for w in p.limited_windows()]
        broken = [w for w in windows if w[1] > allowed(w[0])]
        expect(not broken, "none of %d windows exceeds its limit: %s" %
               (len(windows), [w[:2] for w in broken[:5]]))
        for _, _, end in broken[:1]:
            self.describe(end)
        late = [x for p in processes for x in p.late_requests()]
        expect(not late, "none gets requests %g s after it said that it is "
               "leaving: %d" % (DRAIN_S, len(late)))
        runs = {}
        for p in processes:
            for request, _, _, path, _ in p.worker.seen:
                if path == "/pay/":
                    runs[request] = runs.get(request, 0) + 1
        twice = [r for r, n in runs.items() if n > 1]
        expect(not twice, "no charge runs twice: %s" % twice[:5])
        not_run = [r for r, kind, status, _ in self.answers
                   if kind == "pay" and status == 503 and r in runs]
        expect(not not_run, "no charge that was refused has run: %s" %
               not_run[:5])
        foreign = [a for a in self.answers if a[2] == 200 and
                   not a[3].startswith(a[0] + " by ")]
        expect(not foreign, "each answer is its request's own: %s" %
               foreign[:3])
        statuses = [a[2] for a in self.answers]
        answered = statuses.count(200) / len(statuses)
        expect(answered > 0.3, "%d requests, %.3f answered: %s" % (
            len(statuses), answered,
            {s: statuses.count(s) for s in set(statuses)}))


def make_document(version):
    return hosted.document(version, [
        hosted.route("read", "/read/", "billing"),
        hosted.route("pay", "/pay/", "billing", "non_idempotent"),
        hosted.route("v%d" % version, "/v%d/" % version, "billing")])


def main():
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 30
    print("seed %d, %g s" % (seed, seconds), flush=True)
    with fleet.Fleet(cluster="notices") as f:
        f.start_platform()
        h = hosted.Hosted(f)
        for k in range(GATES):
            h.start_node("n%d" % k, "billing")
        for name in ENTRIES:
            h.start_node(name, "orders")
        h.put_config(make_document(10))
        for k in range(GATES):
            h.start_worker("w%d" % k, "n%d" % k)
        expect(wait_for(lambda: all(h.ready(n) for n in h.nodes)),
               "the fleet is ready")
        soak = Soak(h, seed)
        soak.run(seconds)
        soak.check()
    return hosted.summarize("notices")


if __name__ == "__main__":
    sys.exit(main())
