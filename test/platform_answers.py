"""Tests that callers never get an answer of a backend server that isn't one in
the protocol: status, field names and transfer codings, in final, interim and
refusing answers. Exits non-zero if a check fails.

Arguments: names of checks; all of them without one.
"""

import re
import socket
import sys
import time

import platform_hosted as hosted
from platform_bytes import (all_run, ask_or_closed, in_threads, log_of,
                            start)
from platform_framing import peak_mb
from platform_hosted import expect, wait_for

CALLER_WAITS_S = 6  # longer than any request here may take
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9][0-9]) [\t -~\x80-\xff]*\Z")
FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t -~\x80-\xff]*)\Z")
SEAL = b"x-server-seal"
EVENT = " answer_malformed "
# All backend servers fail here, which is no subject of these tests.
NO_EJECTION = ("experiment.off=doubt,verdicts",)


def split_answer(data):
    """Returns status, fields and body of exactly one answer, or None."""
    end = data.find(b"\r\n\r\n")
    lines = data[:end].split(b"\r\n")
    status = STATUS_LINE.match(lines[0])
    fields = [FIELD_LINE.match(line) for line in lines[1:]]
    if end < 0 or not status or None in fields:
        return None
    fields = {f[1].lower(): f[2].strip() for f in fields}
    body = data[end + 4:]
    if fields.get(b"transfer-encoding"):
        whole, rest = b"", body
        while True:
            line, _, rest = rest.partition(b"\r\n")
            size = int(line or b"-1", 16)
            if size <= 0 or rest[size:size + 2] != b"\r\n":
                break
            whole, rest = whole + rest[:size], rest[size + 2:]
        if size != 0 or rest != b"\r\n":
            return None
        body = whole
    elif int(fields.get(b"content-length", -1)) != len(body):
        return None
    return int(status[1]), fields, body


def exchange(h, node, method, path):
    """Returns the request's id and all bytes that its caller gets."""
    h.requests += 1
    request = "r%d" % h.requests
    got = b""
    with socket.create_connection(
            ("127.0.0.1", h.nodes[node]["entry"]), CALLER_WAITS_S) as s:
        s.sendall(("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
                   "X-Deadline-Ms: 4000\r\nConnection: close\r\n"
                   "Content-Length: 0\r\n\r\n" % (
                       method, path, hosted.HOST, request)).encode())
        try:
            while True:
                part = s.recv(65536)
                if not part:
                    break
                got += part
        except OSError:
            pass  # reset, or no end in time: what has arrived is no answer
    return request, got


class Answers:
    """Backend servers that all write the same bytes as their answers."""

    def __init__(self, h):
        self.h, self.data = h, None
        self.written = {}  # request id: body
        for w in h.workers.values():
            w.spoil = self.write

    def write(self, handler, request):
        if self.data is None:
            return False
        body = b"of " + request.encode()
        self.written[request] = body
        handler.wfile.write(self.data(request.encode(), body))
        handler.close_connection = True
        return True

    def count(self, request):
        return sum(x[0] == request for w in self.h.workers.values()
                   for x in w.seen)

    def recover(self):
        """Lets the nodes trust their backend servers again."""
        self.data = None
        expect(all(wait_for(lambda n=n, m=m, p=p: ask_or_closed(
            self.h, n, p, m) == 200) for n in self.h.nodes
            for m, p in (("GET", "/read/"), ("POST", "/charge/"))),
            "the nodes serve")

    def ask_all(self, data):
        self.recover()
        self.data = data
        return [(path, *exchange(self.h, n, method, path))
                for n in self.h.nodes for method, path in (
                    ("POST", "/charge/"), ("GET", "/read/"))]


def expect_refused(x, what, data):
    """Expects that no caller gets anything of an answer."""
    ran = 0
    for path, request, got in x.ask_all(data):
        answer = split_answer(got)
        runs = x.count(request)
        ran += runs
        told = answer and answer[0]
        wanted = (502, 504) if runs else (503,)
        if path == "/read/":
            wanted = (502, 503, 504)
        expect(answer and told in wanted and SEAL not in answer[1] and
               answer[2] == b"" and (runs < 2 or path == "/read/"),
               "%s: %s ran %d times, its caller gets %r" % (
                   what, path, runs, got[:200]))
    expect(ran, what + ": some ran")


def expect_passed(x, what, status, data):
    for path, request, got in x.ask_all(data):
        answer = split_answer(got)
        expect(answer and answer[0] == status and SEAL in answer[1] and
               answer[2] == x.written.get(request, ""),
               "%s: the caller of %s gets %r" % (what, path, got[:200]))


def shape(status=b"HTTP/1.1 200 OK", first=(), last=(), behind=(),
          framing="length"):
    """Returns a writer of answers with lines before the usual ones, and before
    and behind the one that frames the body."""
    def write(request, body):
        if framing == "length":
            framed_by, sent = b"Content-Length: %d" % len(body), body
        elif framing == "chunked":
            framed_by = b"Transfer-Encoding: chunked"
            sent = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        elif framing == "raw":
            framed_by = None
            sent = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        else:
            framed_by, sent = None, body
        lines = [status, *first, b"X-Attempt-Id: " + request,
                 b"X-Server-Seal: s", *last,
                 *([framed_by] if framed_by else []), *behind]
        return b"\r\n".join(lines) + b"\r\n\r\n" + sent
    return write


def interim(before, behind):
    def write(request, body):
        return before(request, b"") + behind(request, body)
    return write


BROKEN_STATUS = (b"000", b"001", b"099", b"600", b"999", b"20", b"2000",
                 b"-20", b"2 0", b"0x2")


# Guards against a status that is none and passes for an answer's.
def check_status(f):
    x = Answers(start(f, extra=NO_EJECTION))
    for status in BROKEN_STATUS:
        line = b"HTTP/1.1 %s Any" % status
        for framing in ("length", "chunked", "closed"):
            expect_refused(x, "status %s, %s" % (status.decode(), framing),
                           shape(line, framing=framing))
    for line in (b"HTTP/1.1 000 ", b"HTTP/2.0 200 OK", b"HTTP/0.9 200 OK",
                 b"HTTP/1.1\t200 OK", b"XXXX/1.1 200 OK"):
        expect_refused(x, "status line %r" % line, shape(line))
    expect_refused(x, "status 000 after an interim answer", interim(
        shape(b"HTTP/1.1 103 Early Hints", framing="none"),
        shape(b"HTTP/1.1 000 Any")))
    expect_refused(x, "status 099 before an answer", interim(
        shape(b"HTTP/1.1 099 Early", framing="none"), shape()))
    expect(all_run(x.h) and any(EVENT in log_of(x.h, n) for n in x.h.nodes),
           "the nodes run and log it")


BROKEN_LINES = (b"X Odd: 1", b"X\tOdd: 1", b"X\x01Odd: 1", b"X\x00Odd: 1",
                b"X\x7fOdd: 1", b"X\xe9Odd: 1", b"X(Odd: 1", b"X-Odd : 1",
                b" X-Odd: 1", b"\tX-Odd: 1", b": 1", b"X-Odd", b" ",
                b"X\x0bOdd: 1", b"X\rOdd: 1")


# Guards against a field whose name is none and that passes, or spoils the end
# of the body.
def check_names(f):
    x = Answers(start(f, extra=NO_EJECTION))
    for line in BROKEN_LINES:
        expect_refused(x, "%r first" % line, shape(first=[line]))
        expect_refused(x, "%r" % line, shape(last=[line]))
        expect_refused(x, "%r last" % line, shape(behind=[line]))
        expect_refused(x, "%r in a 500" % line, shape(
            b"HTTP/1.1 500 Error", last=[line]))
        expect_refused(x, "%r in an interim answer" % line, interim(
            shape(b"HTTP/1.1 103 Early", last=[line], framing="none"),
            shape()))
        expect_refused(x, "%r in a refusal" % line, shape(
            b"HTTP/1.1 503 Busy", first=[b"X-Not-Executed: 1"], last=[line]))
    for line in (b"Transfer Encoding: chunked", b" Transfer-Encoding: chunked",
                 b"Transfer\x01-Encoding: chunked",
                 b"\tTransfer-Encoding: chunked",
                 b"Transfer-Encoding : chunked"):
        expect_refused(x, "%r" % line, shape(last=[line], framing="raw"))
        expect_refused(x, "%r first" % line, shape(first=[line],
                                                   framing="raw"))
    for line in (b" Content-Length: 2", b"Content Length: 2"):
        expect_refused(x, "%r" % line, shape(last=[line], framing="closed"))
    expect(all_run(x.h), "the nodes run")


BROKEN_CODINGS = (b"xchunked", b"identity", b"chunked, gzip", b"gzip, chunked",
                  b"chunked, chunked", b"chunked x", b"", b"chunked;q=1")


# Guards against a transfer coding whose framing passes for a part of the body.
def check_codings(f):
    x = Answers(start(f, extra=NO_EJECTION))
    for coding in BROKEN_CODINGS:
        expect_refused(x, "coding %r" % coding, shape(
            last=[b"Transfer-Encoding: " + coding], framing="raw"))
    expect_refused(x, "two codings", shape(
        last=[b"Transfer-Encoding: chunked"], framing="chunked"))
    expect_refused(x, "a coding of 1.0", shape(
        b"HTTP/1.0 200 OK", framing="chunked"))
    expect(all_run(x.h), "the nodes run")


# Guards against sound answers at the edges of the grammar that are refused.
def check_sound(f):
    x = Answers(start(f, extra=NO_EJECTION))
    for framing in ("length", "chunked", "closed"):
        expect_passed(x, "framed by " + framing, 200, shape(framing=framing))
    for code in (200, 299, 400, 499, 500, 599):
        expect_passed(x, "status %d" % code, code,
                      shape(b"HTTP/1.1 %d Any" % code))
    for line in (b"HTTP/1.1 200 ", b"HTTP/1.1 200 \xe9 x\ty"):
        expect_passed(x, "status line %r" % line, 200, shape(line))
    for framing in ("length", "closed"):
        expect_passed(x, "1.0, " + framing, 200,
                      shape(b"HTTP/1.0 200 OK", framing=framing))
    for line in (b"X-Odd:", b"X-Odd:1", b"X-Odd: \xe9 \t1 ", b"X-Odd: a:b, \"c\"",
                 b"!#$%&'*+-.^_`|~09AZaz: 1", b"x: " + b"y" * 9000):
        expect_passed(x, "%r" % line[:40], 200, shape(last=[line]))
        expect_passed(x, "%r first" % line[:40], 200, shape(first=[line]))
    expect_passed(x, "chunked in capitals", 200, lambda request, body: (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
        b"TRANSFER-ENCODING: Chunked\r\n\r\n%x;a=b;c=\"d\"\r\n%s\r\n0\r\n"
        b"X-Trailer: 1\r\n\r\n" % (request, len(body), body)))
    expect_passed(x, "after interim answers", 200, interim(
        shape(b"HTTP/1.1 103 Early Hints", framing="none"), shape()))


ENDLESS = (  # what begins an answer, and what follows without an end
    ("no answer", b"", b"x" * 65536),
    ("no answer in lines", b"", b"x: y\r\n" * 8192),
    ("a status line", b"HTTP/1.1 200 ", b"x" * 65536),
    ("a field", b"HTTP/1.1 200 OK\r\nX-Odd: ", b"y" * 65536),
    ("a field's name", b"HTTP/1.1 200 OK\r\n", b"y" * 65536),
    ("fields", b"HTTP/1.1 200 OK\r\n", b"X-Odd: y\r\n" * 8192),
    # Lines that end shortly before each read of 512 bytes does.
    ("aligned fields", b"HTTP/1.1 200 OK" + b"z" * 45 + b"\r\n",
     (b"X-Odd: " + b"y" * 55 + b"\r\n") * 1024),
    ("interim answers", b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048),
    ("a chunk that is none",
     b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     b"z" * 65536))
SENT = 200 << 20  # bytes of each, unless the node closes before
MOST_MB = 64  # of a node, at its peak


def flood(begin, part):
    """Returns a writer of an answer to a charge that doesn't end."""
    def spoil(handler, _):
        if handler.path != "/charge/":
            return False
        handler.close_connection = True
        try:
            handler.wfile.write(begin + part)
            for _ in range(SENT // len(part)):
                handler.wfile.write(part)
        except OSError:
            pass  # closed by the node
        return True
    return spoil


# Guards against bytes that are no answer and never end, which take the memory of
# their node and with it the requests of other callers.
def check_endless(f):
    h = start(f)
    for what, begin, part in ENDLESS:
        for w in h.workers.values():
            w.spoil = flood(begin, part)
        got, reads = [], []
        threads = in_threads([lambda n=n: got.append(split_answer(exchange(
            h, n, "POST", "/charge/")[1])) for n in h.nodes] * 4)
        while any(t.is_alive() for t in threads):
            reads += [ask_or_closed(h, n, "/read/") for n in h.nodes]
        expect(all(x and x[0] in (502, 503, 504) for x in got),
               "%s without an end: charges get %s" % (what, got))
        expect("closed" not in reads, "%s: reads are answered: %s" % (
            what, {x: reads.count(x) for x in set(reads)}))
        for w in h.workers.values():
            w.spoil = None
        expect(all_run(h) and all(wait_for(lambda n=n: ask_or_closed(
            h, n, "/read/") == 200) for n in h.nodes), what + ": they serve on")
    peaks = [peak_mb(h, n) for n in h.nodes]
    expect(max(peaks) < MOST_MB, "peak memory %s MB" % peaks)


# Guards against the same where the answer comes before the body of its request
# has been read.
def check_early(f):
    h = start(f, limits={"MaxBodyBytes": 1 << 24}, extra=NO_EJECTION)
    size = 3 << 20

    def upload(node, got):
        h.requests += 1
        with socket.create_connection(
                ("127.0.0.1", h.nodes[node]["entry"]), CALLER_WAITS_S) as s:
            try:
                s.sendall(("POST /charge/ HTTP/1.1\r\nHost: %s\r\n"
                           "X-Attempt-Id: r%d\r\nX-Deadline-Ms: 4000\r\n"
                           "Content-Length: %d\r\n\r\n" % (
                               hosted.HOST, h.requests, size)).encode() +
                          b"u" * size)
                got.append(s.recv(12)[9:])
            except OSError:
                got.append(b"closed")

    for what, begin, part in ENDLESS:
        for w in h.workers.values():
            w.spoil, w.read_body = flood(begin, part), lambda handler: b""
        got = []
        for t in in_threads([lambda n=n: upload(n, got)
                             for n in h.nodes] * 4):
            t.join()
        expect(b"200" not in got, "%s: uploads get %s" % (what, got))
        for w in h.workers.values():
            w.spoil = None
            del w.read_body
        expect(all_run(h) and all(wait_for(lambda n=n: ask_or_closed(
            h, n, "/read/") == 200) for n in h.nodes), what + ": they serve on")
    peaks = [peak_mb(h, n) for n in h.nodes]
    expect(max(peaks) < MOST_MB, "peak memory %s MB" % peaks)


HEALTH_SHAPES = (b"HTTP/1.1 200 OK\r\n X-Odd: 1\r\n",
                 b"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\tX-Odd: 1\r\n",
                 b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n",
                 b"HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
                 b"HTTP/1.1 000 OK\r\n")


# Guards against an answer without an end that goes on, and keeps its connection
# and its slot, after another backend server has answered the request.
def check_hedged(f):
    h = start(f, nodes=3, timeout=20)  # all attempts end then
    trickled, closed = set(), set()

    def trickle(handler, request):
        if not request.startswith("hedged-") or request in trickled:
            return False
        trickled.add(request)
        handler.close_connection = True
        try:
            handler.wfile.write(b"HTTP/1.1 200 OK\r\n")
            while True:  # far below the limit of a head
                handler.wfile.write(b"X-Odd: y\r\n")
                time.sleep(0.02)
        except OSError:
            closed.add(request)
        return True

    for w in h.workers.values():
        w.spoil = trickle
    got = {}

    def read(node, request):
        got[request] = h.ask(node, "/read/", headers={
            "X-Attempt-Id": request, "X-Deadline-Ms": "18000"}, timeout=20)[0]

    for k in range(4):
        for t in in_threads([lambda n=n: read(n, "hedged-%d-%s" % (k, n))
                             for n in h.nodes]):
            t.join()
    expect(set(got) == trickled and set(got.values()) == {200},
           "reads are hedged and answered: %s" % got)
    expect(wait_for(lambda: closed == trickled, 5),
           "the other attempts end: %d" % len(closed))


# Guards against a health answer that is none and admits a backend server.
def check_health(f):
    h = start(f)
    worker = h.workers["w0"]
    worker.muted = True
    for shape_of_health in HEALTH_SHAPES:
        worker.health_answer = (shape_of_health + b"X-Instance-Id: w0\r\n"
                                b"X-Server-Load: 0,0,4\r\n"
                                b"Connection: close\r\n\r\n")
        h.f.nodes["n0"].send(hosted.signal.SIGKILL)
        h.f.nodes["n0"].popen.wait()
        probes = worker.probes
        h.start_node("n0", "billing")
        expect(wait_for(lambda n=probes: worker.probes > n + 1),
               "the node probes")
        h.workers["w1"].mode = "shed"
        got = {ask_or_closed(h, "n0", "/read/") for _ in range(4)}
        h.workers["w1"].mode = "healthy"
        expect(200 not in got, "%r admits nothing: %s" % (
            shape_of_health, got))
        worker.health_answer = None
        h.workers["w1"].mode = "shed"
        expect(wait_for(lambda: ask_or_closed(h, "n0", "/read/") == 200),
               "a sound one does")
        h.workers["w1"].mode = "healthy"


CHECKS = {"endless": check_endless, "early": check_early,
          "hedged": check_hedged, "health": check_health,
          "status": check_status, "names": check_names,
          "codings": check_codings, "sound": check_sound}


if __name__ == "__main__":
    sys.exit(hosted.run_checks("answers", CHECKS, sys.argv[1:]))
