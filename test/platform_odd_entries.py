"""Tests that nodes bear odd entries of other writers in the store's tables and
odd check-ins: each goes on, and so does what follows the store. Exits non-zero
if a check fails.

Arguments: names of checks; all of them without one.
"""

import socket
import sys

import platform_hosted as hosted
from platform_bytes import all_run, ask_or_closed, log_of, start
from platform_hosted import expect, wait_for

import fleet

IN_FORCE_S = 6  # bound of a configuration
TABLES = ("servers", "op", "status", "jasminetray-nodes", "jasminetray-keys",
          "jasminetray-quarantine", "jasminetray-config")
DEEP = 15000  # times two brackets: within the limit of a check-in
VERY_DEEP = 100000
NUMBERS = ("1e400", "-1e400", "1e308", "18446744073709551616", "-1", "0.5",
           "9" * 400, "true", "null", '"1"', "[]", "{}")
PORTS = ("0", "65536", "-1", "99999999999999999999", "8080x", "", " 80", "1e3")


def entry(address="127.0.0.1:9", slots="4", seq="1", cold="0", born="1"):
    return ('{"born":%s,"Address":"%s","Info":{"Service":"billing",'
            '"Version":"v1","Zone":"z","Slots":%s},"Status":{"State":"ready",'
            '"Seq":%s,"ColdLeftS":%s}}' % (born, address, slots, seq, cold))


def odd_texts():
    """Returns texts that name no backend server and no node to use."""
    texts = ["", " ", "\x00", "{", "[1,2", "null", "7", '"x"', "[]", "{}",
             "[" * DEEP, "[" * DEEP + "]" * DEEP, "[" * VERY_DEEP,
             '{"a":' * (DEEP // 2) + "1" + "}" * (DEEP // 2),
             entry().replace('"v1"', "[" * DEEP + "]" * DEEP),
             "x" * 60000, "\u00e9" * 300, "10.0.0.1 0", "10.0.0.1:80 zz"]
    for n in NUMBERS:
        texts += [entry(slots=n), entry(seq=n), entry(cold=n), entry(born=n)]
    for p in PORTS:
        texts += [entry("127.0.0.1:" + p), "127.0.0.1:%s 1f" % p]
    for a in ("", ":", "localhost:80", "999.1.1.1:80", "1.2.3:80", "::1:80"):
        texts += [entry(a), a + " 1f"]
    return texts


def put_row(h, table, key, value):
    fleet.post(h.f.platform.address(), "/operator",
               {"table": table, "key": key, "value": value})


def expect_follows(h, what, version):
    """Expects that the fleet serves and follows the configuration."""
    expect(all_run(h), what + ": the nodes run")
    name = "v%d" % version
    h.put_config(hosted.document(version, [
        hosted.route("read", "/read/", "billing"),
        hosted.route("charge", "/charge/", "billing", "non_idempotent"),
        hosted.route(name, "/%s/" % name, "billing")]))
    expect(wait_for(lambda: all(ask_or_closed(h, n, "/%s/" % name) == 200
                                for n in h.nodes), IN_FORCE_S),
           what + ": a later configuration is in force")
    expect(all(ask_or_closed(h, n, "/charge/", "POST") == 200
               for n in h.nodes), what + ": and charges are served")


# Guards against an odd row that ends the nodes that read its table, or stops
# what follows it.
def check_rows(f):
    h = start(f)
    version = 10
    for table in TABLES:
        for k, text in enumerate(odd_texts()):
            put_row(h, table, "odd-%d" % k, text)
        version += 1
        expect_follows(h, "odd rows in " + table, version)
    name = "n2"
    h.start_node(name, "billing", extra=["limits.most_body=67108864"])
    h.start_worker("w2", name)
    expect(wait_for(lambda: h.ready(name)), "a node that starts then is ready")
    expect_follows(h, "a node that starts then", version + 1)
    h.f.nodes[name].send(hosted.signal.SIGKILL)
    h.f.nodes[name].popen.wait()
    h.workers.pop("w2").stop()
    del h.nodes[name]
    expect(all_run(h), "the nodes run")


ODD_VALUES = ("%%%", "abc", "QQ==x", "QUJD\n", "\u00e9", "=" * 1000, 7, None,
              True, [], {}, ["QUJD"])


# Guards against a row whose value can't be decoded and that hides all others of
# its table.
def check_values(f):
    h = start(f)
    for table in TABLES:
        if table in ("op", "servers"):
            continue  # the store refuses other writers
        fleet.post(h.f.platform.address(), "/api/rows-tx", {"Writes": [
            {"Table": table, "part": "", "Key": "odd-%d" % k, "Value": v}
            for k, v in enumerate(ODD_VALUES)]})
    expect_follows(h, "values that can't be decoded", 10)
    h.start_node("n2", "billing", extra=["limits.most_body=67108864"])
    h.start_worker("w2", "n2")
    expect(wait_for(lambda: h.ready("n2")), "a node that starts then is ready")
    for name in ("w0", "w1"):
        h.workers[name].mode = "shed"
    expect(wait_for(lambda: all(ask_or_closed(h, n, "/read/") == 200
                                for n in ("n0", "n1"))),
           "and the others find its backend server")
    for name in ("w0", "w1"):
        h.workers[name].mode = "healthy"
    expect_follows(h, "with a node that starts then", 11)


def send_check_in(h, node, name, text):
    """Returns the status of the answer; 0 without one."""
    body = text.encode("utf-8", "surrogateescape")
    with socket.create_connection(
            ("127.0.0.1", h.nodes[node]["control"]), 3) as s:
        try:
            s.sendall((
                "PUT /api/instances/%s HTTP/1.1\r\nHost: x\r\n"
                "Content-Type: application/json\r\nContent-Length: %d\r\n"
                "Connection: close\r\n\r\n" % (name, len(body))).encode() +
                body)
            answer = s.recv(65536)
        except OSError:
            return 0  # closed: the body is too long
    return int(answer.split(b" ")[1]) if answer.startswith(b"HTTP/1.1") else 0


# Guards against an odd check-in that ends its node, or takes the place of the
# backend server whose name it bears.
def check_check_ins(f):
    h = start(f)
    worker = h.workers["w0"]
    for name in ("x", "w0"):
        taken = [text for text in odd_texts()
                 if send_check_in(h, "n0", name, text.replace(
                     '"born":1', '"born":%d' % worker.born)) == 200]
        # A start time or a number may be odd and still be one.
        wrong = [text for text in taken if not any(
            text == entry(**{field: n}) for n in NUMBERS
            for field in ("seq", "cold", "born"))]
        expect(not wrong, "odd check-ins of %s are refused: %s" % (
            name, [t[:120] for t in wrong]))
        expect_follows(h, "odd check-ins of " + name, 10 + len(name))
    expect("check_in_refused" in log_of(h, "n0"), "and logged")


# Guards against an odd address that replaces that of a backend server which is
# at work.
def check_address(f):
    h = start(f)
    worker = h.workers["w0"]
    worker.muted = True
    h.workers["w1"].mode = "shed"
    for p in PORTS:
        text = entry("127.0.0.1:" + p, seq=str(worker.seq + 1000),
                     born=str(worker.born))
        send_check_in(h, "n0", "w0", text)
        expect(ask_or_closed(h, "n0", "/charge/", "POST") == 200,
               "port %r is not used" % p)


CHECKS = {"rows": check_rows, "values": check_values, "check_ins": check_check_ins,
          "address": check_address}


if __name__ == "__main__":
    sys.exit(hosted.run_checks("odd", CHECKS, sys.argv[1:]))
