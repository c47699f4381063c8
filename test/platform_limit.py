"""Tests backend servers that name in their answers how many requests a second
they accept from the whole fleet.

In no window of 4 s may one get more than one and a half times that, and 5.
"""

import signal
import sys
import threading
import time

import platform_hosted as hosted
from platform_hosted import expect, wait_for

import fleet

NODES = 3  # with a backend server of the service each
LIMIT = "Server-Limit"
WINDOW_S = 4
STABILITY_S = 3  # from the first answer that names a limit
CALLERS_PER_NODE = 4


def start_fleet(f, nodes=NODES, kind="idempotent"):
    f.start_platform()
    h = hosted.Hosted(f)
    for k in range(nodes):
        h.start_node("n%d" % k, "billing")
    h.put_config(hosted.document(3, [
        hosted.route("read", "/read/", "billing", kind)]))
    for k in range(nodes):
        h.start_worker("w%d" % k, "n%d" % k)
    expect(wait_for(lambda: all(h.ready(n) for n in h.nodes)),
           "the fleet is ready")
    expect(wait_for(lambda: all(h.ask(n, "/read/")[0] == 200
                                for n in h.nodes)), "every node serves")
    return h


class Callers:
    """Callers at all nodes, with a pause after each answer."""

    def __init__(self, h, pause_s=0.1, per_node=CALLERS_PER_NODE, nodes=None):
        self.results, self.running = [], True
        self.told = {}  # node: when it first passed on an answer with leaving
        self.threads = [
            threading.Thread(target=self.call, args=(h, node, pause_s))
            for node in nodes or list(h.nodes) for _ in range(per_node)]
        for t in self.threads:
            t.start()

    def call(self, h, node, pause_s):
        count = 0
        while self.running:
            count += 1
            request = "%s-%d-%d" % (node, threading.get_ident(), count)
            began = time.monotonic()
            try:
                status, headers, _ = h.ask(node, "/read/",
                                           headers={"X-Attempt-Id": request})
            except OSError:
                status, headers = "closed", {}
            if "Server-Leaving" in headers:
                self.told.setdefault(node, time.monotonic())
            self.results.append((began, time.monotonic() - began, status,
                                 headers))
            time.sleep(pause_s)

    def stop(self):
        self.running = False
        for t in self.threads:
            t.join()
        return self.results


def arrivals(worker, since):
    return sorted(x[1] for x in worker.seen if x[1] >= since)


def most_in_window(times):
    return max((sum(1 for t in times if at <= t < at + WINDOW_S)
                for at in times), default=0)


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def expect_limit(worker, limit, since, what):
    most = most_in_window(arrivals(worker, since))
    expect(most <= allowed(limit), "%s: at most %g requests in %d s: %d" %
           (what, allowed(limit), WINDOW_S, most))


def share_answered(results, since):
    statuses = [status for began, _, status, _ in results if began >= since]
    return statuses.count(200) / max(1, len(statuses))


# Guards against a backend server that gets all the work its slots can take
# although it has named a limit of requests a second.
def check_limit_is_kept(h):
    limited = h.workers["w0"]
    callers = Callers(h)
    time.sleep(1)
    limited.notices = {LIMIT: "2"}
    named = time.monotonic()
    time.sleep(STABILITY_S + WINDOW_S + 1)
    results = callers.stop()
    expect_limit(limited, 2, named + STABILITY_S, "a limit of 2 a second")
    expect(len(arrivals(limited, named + STABILITY_S)) >= 4,
           "it still gets what it accepts")
    share = share_answered(results, named)
    expect(share >= 0.95, "the others serve the rest: %.3f" % share)


def named(worker, limit):
    """Names a limit and returns when."""
    worker.notices = {LIMIT: limit} if limit is not None else {}
    return time.monotonic()


# Guards against windows that exceed a limit which falls or rises while work
# waits, and against values that can't be read and lift or shut the gate.
def check_changing_limits(h):
    worker = h.workers["w0"]
    callers = Callers(h)
    for limit in ("30", "2", "0.3", "10"):
        since = named(worker, limit) + STABILITY_S
        time.sleep(STABILITY_S + WINDOW_S + 1)
        expect_limit(worker, float(limit), since, "a limit of " + limit)
        expect(len(arrivals(worker, since)) >= 2, "work goes on")
    for text in ("", "-1", "nan", "many"):
        since = named(worker, text)
        time.sleep(0.5)
    time.sleep(2)
    expect_limit(worker, 10, since, "a malformed limit changes nothing")
    before = named(worker, None)
    time.sleep(4)
    callers.stop()
    expect(len(arrivals(worker, before)) > 80,
           "after the end of the limit it gets its share: %d" %
           len(arrivals(worker, before)))


# Guards against requests that are held until their deadline, or refused without
# a time to return, when no backend server accepts more.
def check_all_limited(h):
    for w in h.workers.values():
        named(w, "2")
    time.sleep(STABILITY_S)
    since = time.monotonic()
    callers = Callers(h)
    time.sleep(WINDOW_S + 2)
    results = callers.stop()
    for w in h.workers.values():
        expect_limit(w, 2, since, "a limit of a whole service")
    refused = [(took, headers) for _, took, status, headers in results
               if status == 503]
    expect(len(refused) > 50, "what no one accepts is refused: %d" %
           len(refused))
    expect({s for _, _, s, _ in results} == {200, 503},
           "all others are answered")
    slow = [took for took, _ in refused if took > 0.6]
    expect(len(slow) <= len(refused) / 20, "at once: %d of %d took longer" %
           (len(slow), len(refused)))
    times = [float(headers.get("Retry-After", 0)) for _, headers in refused]
    expect(min(times) > 0 and max(times) <= WINDOW_S,
           "with a time to return: %.3f to %.3f" % (min(times), max(times)))
    for w in h.workers.values():
        named(w, None)
    expect(wait_for(lambda: share_of_answers(h) == 1, 10),
           "after the end of the limits all are answered")


def share_of_answers(h):
    statuses = [h.ask(n, "/read/")[0] for n in h.nodes for _ in range(10)]
    return statuses.count(200) / len(statuses)


# Guards against a limit that a new process inherits from the former one at its
# address and under its name.
def check_new_process(h):
    former = h.workers["w0"]
    named(former, "0.3")
    callers = Callers(h)
    time.sleep(2)
    former.alive = False
    former.stop_serving()
    time.sleep(0.5)
    current = h.start_worker("w0", "n0")
    since = time.monotonic()
    time.sleep(6)
    callers.stop()
    expect(len(arrivals(current, since)) > 80,
           "a new process begins without a limit: %d" %
           len(arrivals(current, since)))


# Guards against a gate that starts anew and has forgotten the limit, while the
# nodes that were told go on sending.
def check_gate_restart(h):
    worker = h.workers["w1"]
    worker.notices_in_health = False
    since = named(worker, "2") + STABILITY_S
    callers = Callers(h, nodes=["n0", "n2"])
    time.sleep(STABILITY_S)
    node = h.f.nodes["n1"]
    node.send(signal.SIGKILL)
    node.popen.wait(5)
    worker.work_s = 1  # until then, no answer can tell the new process
    h.start_node("n1", "billing", worker.port)
    time.sleep(WINDOW_S + 4)
    callers.stop()
    worker.work_s = 0.02
    expect_limit(worker, 2, since, "a limit across a restart of the gate")
    expect(len(arrivals(worker, since + STABILITY_S)) >= 4, "work goes on")
    worker.notices_in_health = True
    named(worker, None)


def main():
    with fleet.Fleet(cluster="limit") as f:
        h = start_fleet(f)
        check_limit_is_kept(h)
        check_changing_limits(h)
        check_new_process(h)
        check_gate_restart(h)
        check_all_limited(h)
    return hosted.summarize("limit")


if __name__ == "__main__":
    sys.exit(main())
