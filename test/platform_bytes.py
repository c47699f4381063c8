"""Tests what a backend server or a caller may send: lengths, heads and answers
that the node must bear. Exits non-zero if a check fails.

Arguments: names of checks; all of them without one.
"""

import resource
import sys
import threading
import time

import platform_hosted as hosted
from platform_hosted import expect, wait_for

NAMED = 1500 * 10 ** 12  # bytes; beyond all memory


def head(request, *fields):
    return ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n%s\r\n"
            % (request, "".join(f + "\r\n" for f in fields))).encode()


def start(f, nodes=2, limits=None, timeout=3, extra=()):
    f.start_platform()
    h = hosted.Hosted(f)
    for k in range(nodes):
        h.start_node("n%d" % k, "billing",
                     extra=["limits.most_body=67108864", *extra])
    rules = [hosted.route("read", "/read/", "billing", timeout=timeout),
             hosted.route("charge", "/charge/", "billing", "non_idempotent",
                          timeout=timeout)]
    document = hosted.json.loads(hosted.document(3, rules))
    document["Limits"].update(limits or {})
    h.put_config(hosted.json.dumps(document))
    for k in range(nodes):
        h.start_worker("w%d" % k, "n%d" % k)
    expect(wait_for(lambda: all(h.ready(n) and h.ask(n, "/read/")[0] == 200
                                for n in h.nodes)), "every node serves")
    return h


def all_run(h):
    return all(h.f.nodes[n].popen.poll() is None for n in h.nodes)


def ask_or_closed(h, *args, **kwargs):
    try:
        return h.ask(*args, **kwargs)[0]
    except (OSError, hosted.http.client.HTTPException):
        return "closed"


def log_of(h, node):
    with open(h.f.nodes[node].log, encoding="utf-8", errors="replace") as log:
        return log.read()


def in_threads(calls):
    threads = [threading.Thread(target=c) for c in calls]
    for t in threads:
        t.start()
    return threads


# Guards against an answer that names a length beyond all memory, which ends the
# node and the requests that it holds for other backend servers.
def check_length(f):
    h = start(f)

    def spoil(handler, request):
        handler.wfile.write(head(request, "Content-Length: %d" % NAMED) +
                            b"x" * 500)
        handler.close_connection = True
        return True

    for w in h.workers.values():
        w.spoil = spoil
    got = []
    for n in list(h.nodes) * 2:
        got.append(ask_or_closed(h, n, "/charge/", "POST"))
        ran = any(x[0] == "r%d" % h.requests for w in h.workers.values()
                  for x in w.seen)
        expect(got[-1] == (504 if ran else 503), "ran %d: %s" % (ran, got[-1]))
    expect(504 in got, "some ran")
    for w in h.workers.values():
        w.spoil = None
    expect(all_run(h), "the nodes run")
    expect(wait_for(lambda: all(h.ask(n, "/read/")[0] == 200
                                for n in h.nodes)), "and serve")


# Guards against a request that needs more memory than there is and takes the
# node, and all other requests, with it. Bodies are held without a budget.
def check_memory(f):
    h = start(f, limits={"MaxBodyBytes": 1 << 26},
              extra=["node.body_memory=0"])
    pid = h.f.nodes["n0"].popen.pid
    with open("/proc/%d/statm" % pid) as statm:
        used = int(statm.read().split()[0]) * resource.getpagesize()
    resource.prlimit(pid, resource.RLIMIT_AS,
                     (used + (24 << 20), resource.RLIM_INFINITY))
    got = [ask_or_closed(h, "n0", "/charge/", "POST", b"x" * (size << 20))
           for size in (40, *range(14, 3, -1))]
    expect(all_run(h), "the node runs")
    expect(200 not in got[:1] and ask_or_closed(h, "n0", "/read/") == 200,
           "large requests fail, others don't: %s" % got)
    for w in h.workers.values():
        w.work_s = 0.5
    many = []
    for size in range(1, 9):
        for t in in_threads([lambda s=size: many.append(ask_or_closed(
                h, "n0", "/charge/", "POST", b"x" * (s << 18)))] * 16):
            t.join()
    expect(all_run(h) and ask_or_closed(h, "n0", "/read/") == 200,
           "so do many at once: %s" % {x: many.count(x) for x in set(many)})
    expect("closed" not in many, "each of them is answered")
    expect(wait_for(lambda: h.f.ctl("fleet", "show", "--node=127.0.0.1:%d" %
                                    h.nodes["n0"]["rpc"])[0] == 0),
           "calls of other nodes are answered")
    log = log_of(h, "n0")
    expect("reason=no-memory" in log, "refusals for lack of memory are logged")
    # Other parts, as accepting a connection, go on after an exception.
    expect((500 in got + many) == (" handler_failed request " in log),
           "and so is each request that an exception ended")


REFUSAL = (b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
           b"Content-Length: 0\r\n\r\n")


# Guards against a late refusal without id that is taken for the answer to the
# next request on that connection: it runs, and runs again elsewhere.
def check_refusal(f):
    h = start(f, timeout=6)

    def write_late(handler):
        try:
            handler.wfile.write(REFUSAL)
        except (OSError, ValueError):
            pass  # closed by the node

    def refuse_late(handler, request):
        text = ("%s by x" % request).encode()
        handler.wfile.write(head(request, "Content-Length: %d" % len(text)) +
                            text)
        threading.Timer(0.15, write_late, (handler,)).start()
        return True

    for w in h.workers.values():
        w.spoil, w.work_s = refuse_late, 0.3
    answers = []

    def charge(node):
        for _ in range(6):
            answers.append(ask_or_closed(h, node, "/charge/", "POST", b"x"))

    threads = in_threads([lambda n=n: charge(n) for n in h.nodes] * 2)
    for t in threads:
        t.join()
    ran = [x[0] for w in h.workers.values() for x in w.seen
           if x[3] == "/charge/"]
    expect(len(set(ran)) == len(ran), "none of %d charges ran twice" % len(ran))
    expect(answers.count(200) >= len(answers) - 2,
           "and they are answered: %s" % answers)
    expect(any("refusal_unproven" in log_of(h, n) for n in h.nodes),
           "refusals were late")


# Guards against a large answer that is cut while its backend server is silent,
# long before the time limit of the request.
def check_silence(f):
    h = start(f, timeout=25)
    size, silent_s = 100000, 12

    def pause(handler, request):
        handler.wfile.write(head(request, "Content-Length: %d" % size))
        handler.wfile.write(b"x" * (size - 1))
        time.sleep(silent_s)
        handler.wfile.write(b"x")
        return True

    for w in h.workers.values():
        w.spoil = pause
    got = []

    def read(node, method, path):
        try:
            status, _, body = h.ask(node, path, method, timeout=25, headers={
                "X-Deadline-Ms": "20000"})
            got.append((status, len(body)))
        except (OSError, hosted.http.client.HTTPException) as e:
            got.append(repr(e)[:80])

    for t in in_threads([lambda n=n, m=m, p=p: read(n, m, p) for n in h.nodes
                         for m, p in (("GET", "/read/"),
                                      ("POST", "/charge/"))]):
        t.join()
    expect(got == [(200, size)] * 4, "whole answers after %d s of silence: %s" %
           (silent_s, got))


# Guards against a head that one side of the node takes and the other doesn't.
def check_heads(f):
    h = start(f, limits={"MaxHeaderBytes": 16384})
    for size, wanted in ((12000, 200), (15500, 200), (20000, 431)):
        got = [ask_or_closed(h, n, path, method,
                             headers={"X-Long": "x" * size})
               for n in h.nodes for path, method in (("/read/", "GET"),
                                                     ("/charge/", "POST"))]
        expect(got == [wanted] * 4, "a head of %d bytes is %d: %s" %
               (size, wanted, got))
    for size, wanted in ((30000, 200), (70000, 502)):
        def answer(handler, request, size=size):
            handler.wfile.write(head(request, "X-Long: " + "x" * size,
                                     "Content-Length: 2") + b"ok")
            return True

        for w in h.workers.values():
            w.spoil = answer
        got = [ask_or_closed(h, n, path, method) for n in h.nodes
               for path, method in (("/read/", "GET"), ("/charge/", "POST"))]
        expect(got == [wanted] * 4, "an answer's head of %d bytes is %d: %s" %
               (size, wanted, got))


# Guards against an interim answer (1xx) that is taken for the answer itself.
def check_interim(f):
    h = start(f)

    def answer(count):
        def write(handler, request):
            text = ("%s by x" % request).encode()
            for _ in range(count):
                handler.wfile.write(("HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: "
                                     "%s\r\n\r\n" % request).encode())
            handler.wfile.write(head(request, "Content-Length: %d" % len(text))
                                + text)
            return True
        return write

    for count, wanted in ((1, 200), (3, 200), (1000, 504)):
        for w in h.workers.values():
            w.spoil = answer(count)
        got = [ask_or_closed(h, n, "/charge/", "POST") for n in h.nodes]
        expect(got == [wanted] * 2, "charges after %d interim answers: %s" %
               (count, got))
    for w in h.workers.values():
        w.spoil = None
    expect(all(wait_for(lambda n=n: ask_or_closed(h, n, "/read/") == 200)
               for n in h.nodes), "and serve")


CHECKS = {"length": check_length, "memory": check_memory,
          "refusal": check_refusal, "silence": check_silence,
          "heads": check_heads, "interim": check_interim}


if __name__ == "__main__":
    sys.exit(hosted.run_checks("bytes", CHECKS, sys.argv[1:]))
