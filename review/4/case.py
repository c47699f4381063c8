"""Several users upload large bodies at once, within MaxBodyBytes. The platform
kills a process that exceeds MemoryMb."""

import http.client
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(FOLDER, "record.txt")
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins_2 as s  # noqa: E402

MEMORY_MB = 260  # taken as 2^20 bytes, the larger reading
MAX_BODY_BYTES = 67108864
LINK_BYTES_S = 1000e6 / 8  # LinkMbps
# The uploads share half of the link, so that no packet waits there and the
# machine does not count as slowed.
SENT_BYTES_S = LINK_BYTES_S / 2
UPLOADS = 3
LARGE, SMALL = 60000000, 360000  # bytes; the site's longest upload is SMALL
CHARGES = 6
DEADLINE_MS = 15000
MOST_LOST = 3  # of the rule
GAVE_UP = ("TimeoutError", "timeout")


class MemoryLimit(threading.Thread):
    """Kills the process of a machine that exceeds MemoryMb, and starts it
    again. Counts less than the pages do: received bytes that were not yet read
    are left out."""

    def __init__(self, record, machine):
        super().__init__(daemon=True)
        self.record, self.machine = record, machine
        self.most_mb, self.kills, self.over = 0, 0, False
        self.start()

    def resident_mb(self):
        with open("/proc/%d/statm" % self.machine.process.pid) as f:
            return int(f.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 2**20

    def run(self):
        while not self.over and not self.machine.ended:
            try:
                mb = self.resident_mb()
            except (OSError, IndexError):
                mb = 0
            self.most_mb = max(self.most_mb, mb)
            if mb > MEMORY_MB:
                self.kills += 1
                self.record("platform: %s has %.0f MB of %d: killed" % (
                    self.machine.name, mb, MEMORY_MB))
                self.machine.process.kill()
                self.machine.process.wait()
                time.sleep(0.3)
                self.machine.start()
            time.sleep(0.005)


class KeptConnection:
    """A requester's connection that has served a request before."""

    def __init__(self, client, machine):
        self.client, self.machine = client, machine
        self.c = http.client.HTTPConnection(
            machine.ip, machine.ports["Outbound"],
            timeout=DEADLINE_MS / 1000 + 0.5)

    def ask(self, path, body):
        """Returns the request's id and its status, or an error's name."""
        with self.client.lock:
            self.client.count += 1
            request = "%s%08x" % (self.client.tag, self.client.count)
        head = {"Host": s.HOST, "X-Attempt-Id": request,
                "X-Deadline-Ms": str(DEADLINE_MS),
                "Content-Length": str(len(body))}
        record = self.client.record
        record("client: sends %s POST %s, %d bytes, to %s" % (
            request, path, len(body), self.machine.name))
        try:
            self.c.putrequest("POST", path, skip_host=True,
                              skip_accept_encoding=True)
            for key, value in head.items():
                self.c.putheader(key, value)
            self.c.endheaders()
            step = 1 << 18
            began = time.monotonic()
            for at in range(0, len(body), step):
                self.c.send(body[at:at + step])
                due = began + (at + step) * UPLOADS / SENT_BYTES_S
                if len(body) > step:
                    time.sleep(max(0, due - time.monotonic()))
            r = self.c.getresponse()
            r.read()
            got = r.status
        except (OSError, http.client.HTTPException) as e:
            got = type(e).__name__
        record("client: %s gets %s" % (request, got))
        return request, got


def case(record, directory, machines):
    store = s.Store(record)
    version = s.config(7, [
        s.route("upload", "/tickets/", "archivio", "upload", 15, 2.5),
        s.route("book", "/book/", "consegne", "non_idempotent", 10, 1.5)],
        ["archivio", "consegne"])
    version["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES
    store.put_config(version)
    services = ["archivio", "archivio", "consegne", "consegne"]
    for number, service in enumerate(services, 1):
        machines.append(s.Machine(record, directory, store, number, service))
        machines[-1].start()
    limits = [MemoryLimit(record, m) for m in machines]
    workers = [s.Worker(record, m, "i-%08x" % (0x7f3a0000 + m.number))
               for m in machines]
    if not s.wait_for(lambda: all(m.ready() for m in machines), 20):
        return None
    client = s.Client(record)
    time.sleep(5)
    front = machines[0]
    booking = [KeptConnection(client, front) for _ in range(CHARGES)]
    if any(k.ask("/book/0", b"x")[1] != 200 for k in booking):
        return None
    for w in workers[2:]:
        w.work_s = 6
    results, threads = [], []

    def begin(connection, path, body):
        threads.append(threading.Thread(target=lambda: results.append(
            (path, connection.ask(path, body)))))
        threads[-1].start()

    for k in booking:
        begin(k, "/book/1", b"x")
    if not s.wait_for(lambda: sum(w.running for w in workers[2:]) == CHARGES,
                      4):
        return None
    size = LARGE if s.trouble() else SMALL
    for k in range(UPLOADS):
        begin(KeptConnection(client, front), "/tickets/%d" % k, bytes(size))
    for t in threads:
        t.join()
    for x in limits:
        x.over = True
        record("%s: at most %.0f MB, killed %d times" % (
            x.machine.name, x.most_mb, x.kills))
    # The machine is in touch all the while: a process over its memory ends by
    # itself. A requester that gave up waiting isn't counted.
    ran = {a[1] for w in workers[2:] for a in w.arrivals}
    lost = [r for path, (r, got) in results
            if path == "/book/1" and r in ran and not isinstance(got, int) and
            got not in GAVE_UP]
    record("bookings at work at sound workers whose connection ended without "
           "an answer: %d of %d" % (len(lost), CHARGES))
    return len(lost) <= MOST_LOST


sys.exit(s.run_case(RECORD, case))
