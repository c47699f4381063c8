"""One spoilt answer of one backend server, while callers of the same VM wait
for answers of sound backend servers elsewhere."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(FOLDER, "record.txt")
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins as s  # noqa: E402

READS, CHARGES = "read.example", "charge.example"
KEPT = 8  # connections with a request at work when the answer is spoilt
ALLOWED = 3  # LOST: more than three closed without an answer
# The length that the worker's head names, for a body of some hundred bytes.
NAMED_LENGTH = 1500 * 10 ** 12
CALM_S = s.BOUNDS["StabilityS"] + 1


def first_line(method, path):
    return "%s %s HTTP/1.1" % (method, path)


def fields_for(case, host, work_s=None):
    f = {"Host": host, "X-Attempt-Id": case.attempt_id(),
         "X-Deadline-Ms": "12000"}
    if work_s is not None:
        f["X-Test-Work-S"] = str(work_s)
    return f


async def ask(case, connection, host, method, path, work_s=None):
    f = fields_for(case, host, work_s)
    case.record.write("sent %s: %s %s at %s" % (
        f["X-Attempt-Id"], method, path, connection.machine.name))
    answer = await connection.request(first_line(method, path), f)
    case.record.write("got %s: %s" % (
        f["X-Attempt-Id"],
        "connection closed without an answer" if answer is None
        else answer[0]))
    return f["X-Attempt-Id"], answer


async def wait_served(case, connection, host, method, path):
    end = time.monotonic() + 15
    while time.monotonic() < end:
        _, answer = await ask(case, connection, host, method, path)
        if answer and answer[0] == 200:
            return
        await asyncio.sleep(0.2)
    raise s.CannotRun("requests are not served")


async def run(case):
    routes = [s.route("r-read", READS, "/read/", "reads", "idempotent"),
              s.route("r-charge", CHARGES, "/charge/", "charges",
                      "non_idempotent")]
    await case.start(s.config(1, routes, ["charges", "reads"]))
    faulty = case.workers[0]
    home = case.machines[0]
    kept = [s.Connection(home) for _ in range(KEPT)]
    other = s.Connection(case.machines[1])
    await wait_served(case, other, READS, "GET", "/read/x")
    for c in kept:
        await wait_served(case, c, CHARGES, "POST", "/charge/x")
    await asyncio.sleep(CALM_S)

    spoilt = []

    def spoil(request):
        if spoilt or not s.TROUBLE:
            return None
        spoilt.append(request)
        head = ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
                "Content-Length: %d\r\n\r\n" % (request, NAMED_LENGTH))
        return [head.encode(), b"x" * 500]

    faulty.spoil = spoil
    work = [asyncio.ensure_future(ask(case, c, CHARGES, "POST", "/charge/x",
                                      work_s=4)) for c in kept]
    await asyncio.sleep(1)
    end = time.monotonic() + 8
    reads = 0
    while time.monotonic() < end and not all(t.done() for t in work):
        await ask(case, other, READS, "GET", "/read/x")
        reads += 1
        await asyncio.sleep(0.05)
    answers = await asyncio.gather(*work)
    await asyncio.sleep(0.5)
    if s.TROUBLE and not spoilt:
        raise s.CannotRun("the faulty worker got no request")

    ran = {r for w in case.workers for _, r, _ in w.runs if w is not faulty}
    lost = [r for r, a in answers if a is None and r in ran]
    ended = home.process.poll()
    case.record.say("reads sent meanwhile: %d, answers spoilt: %d" % (
        reads, len(spoilt)))
    case.record.say("node beside the faulty worker: %s" % (
        "runs" if ended is None else "ended by itself, status %d" % ended))
    case.record.say("charges at work at sound workers whose connection was "
                    "closed without an answer: %d of %d (allowed: %d)" % (
                        len(lost), KEPT, ALLOWED))
    return len(lost) > ALLOWED


if __name__ == "__main__":
    sys.exit(s.play(s.Case(RECORD, ["reads", "reads", "charges", "charges"]),
                    run))
