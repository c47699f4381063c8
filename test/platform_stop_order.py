"""Tests reads of a node that stops, in a forced order of events: where the
read runs, how long it takes there, when it is hedged and when signals come.

A read takes the same time on each backend server, but longer on one that has
just started. Each that could be answered within the grace period must be.
"""

import random
import signal
import sys
import threading
import time

import platform_hosted as hosted
import platform_stop as stop
from platform_hosted import expect, wait_for
from platform_stop import ENTRY, NODES, NO_RETRIES, SLOTS

import fleet

GRACE_S = 6  # of the platform, until the kill
ANSWER_S = 5.3  # in which a stopping node answers
HEDGE_S = 0.8 * stop.TARGET_S
COLD_S = 4
LONG_S = 20  # longer than any grace period
RATIO = 0.2  # retries per request


def make_worker(name, service, control, port):
    return hosted.Worker(name, service, control, port, SLOTS)


def make_cold_worker(name, service, control, port):
    return hosted.Worker(name, service, control, port, SLOTS, COLD_S)


class OrderedReads:
    """Reads whose attempts take given times, in order of their arrival."""

    def __init__(self, h):
        self.h = h
        self.lock = threading.Lock()
        self.seconds, self.arrived, self.results = {}, {}, {}
        self.threads = []
        for w in h.workers.values():
            self.watch(w)

    def watch(self, w):
        def work(request, body):
            if request in self.seconds:
                with self.lock:
                    times = self.arrived.setdefault(request, [])
                    times.append((time.monotonic(), w.name))
                plan = self.seconds[request]
                w.durations[request] = plan[min(len(times), len(plan)) - 1]
            hosted.Worker.work(w, request, body)

        w.work = work

    def start(self, name, *seconds, node=ENTRY):
        self.seconds[name] = seconds
        self.threads.append(threading.Thread(target=self.ask,
                                             args=(name, node)))
        self.threads[-1].start()

    def ask(self, name, node):
        began = time.monotonic()
        try:
            status = self.h.ask(node, "/read/", timeout=25, headers={
                "X-Attempt-Id": name, "X-Deadline-Ms": "18000"})[0]
        except OSError as e:
            status = type(e).__name__
        self.results[name] = (status, round(time.monotonic() - began, 2))

    def attempts(self, name):
        return len(self.arrived.get(name, ()))

    def wait(self):
        for t in self.threads:
            t.join()
        return self.results

    def unanswered(self):
        """Returns the reads without an answer and when their attempts ran."""
        return {name: (result, self.arrived.get(name, ()))
                for name, result in self.wait().items() if result[0] != 200}


def start_entry(h, *extra):
    stop.start_entry(h, "hosted.grace_s=%d" % GRACE_S, *extra)


def earn_retries(h, count):
    for _ in range(int(count / (0.9 * RATIO)) + 1):
        h.ask(ENTRY, "/warm/")


# Guards against a read whose hedge began just before the stop at a second slow
# backend server and that gets no third attempt, which would end in time.
def check_hedge_just_before(h):
    start_entry(h, "hosted.retry_slack=0", "hosted.retry_ratio=%g" % RATIO)
    reads = OrderedReads(h)
    earn_retries(h, 6)
    names = ["just-before-%d" % k for k in range(6)]
    for name in names:
        reads.start(name, LONG_S, LONG_S, 1)
    expect(wait_for(lambda: all(reads.attempts(n) == 2 for n in names),
                    HEDGE_S + 2), "the reads are hedged")
    stop.stop_entry(h)
    lost = reads.unanswered()
    expect(not lost, "reads hedged just before the stop are answered: %s" %
           lost)


# Guards against a hedge that the retry allowance delayed until it can't end
# before the stop, although it could have when the read was overdue.
def check_delayed_hedge(h):
    start_entry(h, "hosted.retry_slack=0", "hosted.retry_ratio=%g" % RATIO)
    reads = OrderedReads(h)
    name = "delayed"
    reads.start(name, LONG_S, ANSWER_S + 0.3)
    began = time.monotonic()
    time.sleep(HEDGE_S + 1.8)
    expect(reads.attempts(name) == 1, "no retry is left for the read")
    earn_retries(h, 1)
    expect(wait_for(lambda: reads.attempts(name) == 2, 2),
           "the read is hedged after %.2f s" % (time.monotonic() - began))
    stop.stop_entry(h)
    lost = reads.unanswered()
    expect(not lost, "a read whose hedge was delayed is answered: %s" % lost)


# Guards against the same read where the node may borrow a retry for its hedge.
def check_borrowed_hedge(h):
    start_entry(h, "hosted.retry_slack=0", "hosted.retry_ratio=%g" % RATIO,
                "retry.hedge_policy=learned")
    reads = OrderedReads(h)
    name = "borrowed"
    reads.start(name, LONG_S, ANSWER_S + 0.3)
    began = time.monotonic()
    expect(wait_for(lambda: reads.attempts(name) == 2, HEDGE_S + 1),
           "the read is hedged after %.2f s" % (time.monotonic() - began))
    with open(h.f.nodes[ENTRY].log, encoding="utf-8") as log:
        loans = [line for line in log if " 1030 " in line]
    expect(any("granted=1 hedges=1" in x for x in loans),
           "with a retry of another node: %s" % loans)
    time.sleep(max(0, HEDGE_S + 2 - (time.monotonic() - began)))
    stop.stop_entry(h)
    lost = reads.unanswered()
    expect(not lost, "a read whose hedge was borrowed is answered: %s" % lost)


# Guards against a read without a third attempt because the retry for its second
# one was lent more than half a second after the stop.
def check_late_loan(h):
    start_entry(h, *NO_RETRIES)
    reads = OrderedReads(h)
    reads.start("late-loan", LONG_S, LONG_S, 0.5)
    time.sleep(HEDGE_S + 0.3)
    stop.stop_entry(h)
    told = time.monotonic()
    time.sleep(0.7)
    threads = [threading.Thread(target=lambda n=name: [
        h.ask(n, "/warm/") for _ in range(20)])
        for name in h.nodes if name != ENTRY]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    expect(wait_for(lambda: reads.attempts("late-loan") == 2, 2),
           "the read is hedged %.2f s after the stop" %
           (time.monotonic() - told))
    lost = reads.unanswered()
    expect(not lost, "a read whose retry was lent late is answered: %s" % lost)


def restart_worker(h, k, turn):
    """Starts a new process of a backend server, which is slow at first."""
    h.workers.pop(next(w for w in h.workers if w.startswith("w%d" % k))).stop()
    h.make_worker = make_cold_worker
    w = h.start_worker("w%d-%d" % (k, turn), "n%d" % k)
    h.make_worker = make_worker
    expect(wait_for(lambda: w.seen, COLD_S / 2), "%s gets work %.2f s after "
           "its start" % (w.name, time.monotonic() - w.started))
    return w


class Background:
    """Reads that keep all backend servers a little busy."""

    def __init__(self, h, node, callers, seconds):
        self.h, self.node, self.running = h, node, True
        self.threads = [threading.Thread(target=self.run, args=(k, seconds))
                        for k in range(callers)]
        for t in self.threads:
            t.start()

    def run(self, k, seconds):
        turn = 0
        while self.running:
            turn += 1
            name = "background-%d-%d" % (k, turn)
            for w in self.h.workers.values():
                w.durations[name] = seconds
            self.h.ask(self.node, "/read/", headers={"X-Attempt-Id": name})

    def stop(self):
        self.running = False
        for t in self.threads:
            t.join()


# Guards against a read that goes to a backend server that has just started,
# takes twice as long there and ends after the stop, while others had room.
def check_fresh_worker(h, turn, seed):
    rng = random.Random(seed)
    start_entry(h)
    background = Background(h, "n0", NODES * SLOTS // 4, 1.9)
    time.sleep(2)  # until all have reported their load
    fresh = restart_worker(h, rng.randrange(NODES), turn)
    reads = OrderedReads(h)
    names = ["long-%d-%d" % (turn, k) for k in range(20)]
    for name in names:
        reads.start(name, ANSWER_S + 0.1)
        time.sleep(rng.uniform(0.01, 0.05))
    expect(fresh.cold_left_s() > 0, "%s is still slow" % fresh.name)
    # The others can end before the node does, those there can't.
    time.sleep(ANSWER_S - 0.7)
    stop.stop_entry(h)
    reads.wait()
    background.stop()
    there = [n for n in names if reads.arrived[n][0][1] == fresh.name]
    lost = reads.unanswered()
    print("     seed=%d: %d of %d reads began at the one that had just "
          "started" % (seed, len(there), len(names)), flush=True)
    expect(not lost, "long reads beside a new process are answered: %s" % lost)


# Guards against an earlier end, or none, when a node that stops is told again.
def check_second_signal(h):
    start_entry(h)
    reads = OrderedReads(h)
    reads.start("second-signal", 4.8)
    time.sleep(0.2)
    stop.stop_entry(h)
    began = time.monotonic()
    time.sleep(1.6)
    stop.stop_entry(h)
    lost = reads.unanswered()
    expect(not lost, "a second signal ends no read: %s" % lost)
    node = h.f.nodes[ENTRY]
    node.popen.wait(GRACE_S)
    took = time.monotonic() - began
    expect(took < GRACE_S, "the node ends before the kill: %.2f s" % took)


VMS = 8
DRAIN_S = 2  # of a backend server
WORK_S = (2, 4.8)  # ends in time anywhere but at a process that just started


class Release:
    """Restarts VMs one after the other, each with its backend server."""

    def __init__(self, h, reads, names, delay_s):
        self.h, self.reads, self.names = h, reads, names
        self.stopped = {}  # VM: when it was told
        self.threads = []
        self.thread = threading.Thread(target=self.run, args=(delay_s,))
        self.thread.start()

    def run(self, delay_s):
        time.sleep(delay_s)
        for name in self.names:
            self.threads.append(threading.Thread(target=self.restart,
                                                 args=(name,)))
            self.threads[-1].start()
            time.sleep(1)

    def restart(self, name):
        k = int(name[1:])
        worker = self.h.workers["w%d" % k]
        worker.drain()
        self.stopped[name] = time.monotonic()
        process = self.h.f.nodes[name]
        process.send(signal.SIGTERM)
        time.sleep(DRAIN_S)
        worker.stop()
        process.popen.wait(2 * GRACE_S)
        self.h.start_node(name, "billing", extra=RELEASE_EXTRA)
        self.reads.watch(self.h.start_worker("w%d" % k, name))

    def wait(self):
        self.thread.join()
        for t in self.threads:
            t.join()


RELEASE_EXTRA = ("hosted.retry_slack=16", "hosted.retry_ratio=%g" % RATIO,
                 "hosted.grace_s=%d" % GRACE_S, "limits.drain_ms=1000")


# Guards against reads that are given up at a VM that is restarted while two
# releases overlap, so that many backend servers have just started.
def check_overlapping_releases(seed):
    rng = random.Random(seed)
    with fleet.Fleet(cluster="stop-order") as f:
        f.start_platform()
        h = hosted.Hosted(f, make_cold_worker)
        vms = ["n%d" % k for k in range(VMS)]
        for name in vms:
            h.start_node(name, "billing", extra=RELEASE_EXTRA)
        h.put_config(hosted.document(3, [stop.route("read")]))
        for k, name in enumerate(vms):
            h.start_worker("w%d" % k, name)
        expect(wait_for(lambda: all(h.ready(n) for n in vms)),
               "the fleet is ready")
        time.sleep(COLD_S)
        reads = OrderedReads(h)
        order = rng.sample(vms, VMS)
        releases = [Release(h, reads, order[:4], 2.0),
                    Release(h, reads, order[4:7], 2.58)]
        sent, turn = {}, 0
        while len(sent) < 160:
            turn += 1
            stopped = {n: at for x in releases for n, at in x.stopped.items()}
            open_vms = [n for n in vms if n not in stopped]
            name = "release-%d" % turn
            seconds = rng.uniform(*WORK_S)
            sent[name] = (rng.choice(open_vms), time.monotonic(), seconds)
            reads.start(name, seconds, node=sent[name][0])
            time.sleep(rng.expovariate(8))
        lost = reads.unanswered()
        for x in releases:
            x.wait()
        stopped = {n: at for x in releases for n, at in x.stopped.items()}
        lost = {name: (sent[name][2], x) for name, x in lost.items()
                if sent[name][0] in stopped and
                sent[name][1] < stopped[sent[name][0]]}
        told = [n for n, (vm, at, _) in sent.items() if vm in stopped and
                at < stopped[vm] < at + reads.results[n][1]]
        expect(not lost, "seed=%d: of %d reads open when their VM was told, "
               "all are answered: %s" % (seed, len(told), lost))


def run_checks(names, seed):
    checks = {"before": check_hedge_just_before, "delayed": check_delayed_hedge,
              "borrowed": check_borrowed_hedge, "loan": check_late_loan,
              "signal": check_second_signal}
    earned = ("hosted.retry_slack=0", "hosted.retry_ratio=%g" % RATIO)
    for name in names:
        if name == "releases":
            check_overlapping_releases(seed)
            continue
        with fleet.Fleet(cluster="stop-order") as f:
            h = stop.start_fleet(f, earned if name == "loan" else ())
            if name == "fresh":
                for turn in range(3):
                    check_fresh_worker(h, turn, seed + turn)
            else:
                checks[name](h)


def main():
    names = sys.argv[1:2] or ["before", "delayed", "borrowed", "loan", "fresh",
                              "signal", "releases"]
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else random.randrange(10**6)
    print("seed=%d" % seed, flush=True)
    run_checks(names, seed)
    return hosted.summarize("stop_order")


if __name__ == "__main__":
    sys.exit(main())
