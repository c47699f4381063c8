"""Tests that what the framing of messages brings is bounded on every port and in
both directions: lines of chunks, trailers and message sizes that never end.
Exits non-zero if a check fails.

Arguments: names of checks; all of them without one.
"""

import http.client
import socket
import struct
import sys
import threading
import time

import platform_hosted as hosted
from platform_bytes import (all_run, ask_or_closed, head, in_threads, log_of,
                            start)
from platform_hosted import expect, wait_for

SENT = 400 << 20  # bytes of each flood
MOST_MB = 64  # of a node, at its peak
PART = b"x" * (1 << 20)
FIELD = b"X-Trailer: " + b"y" * (10 << 20) + b"\r\n"
EVENT = " message_too_long "
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"


def request(method, path):
    return ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: flood\r\n"
            "X-Deadline-Ms: 4000\r\n" % (method, path, hosted.HOST) +
            CHUNKED).encode()


def send_parts(connection, begin, part):
    """Sends up to SENT bytes; returns how many the peer has taken."""
    sent = 0
    try:
        connection.sendall(begin)
        while sent < SENT:
            connection.sendall(part)
            sent += len(part)
    except OSError:
        pass  # closed by the peer
    return sent


def flood(port, begin, part=PART):
    """Returns the first bytes of the answer; empty if there was none."""
    with socket.create_connection(("127.0.0.1", port), 20) as s:
        send_parts(s, begin, part)
        try:
            return s.recv(4096)
        except OSError:
            return b""


def peak_mb(h, node):
    with open("/proc/%d/status" % h.f.nodes[node].popen.pid) as status:
        for line in status:
            if line.startswith("VmHWM"):
                return int(line.split()[1]) // 1024
    return 0


def expect_bounded(h, what):
    expect(all_run(h), what + ": the nodes run")
    peaks = [peak_mb(h, n) for n in h.nodes]
    expect(max(peaks) < MOST_MB, "%s: peak memory %s MB" % (what, peaks))
    expect(all(wait_for(lambda n=n: ask_or_closed(h, n, "/read/") == 200)
               for n in h.nodes), what + ": and serve")


def flood_callers(h):
    line = request("POST", "/charge/") + b"1;"
    trailer = request("POST", "/charge/") + b"1\r\nx\r\n0\r\n"
    entry = h.nodes["n0"]["entry"]
    for what, begin, part in (("line", line, PART),
                              ("trailer", trailer, FIELD)):
        got = flood(entry, begin, part)
        expect(got == b"" or got.startswith(b"HTTP/1.1 400"),
               "a caller's %s is refused: %s" % (what, got[:40]))
        expect_bounded(h, "a caller's " + what)
    expect(wait_for(lambda: EVENT in log_of(h, "n0") and
                    "side=caller" in log_of(h, "n0")), "and logged")


# Guards against a caller whose chunk line or trailer never ends and takes the
# memory of its node.
def check_callers(f):
    flood_callers(start(f))


# Guards against the same while large bodies are streamed.
def check_streamed(f):
    h = start(f, limits={"MaxBodyBytes": 1 << 26},
              extra=["node.body_memory=33554432"])
    big = b"".join(b"10000\r\n" + b"z" * 65536 + b"\r\n" for _ in range(8))
    entry = h.nodes["n0"]["entry"]
    got = flood(entry, request("POST", "/charge/") + big + b"1;")
    expect(got == b"" or got.startswith(b"HTTP/1.1 400"),
           "a line in a streamed body is refused: %s" % got[:40])
    expect_bounded(h, "a streamed body's line")
    flood_callers(h)


# Guards against a flood whose connection had a sound request before: the one is
# answered, the other refused as not run, and neither is mixed up.
def check_kept(f):
    h = start(f)
    sound = ("GET /read/ HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: sound\r\n"
             "X-Deadline-Ms: 4000\r\n\r\n" % hosted.HOST).encode()
    with socket.create_connection(
            ("127.0.0.1", h.nodes["n0"]["entry"]), 20) as s:
        s.sendall(sound)
        answer = s.recv(65536)
        expect(answer.startswith(b"HTTP/1.1 200") and b"sound by" in answer,
               "a sound request is answered")
        s.sendall(request("POST", "/charge/") + b"1;" + b"x" * 70000)
        answer = b""
        try:
            while not answer.endswith(b"\r\n\r\n"):
                part = s.recv(65536)
                if not part:
                    break
                answer += part
        except OSError:
            pass  # reset, as bytes were unread
    expect(answer.startswith(b"HTTP/1.1 400") and answer.count(b"HTTP/") == 1,
           "the next one is refused: %s" % answer[:40])
    expect(not any(x[0] == "flood" for w in h.workers.values()
                   for x in w.seen), "and nothing of it ran")


# Guards against another process that floods a port meant for nodes, the
# platform or the operator.
def check_ports(f):
    h = start(f)
    for port, path in (("exit", "/x"), ("control", "/api/instances/x"),
                       ("ready", "/api/ready")):
        flood(h.nodes["n0"][port], request("PUT", path) + b"1;")
        expect_bounded(h, "a line at port " + port)
        flood(h.nodes["n0"][port],
              request("PUT", path) + b"1\r\nx\r\n0\r\n", FIELD)
        expect_bounded(h, "a trailer at port " + port)
    for side in ("node", "platform"):
        expect(wait_for(lambda s=side: "side=" + s in log_of(h, "n0")),
               "side=%s is logged" % side)


# Guards against a message of another node that names a size far beyond any call.
def check_calls(f):
    h = start(f)
    words = (60 << 20) // 8
    threads = [threading.Thread(target=flood, args=(
        h.nodes["n0"]["rpc"], struct.pack("<II", 0, words))) for _ in range(4)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    expect_bounded(h, "calls of 60 MB")


# Guards against datagrams that arrive faster than they are handled.
def check_datagrams(f):
    h = start(f)
    at = ("127.0.0.1", h.nodes["n0"]["gossip"])
    datagram = b"x" * 8000

    def send_all():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
            for _ in range(SENT // len(datagram)):
                s.sendto(datagram, at)

    threads = [threading.Thread(target=send_all) for _ in range(4)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    expect_bounded(h, "datagrams")


def spoil_with(begin, part):
    def spoil(handler, request_id):
        send_parts(handler.connection, head(
            request_id, "Transfer-Encoding: chunked") + begin, part)
        handler.close_connection = True
        return True
    return spoil


# Guards against a backend server whose answer has a chunk line or a trailer that
# never ends: the attempt is lost, and nothing else.
def check_answers(f):
    h = start(f)
    for what, begin, part in (("line", b"1;", PART),
                              ("trailer", b"2\r\nok\r\n0\r\n", FIELD)):
        for w in h.workers.values():
            w.spoil = spoil_with(begin, part)
        got = [ask_or_closed(h, n, "/charge/", "POST") for n in h.nodes]
        expect(all(x in (502, 503, 504) for x in got),
               "charges get %s" % got)
        for w in h.workers.values():
            w.spoil = None
        expect_bounded(h, "an answer's " + what)
    expect(wait_for(lambda: any("side=backend-server" in log_of(h, n)
                                for n in h.nodes)), "and logged")


ENDLESS_PART = b"10000\r\n" + b"z" * 65536 + b"\r\n"
ENDLESS_TIMEOUT_S = 2  # of the route
CALLER_WAITS_S = 15  # longer than any answer may last


class EndlessAnswers:
    """Backend servers that answer without an end, until they are closed."""

    def __init__(self, h):
        self.open, self.ended = 0, 0
        self.status, self.fields, self.part = 200, (), ENDLESS_PART
        for w in h.workers.values():
            w.spoil = self.answer

    def answer(self, handler, request_id):
        self.open += 1
        text = head(request_id, *self.fields).replace(
            b"200 OK", b"%d Status" % self.status)
        handler.close_connection = True
        try:
            handler.wfile.write(text)
            end = time.monotonic() + 2 * CALLER_WAITS_S
            while time.monotonic() < end:
                handler.wfile.write(self.part)
                time.sleep(0.002)
        except OSError:
            self.ended += 1
        self.open -= 1
        return True

    def all_closed(self):
        return wait_for(lambda: self.open == 0, 2 * ENDLESS_TIMEOUT_S + 3)


def read_endless(h, node, method, path, most=None):
    """Returns whether the answer ended, read up to `most` bytes."""
    h.requests += 1
    with socket.create_connection(
            ("127.0.0.1", h.nodes[node]["entry"]), 20) as s:
        s.sendall(("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: r%d\r\n"
                   "Content-Length: 0\r\n\r\n" % (
                       method, path, hosted.HOST, h.requests)).encode())
        got, end = 0, time.monotonic() + CALLER_WAITS_S
        s.settimeout(CALLER_WAITS_S)
        while time.monotonic() < end and (most is None or got < most):
            try:
                part = s.recv(1 << 18)
            except ConnectionResetError:
                return True
            except OSError:
                return False
            if not part or part.endswith(b"Content-Length: 0\r\n\r\n"):
                return True
            got += len(part)
        return False


# Guards against an answer without an end that holds its slot and its
# connections, and carries bytes, for as long as its caller reads.
def check_endless(f):
    h = start(f, timeout=ENDLESS_TIMEOUT_S)
    x = EndlessAnswers(h)
    asks = [(n, m, p) for n in h.nodes
            for m, p in (("GET", "/read/"), ("POST", "/charge/"))]
    for status, framing in ((200, "chunked"), (200, "none"), (500, "chunked"),
                            (503, "none"), (421, "chunked")):
        x.status = status
        chunked = framing == "chunked"
        x.fields = ("Transfer-Encoding: chunked",) if chunked else ()
        x.fields += ("X-Not-Executed: 1",) if status == 503 else ()
        x.part = ENDLESS_PART if chunked else b"z" * 65536
        got = []
        for t in in_threads([lambda a=a: got.append(read_endless(h, *a))
                             for a in asks]):
            t.join()
        what = "%d without an end (%s)" % (status, framing)
        expect(got == [True] * len(asks), what + ": callers get an end: %s" %
               got)
        expect(x.all_closed(), what + ": its connections are closed")
    x.status, x.fields = 200, ("Transfer-Encoding: chunked",)
    x.part = ENDLESS_PART
    for t in in_threads([lambda a=a: read_endless(h, *a, most=1 << 20)
                         for a in asks]):
        t.join()
    expect(x.all_closed(), "and so they are when the caller has left")
    for w in h.workers.values():
        w.spoil = None
    expect_bounded(h, "answers without an end")


LINE = b"X-Odd: 1\r\n"
SEGMENT = 500  # bytes; each ends shortly behind the begin of a line


def send_in_segments(connection, data):
    """Sends so that each segment arrives by itself; returns whether all were
    taken."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        for at in range(0, len(data), SEGMENT):
            connection.sendall(data[at:at + SEGMENT])
            time.sleep(0.001)
    except OSError:
        return False  # closed by the node
    return True


# Guards against a head that is longer than its limit and passes because its
# lines arrive one by one, so that one without an end takes all memory.
def check_heads(f):
    h = start(f)
    begin = b"GET /read/123456 HTTP/1.1\r\n"
    expect(len(begin) % len(LINE) == len(b"HTTP/1.1 200 OK\r\n") % len(LINE),
           "segments are aligned")
    with socket.create_connection(
            ("127.0.0.1", h.nodes["n0"]["entry"]), 20) as s:
        send_in_segments(s, begin + LINE * 3000 + (
            "Host: %s\r\nX-Attempt-Id: long\r\n\r\n" % hosted.HOST).encode())
        try:
            got = s.recv(4096)
        except OSError:
            got = b""  # reset, as bytes were unread
    expect(got == b"" or got.startswith(b"HTTP/1.1 431"),
           "a caller's head of 30 KB gets %r" % got[:40])
    expect(not any(x[0] == "long" for w in h.workers.values() for x in w.seen),
           "and doesn't run")
    taken = []

    def answer(handler, request_id):
        taken.append(send_in_segments(
            handler.connection, b"HTTP/1.1 200 OK\r\n" + LINE * 12000 +
            head(request_id, "Content-Length: 2").partition(b"\r\n")[2] +
            b"ok"))
        handler.close_connection = True
        return True

    for w in h.workers.values():
        w.spoil = answer
    got = [ask_or_closed(h, n, "/charge/", "POST") for n in h.nodes]
    expect(got == [502] * 2 and not any(taken),
           "an answer's head of 120 KB gets %s, all taken: %s" % (got, taken))
    for w in h.workers.values():
        w.spoil = None
    expect_bounded(h, "long heads")


# Guards against trailer fields that pass for fields of the head.
def check_trailers(f):
    h = start(f)

    def answer(handler, request_id):
        text = "%s by x" % request_id
        handler.wfile.write(head(request_id, "Transfer-Encoding: chunked") + (
            "%x\r\n%s\r\n0\r\nX-Trailer: 1\r\nServer-Leaving: 1\r\n\r\n" %
            (len(text), text)).encode())
        return True

    for w in h.workers.values():
        w.spoil = answer
    got = [h.ask(n, "/read/") for n in h.nodes for _ in range(4)]
    expect(all(x[0] == 200 and "X-Trailer" not in x[1] for x in got),
           "an answer has the fields of its head: %s" % [x[0] for x in got])
    for w in h.workers.values():
        w.spoil = None
    c = http.client.HTTPConnection("127.0.0.1", h.nodes["n0"]["entry"])
    c.connect()
    c.sock.sendall(request("POST", "/charge/") +
                   b"1\r\nx\r\n0\r\nX-Smuggled: 1\r\n\r\n")
    expect(c.sock.recv(65536).startswith(b"HTTP/1.1 200"),
           "a request with a trailer is served")
    seen = [x for w in h.workers.values() for x in w.seen if x[0] == "flood"]
    expect(len(seen) == 1 and "X-Smuggled" not in seen[0][2] and
           seen[0][4] == b"x", "without the trailer")


# Guards against the same in a health answer.
def check_probe_trailer(f):
    h = start(f)
    worker, node = h.workers["w0"], h.f.nodes["n0"]
    worker.health_trailer = "Server-Leaving: 1\r\n"
    worker.muted = True
    node.send(hosted.signal.SIGKILL)
    node.popen.wait()
    h.start_node("n0", "billing")
    expect(wait_for(lambda: h.ready("n0")), "its node is ready")
    h.workers["w1"].mode = "shed"
    expect(wait_for(lambda: ask_or_closed(h, "n0", "/read/") == 200, 5),
           "it serves on")


# Guards against a health answer that never ends.
def check_health(f):
    h = start(f)
    worker = h.workers["w0"]
    for what, begin in (("line", b"1;"), ("body", b"fffffffffff\r\n")):
        worker.flood_begin, worker.flood_health = begin, True
        floods = worker.health_floods
        h.f.nodes["n0"].send(hosted.signal.SIGKILL)
        h.f.nodes["n0"].popen.wait()
        h.start_node("n0", "billing")
        expect(wait_for(lambda n=floods: worker.health_floods > n, 60),
               "a probe was answered")
        worker.flood_health = False
        expect_bounded(h, "a health answer's " + what)


# Guards against a store whose answer never ends.
def check_store(f):
    h = start(f)
    listener = socket.create_server(("127.0.0.1", 0))
    answers = []

    def answer_all():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return  # the end of the check
            with connection:
                connection.recv(65536)
                answers.append(send_parts(connection, (
                    "HTTP/1.1 200 OK\r\n" + CHUNKED + "1;").encode(), PART))

    threading.Thread(target=answer_all, daemon=True).start()
    h.start_node("n2", "billing", extra=[
        "platform.address=127.0.0.1:%d" % listener.getsockname()[1]])
    expect(wait_for(lambda: len(answers) >= 2), "the store was asked")
    listener.close()
    expect(h.f.nodes["n2"].popen.poll() is None, "the node runs")
    expect(peak_mb(h, "n2") < MOST_MB,
           "peak memory %d MB" % peak_mb(h, "n2"))


# Guards against floods that fit one by one but not together.
def check_together(f):
    h = start(f)
    for w in h.workers.values():
        w.spoil = spoil_with(b"1;", PART)
    line = request("POST", "/charge/") + b"1;"
    ports = h.nodes["n0"]
    threads = [threading.Thread(target=flood, args=(ports[p], line))
               for p in ("entry", "entry", "exit", "control", "ready")]
    threads += [threading.Thread(target=ask_or_closed, args=(
        h, n, "/charge/", "POST")) for n in h.nodes]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    for w in h.workers.values():
        w.spoil = None
    expect_bounded(h, "all at once")


CHECKS = {"callers": check_callers, "streamed": check_streamed,
          "kept": check_kept, "ports": check_ports, "calls": check_calls,
          "datagrams": check_datagrams, "answers": check_answers,
          "heads": check_heads,
          "trailers": check_trailers, "endless": check_endless,
          "probe_trailer": check_probe_trailer,
          "health": check_health, "store": check_store,
          "together": check_together}


if __name__ == "__main__":
    sys.exit(hosted.run_checks("framing", CHECKS, sys.argv[1:]))
