"""Stand-ins for the cases 4 to 6: the platform's store, workers, and machines
that run the node with the deploy file's command and settings template. All
addresses are loopback addresses of a network drawn for each run."""

import base64
import http.client
import json
import os
import random
import re
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEARTBEAT_S = 1.5
BOUNDS = {"ReuseAfterS": 2, "StabilityS": 3, "DrainS": 2, "GraceS": 6,
          "ConfigApplyS": 2, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
          "BudgetSlack": 60, "FloorShare": 0.7}
HOST = "jepu9.example"
PORTS = {"Inbound": 8624, "Outbound": 8629, "ReadyAddr": 8625,
         "Control": 8620, "app": 8628}
PORT_RANGE = [7600, 7615]
ADMIN_PORT = 9464  # of the deploy file's template
MOST_MACHINES = 6
STORE_ANSWER_S = 0.004


def is_free(ip, port):
    with socket.socket() as s:
        try:
            s.bind((ip, port))
            return True
        except OSError:
            return False


def free_network():
    """Returns the beginning of loopback addresses on which all ports that the
    machines use are free."""
    ports = [*PORTS.values(), ADMIN_PORT,
             *range(PORT_RANGE[0], PORT_RANGE[1] + 1)]
    while True:
        network = "127.%d.%d." % (random.randint(2, 250),
                                  random.randint(2, 250))
        if all(is_free(network + str(10 + k), port) for port in ports
               for k in range(1, MOST_MACHINES + 1)):
            return network


NETWORK = free_network()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.out = open(path, "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.out.write("%8.3f %s\n" % (time.monotonic() - self.began,
                                           text))
            self.out.flush()


class Quiet(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def body(self):
        if self.headers.get("Transfer-Encoding") == "chunked":
            parts = []
            while True:
                size = int(self.rfile.readline(), 16)
                parts.append(self.rfile.read(size))
                self.rfile.readline()
                if size == 0:
                    return b"".join(parts)
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, headers, body=b""):
        self.send_response_only(status)
        for key, value in headers.items():
            self.send_header(key, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def handle(self):
        try:
            super().handle()
        except (OSError, ValueError):
            pass  # the peer has left


class Server(ThreadingHTTPServer):
    daemon_threads = allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass


class Store:
    """The platform's store: rows and a feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows, self.log = {}, []
        self.version, self.era = 100, 1
        self.away = False
        self.changed = threading.Condition()
        store = self

        class Handler(Quiet):
            def send(self, status, body):
                if store.away:
                    raise OSError("away")
                self.reply(status, {"Content-Type": "application/json",
                                    "Store-Era": str(store.era)},
                           json.dumps(body).encode())

            def do_GET(self):
                time.sleep(STORE_ANSWER_S)
                u = urlsplit(self.path)
                q = {k: v[0] for k, v in parse_qs(u.query).items()}
                if u.path == "/api/rows-get":
                    return self.send(200, store.read(q))
                if u.path == "/api/rows-feed":
                    return self.send(*store.feed(q))
                return self.send(404, {})

            def do_POST(self):
                time.sleep(STORE_ANSWER_S)
                return self.send(*store.write(json.loads(self.body())))

            def do_PUT(self):
                self.body()
                return self.send(404, {})

        self.server = Server((NETWORK + "1", 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, args=(0.02,),
                         daemon=True).start()

    def answer(self, rows, more=False):
        return {"Rows": rows, "HasMore": more, "Ver": self.version,
                "NowS": time.monotonic()}

    def read(self, q):
        with self.changed:
            found = [r for (t, p, k), r in sorted(self.rows.items())
                     if t == q.get("Table") and p == q.get("part", "") and
                     k >= q.get("From", "") and
                     ("Target" not in q or k < q["Target"])]
            limit = min(500, int(q.get("Limit", 500)))
            return self.answer(found[:limit], len(found) > limit)

    def feed(self, q):
        end = time.monotonic() + int(q.get("WaitMs", 0)) / 1000
        after = int(q.get("after", 0))
        with self.changed:
            while True:
                if after > self.version or self.away:
                    return 410, {}
                found = [r for r in self.log if r["Ver"] > after and
                         r["Table"] == q.get("Table")]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, self.answer(found)
                self.changed.wait(left)

    def write(self, tx):
        with self.changed:
            for e in tx.get("Expected", []):
                name = (e["Table"], e.get("part", ""), e["Key"])
                if self.rows.get(name, {}).get("Ver", 0) != e["Ver"]:
                    return 412, self.answer(
                        [self.rows[name]] if name in self.rows else [])
            for rows, gone in ((tx.get("Writes", []), False),
                               (tx.get("Remove", []), True)):
                for w in rows:
                    if w["Table"] in ("op", "servers"):
                        return 403, {}
            self.apply(tx)
            return 200, self.answer([])

    def copy(self):
        with self.changed:
            return dict(self.rows), list(self.log), self.version

    def drill(self, copy, away_s):
        """Is away for a moment and comes back from an older copy. What the
        operator wrote is written again."""
        with self.changed:
            self.away = True
            self.changed.notify_all()
        self.record("store: away")
        time.sleep(away_s)
        with self.changed:
            op = [r for r in self.rows.values() if r["Table"] == "op"]
            lost = sorted(r["Key"] for r in self.rows.values()
                          if r["Ver"] > copy[2] and r["Table"] != "op")
            self.rows, self.log, self.version = (
                dict(copy[0]), list(copy[1]), copy[2])
            self.era += 1
            self.away = False
            self.apply({"Writes": op})
        self.record("store: back in era %d, without what the system wrote: %s"
                    % (self.era, ", ".join(lost)))

    def apply(self, tx):
        self.version += 1
        for w in tx.get("Writes", []):
            row = {"Table": w["Table"], "part": w.get("part", ""),
                   "Key": w["Key"], "Value": w["Value"], "Ver": self.version}
            self.rows[(row["Table"], row["part"], row["Key"])] = row
            self.log.append(row)
        for w in tx.get("Remove", []):
            name = (w["Table"], w.get("part", ""), w["Key"])
            if self.rows.pop(name, None):
                self.log.append({"Table": name[0], "part": name[1],
                                 "Key": name[2], "Value": "",
                                 "Ver": self.version, "Deleted": True})
        self.changed.notify_all()

    def put_config(self, config):
        value = base64.b64encode(json.dumps(config).encode()).decode()
        with self.changed:
            self.apply({"Writes": [{"Table": "op", "Key": "config",
                                    "Value": value}]})
        self.record("operator: version %d acknowledged" % config["Version"])


def route(name, prefix, service, kind, timeout_s=8, target_s=2):
    return {"Name": name, "Kind": kind, "TargetLatencyS": target_s,
            "Priority": 1, "Match": {"Prefix": prefix},
            "Action": {"Service": service, "TimeoutS": timeout_s,
                       "Attempts": 2}}


def config(version, routes, services):
    return {"Version": version,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576,
                       "HeaderTimeoutS": 5, "IdleTimeoutS": 10},
            "Listeners": [{"Host": HOST, "Rules": routes}],
            "Clusters": [{"Name": s, "HealthPath": "/health",
                          "MaxConnections": 360} for s in services]}


class Machine:
    """A machine of class `sidecar` with its node and its worker's address."""

    def __init__(self, record, directory, store, number, service, bounds=()):
        self.record, self.number, self.service = record, number, service
        self.ip = NETWORK + str(10 + number)
        self.name = "sidecar-hall-a-%d" % number
        self.ports = PORTS
        self.fields = {
            "Node": self.name, "Zone": "hall-a", "Ip": self.ip,
            "PortRange": PORT_RANGE, "Service": service,
            "AppAddr": self.at("app"), "Platform": {"Address": store.address},
            "Listen": {k: self.at(k) for k in ("Inbound", "Outbound",
                                               "ReadyAddr", "Control")},
            "Bounds": {**BOUNDS, **dict(bounds)}}
        self.file = os.path.join(directory, self.name + ".ini")
        self.log = os.path.join(directory, self.name + ".log")
        self.process = None
        self.ended = False
        self.lock = threading.Lock()

    def at(self, port):
        return "%s:%d" % (self.ip, self.ports[port])

    def value(self, path):
        x = self.fields
        for part in path.split("."):
            x = x.get(part) if isinstance(x, dict) else None
        return x

    def fill_in(self):
        """Fills in the template as the platform does."""
        with open(os.path.join(ROOT, "deploy", "node.ini.template")) as f:
            text = f.read()

        def section(m):
            return m.group(2) if self.value(m.group(1)) else ""

        def plain(m):
            x = self.value(m.group(1))
            if isinstance(x, list):
                return ",".join(map(str, x))
            return "" if x is None else str(x)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text,
                      flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", plain, text)
        with open(self.file + ".new", "w") as f:
            f.write(text)
        os.rename(self.file + ".new", self.file)

    def start(self):
        with self.lock:
            if self.ended:
                return
            self.fill_in()
            with open(self.log, "ab") as log:
                self.process = subprocess.Popen(
                    [os.path.join(ROOT, "target", "jasminetray-node"),
                     "--settings=" + self.file], cwd=ROOT, stdout=log,
                    stderr=log)
        self.record("%s: node started" % self.name)

    def ready(self):
        try:
            c = http.client.HTTPConnection(self.ip, self.ports["ReadyAddr"],
                                           timeout=1)
            c.request("GET", "/api/ready")
            status = c.getresponse().status
            c.close()
            return status == 200
        except OSError:
            return False

    def stop(self):
        with self.lock:
            self.ended = True
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Worker:
    """A worker of the pages: it runs as many requests as it has slots, lets a
    few wait and rejects the rest, stops work at the time that it was given, and
    says in all its answers that it leaves."""

    MOST_WAITING = 8

    def __init__(self, record, machine, name, service=None, slots=6,
                 work_s=0.05, born=None):
        self.record, self.machine, self.name = record, machine, name
        self.service = service or machine.service
        self.slots, self.work_s = slots, work_s
        self.born = born or int(time.time() * 1000)
        self.state, self.seq = "ready", 0
        self.running = self.waiting = 0
        self.lock = threading.Lock()
        self.free = threading.Condition(self.lock)
        self.arrivals = []  # (time, request, method, path, headers)
        self.finished = []  # requests that ran to their end
        self.connections = set()
        self.ended = False
        worker = self

        class Handler(Quiet):
            def setup(self):
                super().setup()
                worker.connections.add(self.request)

            def answer(self, status, headers, body=b""):
                with worker.lock:
                    load = "%d,%d,%d" % (worker.running, worker.waiting,
                                         worker.slots)
                headers = {**headers, "X-Server-Load": load}
                if worker.state == "draining":
                    headers["Server-Leaving"] = "1"
                    headers["Connection"] = "close"
                    self.close_connection = True
                self.reply(status, headers, body)

            def serve(self):
                body = self.body()
                if self.path == "/health":
                    good = worker.state == "ready"
                    return self.answer(200 if good else 503,
                                       {"X-Instance-Id": worker.name})
                request = self.headers.get("X-Attempt-Id")
                if self.headers.get("X-Expect-Instance",
                                    worker.name) != worker.name:
                    return self.answer(421, {"X-Instance-Id": worker.name})
                if not request:
                    return self.answer(400, {"X-Not-Executed": "1"})
                ms = self.headers.get("X-Deadline-Ms", "10000")
                end = time.monotonic() + int(ms) / 1000
                if not worker.take_slot(end):
                    return self.answer(503, {"X-Not-Executed": "1"})
                worker.arrivals.append((time.monotonic(), request,
                                        self.command, self.path,
                                        dict(self.headers)))
                worker.record("worker %s (%s): runs %s %s %s" % (
                    worker.name, worker.service, request, self.command,
                    self.path))
                left = end - time.monotonic()
                time.sleep(max(0, min(worker.work_s, left)))
                worker.give_slot()
                if worker.ended:
                    return None
                own = {"X-Attempt-Id": request,
                       "X-Server-Seal": "s.%s" % worker.name}
                if worker.work_s > left:
                    return self.answer(504, own)
                worker.finished.append(request)
                return self.answer(
                    200, own, ("%s by %s" % (request, worker.name)).encode())

            do_GET = do_POST = do_PUT = do_DELETE = serve

        self.server = Server((machine.ip, machine.ports["app"]), Handler)
        threading.Thread(target=self.server.serve_forever, args=(0.02,),
                         daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()
        record("worker %s (%s): starts at %s" % (name, self.service,
                                                 machine.at("app")))

    def take_slot(self, end):
        """@return whether there was a slot before the end of the time"""
        with self.free:
            if self.waiting >= self.MOST_WAITING:
                return False
            self.waiting += 1
            got = self.free.wait_for(lambda: self.running < self.slots,
                                     max(0, end - time.monotonic()))
            self.waiting -= 1
            self.running += 1 if got else 0
            return got

    def give_slot(self):
        with self.free:
            self.running -= 1
            self.free.notify()

    def beat(self):
        while not self.ended:
            self.check_in()
            time.sleep(HEARTBEAT_S)

    def check_in(self):
        with self.lock:
            self.seq += 1
            seq = self.seq
        return check_in(self.machine, self.name, self.service, self.born,
                        self.machine.at("app"), self.state, seq, self.slots)

    def drain(self):
        """Reports that it leaves; returns the time of the ack."""
        self.state = "draining"
        status = self.check_in()
        at = time.monotonic()
        self.record("worker %s: says draining, acknowledged with %s" % (
            self.name, status))
        return at if status and 200 <= status < 300 else None

    def delete(self):
        status = call(self.machine, "DELETE", self.name, {"born": self.born})
        self.record("worker %s: DELETE, acknowledged with %s" % (self.name,
                                                                 status))

    def leave(self):
        """Says that it is gone and exits: its connections close."""
        self.ended = True
        self.delete()
        self.record("worker %s: exits" % self.name)
        self.server.shutdown()
        self.server.server_close()
        for s in list(self.connections):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def call(machine, method, name, body=None):
    try:
        c = http.client.HTTPConnection(machine.ip, machine.ports["Control"],
                                       timeout=1)
        c.request(method, "/api/instances/" + name,
                  json.dumps(body) if body is not None else None,
                  {"Content-Type": "application/json"})
        status = c.getresponse().status
        c.close()
        return status
    except OSError:
        return None


def check_in(machine, name, service, born, address, state, seq, slots):
    return call(machine, "PUT", name, {
        "born": born, "Address": address,
        "Info": {"Service": service, "Version": "v1", "Zone": "hall-a",
                 "Slots": slots},
        "Status": {"State": state, "Seq": seq, "ColdLeftS": 0}})


class Client:
    """Requesters: each request is one attempt with an id of its own."""

    def __init__(self, record):
        self.record = record
        self.tag = "%08x" % random.getrandbits(32)
        self.count = 0
        self.lock = threading.Lock()
        self.answers = {}  # request: (status or text, headers, body)

    def ask(self, machine, path, method="GET", deadline_ms=8000, body=None,
            headers=None):
        with self.lock:
            self.count += 1
            request = "%s%08x" % (self.tag, self.count)
        self.record("client: sends %s %s %s to %s" % (request, method, path,
                                                      machine.name))
        try:
            c = http.client.HTTPConnection(machine.ip,
                                           machine.ports["Outbound"],
                                           timeout=deadline_ms / 1000 + 0.5)
            c.request(method, path, body,
                      {"Host": HOST, "X-Attempt-Id": request,
                       "X-Deadline-Ms": str(deadline_ms), **(headers or {})})
            r = c.getresponse()
            got = (r.status, dict(r.getheaders()), r.read())
            c.close()
        except (OSError, http.client.HTTPException) as e:
            got = (type(e).__name__, {}, b"")
        self.answers[request] = got
        self.record("client: %s gets %s, seal %s" % (
            request, got[0], got[1].get("X-Server-Seal", "none")))
        return request, got

    def ask_at_once(self, jobs):
        """Runs several calls of ask(); returns their results."""
        results = [None] * len(jobs)

        def run(k):
            results[k] = self.ask(*jobs[k])

        threads = [threading.Thread(target=run, args=(k,))
                   for k in range(len(jobs))]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        return results


def wait_for(what, bound_s):
    end = time.monotonic() + bound_s
    while time.monotonic() < end:
        if what():
            return True
        time.sleep(0.05)
    return False


def run_case(record_file, case):
    """Runs `case(record, directory, machines)`, which returns whether the rule
    was kept, or None if it couldn't run. Returns the exit code."""
    record = Record(record_file)
    machines = []
    result = None
    with tempfile.TemporaryDirectory(prefix="review-") as directory:
        try:
            result = case(record, directory, machines)
        except Exception as e:  # the case couldn't run
            record("could not run: %r" % e)
        finally:
            for m in machines:
                m.stop()
    text = {True: "held", False: "BROKEN", None: "could not run"}[result]
    record("the rule: " + text)
    print("the rule: " + text)
    return {True: 0, False: 1, None: 2}[result]
