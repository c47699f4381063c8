"""Tests large answers of a hosted fleet on loopback: they are streamed, and
repeated until the first byte has gone to the caller and no longer. Exits
non-zero if a check fails.
"""

import http.client
import random
import sys

import platform_hosted as hosted
from platform_hosted import expect, fleet, wait_for

HELD_BYTES = 65536  # limits.hold_bytes
LARGE = 400 * 1024
SEED = 1  # of the order in which backend servers cut
LEAST_TRIES = 12
MOST_TRIES = 120


def start_fleet(f):
    f.start_platform()
    h = hosted.Hosted(f)
    for n in range(1, 4):
        h.start_node("n%d" % n, "files")
        h.start_worker("w%d" % n, "n%d" % n)
    h.put_config(hosted.document(
        1, [hosted.route("file", "/file/", "files", kind="download")],
        services=("files",)))
    expect(wait_for(lambda: all(h.ready(n) for n in h.nodes)),
           "all nodes are ready")
    expect(wait_for(lambda: all(h.ask(n, "/file/")[0] == 200
                                for n in h.nodes)), "all nodes serve")
    return h


def runs(h):
    return sum(len(w.seen) for w in h.workers.values())


def set_all(h, **members):
    for w in h.workers.values():
        vars(w).update(members)


# Guards against an answer that is held whole in a node, or loses its end.
def check_large_answer(h):
    set_all(h, padding=LARGE)
    status, headers, body = h.ask("n1", "/file/a")
    expect(status == 200 and headers.get("X-Server-Seal") == "s" and
           body.startswith("r%d by " % h.requests) and
           body.count("x") == LARGE, "a large answer arrives whole")


def sound_again(h):
    """Former failures make suspects, which get no more than probes."""
    set_all(h, cut_after=None)
    return wait_for(lambda: all(h.ask("n1", "/file/c")[0] == 200
                                for _ in range(6)))


# Guards against a caller that gets a failure although nothing was sent to it
# yet and another backend server could answer.
def check_repeated_before_first_byte(h):
    set_all(h, padding=LARGE)
    again, failed, tries = 0, [], 0
    # Requests are spread in turns: one that cuts in turns may never get any.
    order = random.Random(SEED)
    while tries < LEAST_TRIES or (again == 0 and tries < MOST_TRIES):
        name = order.choice(sorted(h.workers))
        tries += 1
        expect(sound_again(h), "all are sound")
        h.workers[name].cut_after = HELD_BYTES // 2
        before = runs(h)
        status, _, body = h.ask("n1", "/file/b")
        again += runs(h) - before - 1
        if status != 200 or body.count("x") != LARGE:
            failed.append((tries, status, body[:100]))
    expect(not failed, "cut before the first byte: repeated: %s" % failed)
    expect(again > 0, "%d of %d ran again" % (again, tries))
    set_all(h, cut_after=None)


# Guards against a caller that gets the bytes of two answers, and against one
# that takes a part of an answer, or a refusal behind it, for a whole one.
def check_not_repeated_after_first_byte(h, cut_after):
    expect(sound_again(h), "all are sound")
    set_all(h, padding=LARGE, cut_after=cut_after)
    before, got = runs(h), b""
    try:
        got = h.ask("n1", "/file/c")[2].encode()
        cut = False
    except http.client.IncompleteRead as e:
        got = e.partial
        cut = True
    except TimeoutError:
        cut = False
    expect(cut, "cut after %d bytes: the caller sees that it is" % cut_after)
    expect(b"HTTP/1.1" not in got and len(got) <= cut_after,
           "and gets no other bytes: %d" % len(got))
    expect(runs(h) == before + 1, "it ran once: %d" % (runs(h) - before))
    set_all(h, cut_after=None)


def main():
    with fleet.Fleet(cluster="download") as f:
        h = start_fleet(f)
        check_large_answer(h)
        check_repeated_before_first_byte(h)
        check_not_repeated_after_first_byte(h, HELD_BYTES * 4)
        check_not_repeated_after_first_byte(h, LARGE - 20)
        for w in h.workers.values():
            w.stop()
    return hosted.summarize("platform_download")


if __name__ == "__main__":
    sys.exit(main())
