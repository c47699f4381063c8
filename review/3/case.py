"""A node gets SIGTERM while requests of a tenant at its limit wait there for
their turn."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(FOLDER, "record.txt")
sys.path.insert(0, os.path.dirname(FOLDER))
import stand_ins as s  # noqa: E402

HOST = "charge.example"
TENANT, KEY = "bozi300", "mgjy5rcpihhacruddede"
RATE, BURST = 5, 5
TARGET_S = 8
CALLERS = 5
LIMIT_S = 10  # of the callers and of the route
CALM_S = 6
LOST_S, GRACE_S = s.BOUNDS["LostS"], s.BOUNDS["GraceS"]


class Caller:
    """Sends one request after the other, and waits as it is told."""

    def __init__(self, case, machine):
        self.case, self.machine = case, machine
        self.connection = s.Connection(machine)
        self.requests = []  # (id, last byte sent, ended, status, ended by)
        self.stop = False

    async def run(self):
        while not self.stop:
            if not self.case.gets_requests(self.machine):
                await asyncio.sleep(0.1)
                continue
            request = self.case.attempt_id()
            sent = time.monotonic()
            self.case.record.write("sent %s: POST /charge/x" % request)
            try:
                answer = await self.connection.request(
                    "POST /charge/x HTTP/1.1",
                    {"Host": HOST, "X-Attempt-Id": request, "X-Key": KEY,
                     "X-Deadline-Ms": str(LIMIT_S * 1000)})
            except OSError:
                self.case.record.write("%s: no connection" % request)
                return
            status = answer[0] if answer else 0
            self.case.record.write("got %s: %s" % (
                request, status or "no answer, connection ended by " +
                self.connection.ended_by))
            self.requests.append((request, sent, time.monotonic(), status,
                                  self.connection.ended_by))
            told = float(answer[1].get("retry-after", 0)) if answer else 0
            await asyncio.sleep(max(0.1, told))


def is_lost(case, request, sent, at, ended_by, term):
    """LOST around a SIGTERM: read whole, the connection ended without an
    answer, after it was passed on or later than LostS; with its excuses."""
    read = ended_by == "close"  # a reset: bytes of it were left unread
    planned = term <= at <= term + GRACE_S + 1
    time_was_up = at - sent >= LIMIT_S
    late = term + 5 / 6 * GRACE_S
    passed_on = [w for w in case.workers
                 if any(r == request for _, r, _ in w.runs)]
    at_work_late = sent <= term + 3 and any(
        w.ends.get(request, late) >= late for w in passed_on)
    return (read and planned and not time_was_up and not at_work_late and
            (bool(passed_on) or at - sent > LOST_S))


async def run(case):
    routes = [s.route("r-charge", HOST, "/charge/", "charges",
                      "non_idempotent", LIMIT_S, TARGET_S)]
    tenants = [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1,
                "RatePerS": RATE, "Burst": BURST}]
    await case.start(s.config(1, routes, ["charges"], tenants))
    await asyncio.sleep(3)
    home = case.machines[0]
    callers = [Caller(case, home) for _ in range(CALLERS)]
    tasks = [asyncio.ensure_future(c.run()) for c in callers]
    await asyncio.sleep(CALM_S)
    term = time.monotonic()
    if s.TROUBLE:
        home.signal(signal.SIGTERM, "SIGTERM")
    end = term + GRACE_S
    while time.monotonic() < end and home.process.poll() is None:
        await asyncio.sleep(0.02)
    ended = home.process.poll()
    case.record.say("node: %s" % ("runs" if ended is None else
                                  "ended with status %d" % ended))
    for c in callers:
        c.stop = True
    await asyncio.gather(*tasks)
    answers = {}
    lost = []
    for c in callers:
        for request, sent, at, status, ended_by in c.requests:
            answers[status] = answers.get(status, 0) + 1
            if status == 0 and is_lost(case, request, sent, at, ended_by, term):
                lost.append((request, at - sent))
    case.record.say("answers by status: %s" % sorted(answers.items()))
    case.record.say("closed without an answer later than %g s after the last "
                    "byte: %s" % (LOST_S, ", ".join(
                        "%s after %.2f s" % x for x in lost) or "none"))
    return bool(lost)


if __name__ == "__main__":
    sys.exit(s.play(s.Case(RECORD, ["charges"] * 3, teams=True,
                           zones=("hall-a", "hall-b", "hall-c")), run))
