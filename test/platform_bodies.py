"""Tests bodies of a hosted fleet: all that a node holds of them is within its
budget, and large ones are streamed. Exits non-zero if a check fails.

Arguments: names of checks; all of them without one.
"""

import hashlib
import http.client
import re
import signal
import socket
import sys
import threading
import time
import urllib.request

import platform_hosted as hosted
from platform_hosted import expect, wait_for

MB = 1 << 20
WINDOW = 256 << 10  # bytes that a node reserves for a streamed body
BUDGET = 16 * MB
MOST_MB = 64  # of a node, at its peak, whatever its peers send
UNSET = None  # budget of nodes without the setting
MEDIUM = b"m" * 1000000  # below the size from which bodies are always streamed
SMALL = 16000  # bytes of a body that finds room beside larger ones
PEAK_MB = 40  # a quarter of a VM of 160 MB
UPLOAD = bytes(range(256)) * (60 * MB // 256)


def start(f, nodes=2, budgets=None, timeout=4, workers=None):
    f.start_platform()
    h = hosted.Hosted(f, lambda *a: hosted.Worker(*a, slots=16))
    for k in range(nodes):
        budget = (budgets or {}).get("n%d" % k, BUDGET)
        h.start_node("n%d" % k, "billing",
                     extra=["limits.most_body=67108864"] + (
                         [] if budget is UNSET else
                         ["node.body_memory=%d" % budget]))
    rules = [hosted.route("read", "/read/", "billing", timeout=timeout),
             hosted.route("charge", "/charge/", "billing", "non_idempotent",
                          timeout=timeout)]
    document = hosted.json.loads(hosted.document(3, rules))
    document["Limits"]["MaxBodyBytes"] = 1 << 26
    h.put_config(hosted.json.dumps(document))
    for k in workers or range(nodes):
        h.start_worker("w%d" % k, "n%d" % k)
    for n in h.nodes:
        f.nodes[n].wait_ready()
    expect(wait_for(lambda: all(h.ready(n) and h.ask(n, "/read/")[0] == 200
                                for n in h.nodes) and
                    all(w.seen for w in h.workers.values())),
           "every node serves")
    return h


def upload(h, node, path="/charge/", body=UPLOAD, timeout=40, **headers):
    """Returns the status and the seconds to come back."""
    try:
        status, fields, _ = h.ask(node, path, "POST", body, headers or None,
                                  timeout)
        return status, float(fields.get("Retry-After", 0))
    except (OSError, http.client.HTTPException) as e:
        return repr(e)[:60], 0


def runs(h):
    return [x for w in h.workers.values() for x in w.seen
            if x[3] != "/read/"]


def in_threads(calls):
    threads = [threading.Thread(target=c) for c in calls]
    for t in threads:
        t.start()
    return threads


def peak_mb(h, node):
    with open("/proc/%d/status" % h.f.nodes[node].popen.pid) as lines:
        return int(re.search(r"VmHWM:\s+(\d+)", lines.read()).group(1)) / 1024


def metric(h, node, name):
    port = h.f.nodes[node].ports["admin_port"]
    with urllib.request.urlopen("http://127.0.0.1:%d/metrics" % port,
                                timeout=2) as answer:
        text = answer.read().decode()
    return float(re.search(r"^jasminetray_%s (\S+)" % name, text,
                           re.M).group(1))


def given_back(h, nodes=None):
    return wait_for(lambda: all(metric(h, n, "body_bytes") == 0
                                for n in nodes or h.nodes), 8)


def log_of(h, node):
    with open(h.f.nodes[node].log, encoding="utf-8", errors="replace") as log:
        return log.read()


def begin(h, node, sent, total=len(UPLOAD), path="/charge/"):
    """Sends a part of an upload; returns its connection."""
    h.requests += 1
    s = socket.create_connection(("127.0.0.1", h.nodes[node]["entry"]), 20)
    s.sendall(("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: r%d\r\n"
               "Content-Length: %d\r\n\r\n" % (path, hosted.HOST, h.requests,
                                               total)).encode())
    s.sendall(UPLOAD[:sent])
    return s


WINDOWS = 3  # that a budget of 1 MiB has room for, beside small bodies


class Senders:
    """Callers that go on sending their bodies, slowly, until they are told to
    stop."""

    def __init__(self, h, node, count, total=len(UPLOAD)):
        self.stopped = threading.Event()
        self.sockets = [begin(h, node, 64 << 10, total) for _ in range(count)]
        in_threads([lambda s=s: self.send(s) for s in self.sockets])

    def send(self, s):
        while not self.stopped.wait(0.2):
            try:
                s.sendall(UPLOAD[:16 << 10])
            except OSError:
                return  # closed by the node

    def close(self):
        self.stopped.set()
        for s in self.sockets:
            s.close()


def status_of(s):
    try:
        got = s.recv(65536)
    except OSError as e:
        return repr(e)
    return int(got.split()[1]) if got else "closed"


def slow_read(h, node, results, size):
    with socket.create_connection(("127.0.0.1", h.nodes[node]["entry"]),
                                  20) as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.sendall(("GET /read/ HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: s%d\r\n"
                   "Connection: close\r\n\r\n" % (hosted.HOST,
                                                  len(results))).encode())
        got, end = 0, time.monotonic() + 20
        while time.monotonic() < end:
            part = s.recv(32768)
            if not part:
                break
            got += len(part)
            time.sleep(0.05)
        results.append(got > size)


# Guards against uploads that take the memory of all other work of the VM.
def check_memory(f):
    h = start(f, nodes=3, timeout=20)
    got, read = [], []
    size = 540 * 1000
    before = {n: peak_mb(h, n) for n in h.nodes}
    for w in h.workers.values():
        w.padding = size
    threads = in_threads(
        [lambda p=p: got.append(upload(h, "n0", p)[0])
         for p in ("/charge/a", "/charge/b", "/read/c")] +
        [lambda: slow_read(h, "n0", read, size)] * 40)
    for t in threads:
        t.join()
    expect(got == [200] * 3, "three uploads of 60 MB: %s" % got)
    bodies = [x[4] for x in runs(h)]
    wanted = hashlib.sha256(UPLOAD).digest()
    expect(len(bodies) == 3 and all(
        hashlib.sha256(b).digest() == wanted for b in bodies), "arrive whole")
    expect(read == [True] * 40, "forty slow readers: %d" % read.count(True))
    peaks = {n: peak_mb(h, n) for n in h.nodes}
    expect(all(p < PEAK_MB for p in peaks.values()),
           "peak memory, MB: %s, before: %s" % (peaks, before))
    expect(given_back(h), "all bytes are given back")
    expect(metric(h, "n0", "body_bytes_peak") >= 3 * WINDOW, "and were counted")


# Guards against a refusal that a caller that is still sending can't read, and
# against a connection that is out of step after it.
def check_full(f):
    h = start(f, budgets={"n0": MB}, workers=[1])
    senders = Senders(h, "n0", WINDOWS)
    expect(wait_for(lambda: metric(h, "n0", "body_bytes") == WINDOWS * WINDOW),
           "the budget is in use")
    status, retry_after = upload(h, "n0")
    expect(status == 503 and retry_after > 0,
           "another upload: %s, after %s s" % (status, retry_after))
    expect(upload(h, "n0", body=b"x" * 16000)[0] == 200,
           "smaller bodies are taken")
    expect(" body_memory_full " in log_of(h, "n0"), "the refusal is logged")
    senders.stopped.set()
    time.sleep(1.5)
    expect(upload(h, "n0", body=UPLOAD[:2 * MB])[0] == 200,
           "a sender that has stopped gives up its place")
    senders.close()
    expect(given_back(h), "callers that leave give their bytes back")
    expect(upload(h, "n0")[0] == 200, "and there is room again")
    # One that is refused for another reason.
    c = http.client.HTTPConnection("127.0.0.1", h.nodes["n0"]["entry"],
                                   timeout=10)
    for path, wanted in (("/none/", 404), ("/charge/", 200)):
        h.requests += 1
        c.request("POST", path, UPLOAD[:4 * MB], {
            "Host": hosted.HOST, "X-Attempt-Id": "r%d" % h.requests})
        r = c.getresponse()
        r.read()
        expect(r.status == wanted, "on one connection: %s is %d" %
               (path, r.status))
    expect(given_back(h), "all bytes are given back")


# Guards against an upload that is sent, or refused to its caller, before the
# node that has no room for it was left for another.
def check_elsewhere(f):
    h = start(f, nodes=3, budgets={"n1": MB}, workers=[1])
    senders = Senders(h, "n0", WINDOWS)
    expect(wait_for(lambda: metric(h, "n1", "body_bytes") == WINDOWS * WINDOW),
           "the exit node's budget is in use")
    status, retry_after = upload(h, "n0", body=UPLOAD[:2 * MB])
    expect(status == 503 and retry_after > 0,
           "no room at the only exit node: %s, after %s s" %
           (status, retry_after))
    ran = len(runs(h))
    for k in (0, 2):
        h.start_worker("w%d" % k, "n%d" % k)
    expect(wait_for(lambda: h.ask("n0", "/read/")[0] == 200 and all(
        w.seen for w in h.workers.values())), "others serve")
    got = [upload(h, "n0", body=UPLOAD[:2 * MB])[0] for _ in range(6)]
    expect(got == [200] * 6 and len(runs(h)) == ran + 6,
           "others have room: %s" % got)
    senders.close()
    expect(given_back(h), "all bytes are given back")


# Guards against an upload that is cut, or counted as late, while its backend
# server reads slowly.
def check_slow(f):
    h = start(f, nodes=3)

    def pause(w, handler):
        if handler.command == "GET":
            return hosted.Worker.read_body(w, handler)
        size = int(handler.headers["Content-Length"])
        first = handler.rfile.read(MB)
        time.sleep(5)
        return first + handler.rfile.read(size - MB)

    for w in h.workers.values():
        w.read_body = lambda handler, w=w: pause(w, handler)
    got = []
    for t in in_threads([lambda p=p: got.append(upload(h, "n0", p)[0])
                         for p in ("/charge/", "/read/up")]):
        t.join()
    expect(got == [200] * 2 and all(x[4] == UPLOAD for x in runs(h)),
           "a pause of 5 s beyond a limit of 4 s: %s" % got)
    expect(len(runs(h)) == 2, "each ran once")
    expect(given_back(h), "all bytes are given back")


# Guards against an upload that runs again, or keeps its bytes, after its caller,
# its backend server or a node has ended in the midst of it.
def check_ends(f):
    h = start(f, nodes=3)
    expect(upload(h, "n0", body=b"%x\r\n" % (2 * MB) + UPLOAD[:2 * MB] +
                  b"\r\n0\r\n\r\n", **{"Transfer-Encoding": "chunked"})[0] ==
           200 and runs(h)[-1][4] == UPLOAD[:2 * MB],
           "a body without a length arrives whole")
    before = len(runs(h))
    s = begin(h, "n0", 8 * MB)
    expect(wait_for(lambda: metric(h, "n0", "body_bytes") > 0), "begun")
    s.close()
    expect(given_back(h), "the caller leaves: bytes are given back")
    expect(len(runs(h)) == before, "nothing ran")

    def break_off(handler):
        handler.rfile.read(MB)
        handler.close_connection = True

    def refuse(handler):
        handler.reply(413, {"X-Attempt-Id": handler.headers["X-Attempt-Id"],
                            "X-Server-Seal": "s"})
        handler.close_connection = True

    def shed(handler):
        handler.rfile.read(int(handler.headers["Content-Length"]))
        handler.reply(503, {"X-Attempt-Id": handler.headers["X-Attempt-Id"],
                            "X-Not-Executed": "1"})

    usual = hosted.Worker.read_body
    for read, wanted in ((break_off, 504), (refuse, 413), (shed, 503)):
        for path in ("/charge/", "/read/up"):
            reads = []
            for w in h.workers.values():
                w.read_body = lambda handler, w=w, read=read: (
                    usual(w, handler) if handler.command == "GET" else
                    reads.append(1) or read(handler))
            got = upload(h, "n0", path)[0]
            expect(got == wanted and len(reads) == 1,
                   "%s: %s is %s, %d attempts" % (read.__name__, path, got,
                                                  len(reads)))
            for w in h.workers.values():
                del w.read_body
            expect(wait_for(lambda: upload(h, "n0", "/read/")[0] == 200),
                   "sound again")
    expect(given_back(h), "bytes are given back")

    reading = []
    for name, w in h.workers.items():
        w.read_body = (lambda handler, name=name, w=w: usual(w, handler)
                       if handler.command == "GET" else
                       reading.append(name) or time.sleep(2))
    got = []
    threads = in_threads([lambda: got.append(upload(h, "n0")[0])])
    wait_for(lambda: reading)
    victim = "n" + reading[0][1:]
    others = [n for n in h.nodes if n != victim]
    h.f.nodes[victim].send(signal.SIGKILL)
    for t in threads:
        t.join()
    # Of a killed entry node the caller gets nothing.
    expect(got == ([504] if victim != "n0" else got) and len(reading) == 1,
           "a node is killed (%s): %s, %d attempts" % (victim, got,
                                                       len(reading)))
    expect(given_back(h, others), "bytes are given back")


# Guards against a node that can't end, or cuts an upload, when it is told to
# stop in the midst of one.
def check_stop(f):
    h = start(f)
    s = begin(h, "n0", 8 * MB, 9 * MB)
    expect(wait_for(lambda: metric(h, "n0", "body_bytes") > 0), "begun")
    still = begin(h, "n0", 8 * MB, 9 * MB)
    since = time.monotonic()
    h.f.nodes["n0"].send(signal.SIGTERM)
    time.sleep(0.5)
    s.sendall(UPLOAD[8 * MB:9 * MB])
    got = status_of(s)
    expect(got == 200, "one that goes on is answered: %s" % got)
    got = status_of(still)
    expect(got in (504, 503), "one that doesn't is, too: %s" % got)
    h.f.nodes["n0"].popen.wait(10)
    expect(time.monotonic() - since < 6, "the node ends")
    expect(given_back(h, ["n1"]), "the other has its bytes back")


# Guards against an upload that a node without the setting never asks for.
def check_mixed(f):
    h = start(f, nodes=2, budgets={"n1": 0})
    got = []

    def by_both():
        got.extend(upload(h, n, p, UPLOAD[:4 * MB])[0] for n in ("n0", "n1")
                   for p in ("/charge/", "/read/up"))
        return len(got) >= 16 and " upload_held " in log_of(h, "n0") and any(
            x[3] == "/charge/" for x in h.workers["w1"].seen)

    expect(wait_for(by_both), "both nodes send to the one that takes no streams")
    h.workers["w1"].drain()
    time.sleep(1)
    seen = len(h.workers["w0"].seen)
    by_both()
    expect(len(h.workers["w0"].seen) - seen == 4, "and to the one that does")
    expect(got == [200] * len(got), "all are answered: %s" % got)
    expect(all(x[4] == UPLOAD[:4 * MB] for x in runs(h)), "bodies are whole")
    expect(given_back(h, ["n0"]), "all bytes are given back")


def start_default(f, nodes=4, workers=(2, 3)):
    return start(f, nodes, {"n%d" % k: UNSET for k in range(nodes)}, 20,
                 workers)


def expect_small_peaks(h, what):
    peaks = {n: round(peak_mb(h, n)) for n in h.nodes}
    expect(all(h.f.nodes[n].popen.poll() is None for n in h.nodes) and
           max(peaks.values()) < MOST_MB, "%s: peak memory, MB: %s" %
           (what, peaks))


def small_requests(h, until, results):
    """Sends reads and charges with small bodies until the event is set."""
    while not until.is_set():
        for path in ("/read/", "/charge/"):
            results.append(upload(h, "n0", path, b"small", 20)[0])


def beside_small_requests(h, calls, what):
    """Makes the calls at once, beside small requests that must all be served."""
    over, small = threading.Event(), []
    asking = in_threads([lambda: small_requests(h, over, small)] * 4)
    for t in in_threads(calls):
        t.join()
    over.set()
    for t in asking:
        t.join()
    expect(len(small) > 8 and set(small) == {200},
           "%s: small requests beside them: %s" %
           (what, {x: small.count(x) for x in set(small)}))
    expect_small_peaks(h, what)


def expect_room_again(h, what):
    expect(given_back(h), what + ": all bytes are given back")
    expect(upload(h, "n0", body=MEDIUM)[0] == 200 and
           upload(h, "n0", body=UPLOAD[:4 * MB])[0] == 200,
           what + ": and bodies are served again")


# Guards against a few uploads within the limits that take a node beyond the
# memory of its VM, where no setting says how much that is.
def check_unset(f):
    h = start_default(f)
    got = []
    for count, body, fields in (
            (3, UPLOAD, {}), (10, UPLOAD[:16 * MB], {}),
            (3, b"%x\r\n" % len(UPLOAD) + UPLOAD + b"\r\n0\r\n\r\n",
             {"Transfer-Encoding": "chunked"})):
        beside_small_requests(h, [lambda: got.append(upload(
            h, "n0", body=body, **fields)[0])] * count, "%d uploads" % count)
        for w in h.workers.values():
            w.seen.clear()
    expect(got == [200] * 16, "uploads of 60 MB: %s" % got)
    expect_room_again(h, "uploads")


# Guards against bodies that are each too small to be streamed and together take
# the memory of their node, at the entry or at the exit side.
def check_medium(f):
    h = start_default(f)
    got = []
    beside_small_requests(h, [lambda: got.append(upload(
        h, "n0", body=MEDIUM)[0])] * 200, "200 bodies of 1 MB")
    expect(set(got) <= {200, 503} and got.count(200) >= 20,
           "served or refused: %s" % {x: got.count(x) for x in set(got)})
    got = []
    beside_small_requests(h, [lambda n=n: got.append(upload(
        h, n, body=MEDIUM)[0]) for n in h.nodes] * 60,
        "240 through four nodes to two")
    expect(set(got) <= {200, 503} and got.count(200) >= 20,
           "served or refused: %s" % {x: got.count(x) for x in set(got)})
    ran = [x[0] for x in runs(h)]
    expect(len(ran) == len(set(ran)), "none ran twice")
    expect_room_again(h, "medium bodies")


# Guards against callers' bodies that take all the room of the exit nodes, so
# that nodes wait for room at each other.
def check_crossing(f):
    h = start_default(f)
    senders = [Senders(h, n, 8, len(MEDIUM)) for n in ("n2", "n3")]
    expect(wait_for(lambda: all(metric(h, n, "body_bytes") == 8 * len(MEDIUM)
                                for n in ("n2", "n3"))),
           "callers have all the room for their bodies")
    got = []
    for t in in_threads([lambda: got.append(upload(
            h, "n0", body=MEDIUM)[0])] * 8):
        t.join()
    expect(got == [200] * 8, "bodies from another node: %s" % got)
    for s in senders:
        s.close()
    expect_room_again(h, "crossing bodies")


# Guards against the same of small bodies, whose work at another node takes long.
def check_crossing_small(f):
    h = start(f, 3, {"n1": MB, "n2": MB}, 20, (1, 2))
    h.start_node("n3", "orders")
    f.nodes["n3"].wait_ready()
    document = hosted.json.loads(hosted.document(4, [
        hosted.route("charge", "/charge/", "billing", "non_idempotent", None,
                     20),
        hosted.route("slow", "/slow/", "orders", "non_idempotent", None, 20)]))
    h.put_config(hosted.json.dumps(document))
    h.make_worker = lambda *a: hosted.Worker(*a, slots=200)
    slow = h.start_worker("w3", "n3")
    expect(wait_for(lambda: all(upload(h, n, "/slow/", b"")[0] == 200
                                for n in ("n1", "n2"))), "both services serve")
    small, got = b"s" * SMALL, []
    slow.work_s = 6
    waiting = in_threads([lambda n=n: got.append(upload(
        h, n, "/slow/", small, **{"X-Deadline-Ms": "18000"})[0])
        for n in ("n1", "n2")] * (MB // SMALL))
    expect(wait_for(lambda: all(metric(h, n, "body_bytes") > MB - 6 * SMALL
                                for n in ("n1", "n2"))),
           "callers have all the room for their bodies")
    others = []
    for t in in_threads([lambda: others.append(upload(
            h, "n0", body=small)[0])] * 4):
        t.join()
    expect(others == [200] * 4, "bodies from another node: %s" % others)
    for t in waiting:
        t.join()
    expect(set(got) <= {200, 503} and got.count(200) > len(got) / 2,
           "the others: %s" % {x: got.count(x) for x in set(got)})
    expect(given_back(h), "all bytes are given back")


# Guards against callers that stop in the midst of their bodies and keep the room
# of those that send on.
def check_idle(f):
    h = start_default(f)
    held = [begin(h, "n0", len(MEDIUM) - 1, len(MEDIUM)) for _ in range(300)]
    time.sleep(5)  # until all have sent what they send
    beside_small_requests(h, [lambda: time.sleep(1)], "300 bodies that stop")
    got = [upload(h, "n0", body=MEDIUM)[0] for _ in range(20)]
    expect(got == [200] * 20, "bodies that don't: %s" % got)
    log = log_of(h, "n0")
    expect(log.count(" body_memory_full ") >= 1, "the lack of room is logged")
    for s in held:
        s.close()
    expect_room_again(h, "bodies that stop")
    expect(" body_memory_free " in log_of(h, "n0"), "and that it is over")


CHECKS = {"unset": check_unset, "medium": check_medium,
          "crossing": check_crossing, "crossing_small": check_crossing_small,
          "idle": check_idle, "memory": check_memory, "full": check_full,
          "elsewhere": check_elsewhere, "ends": check_ends,
          "slow": check_slow, "stop": check_stop, "mixed": check_mixed}


if __name__ == "__main__":
    sys.exit(hosted.run_checks("bodies", CHECKS, sys.argv[1:]))
