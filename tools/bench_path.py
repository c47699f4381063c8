"""Latency, CPU and memory that entry and exit add, against callers that talk
to the same backend servers directly, side by side in one run. Writes
out/path.txt for the capacity page."""

import os
import socket
import sys
import time

import fleet

RATES = (300, 1000, 5000, 10000, 20000)
SECONDS = 4
BACKENDS = 4
IDLE = 2000
CONFIG = """[fleet]
name = path
[service work]
floor = 50%
[route work]
path = /work
service = work
"""


def start(f, log_lines):
    f.start_platform()
    logs = ["log.lines_per_second=%d" % log_lines,
            "limits.most_in_flight=20000", "limits.service_in_flight=20000"]
    f.start_node("entry", "a", extra=logs)
    f.start_node("exit", "a", extra=logs)
    version = f.submit_text(CONFIG)
    for n in range(BACKENDS):
        f.start_backend("w%d" % n, "work", "exit", slots=1000, seed=n + 1,
                        work_ms=2, work_spread=0.05, runs_file="")
    f.wait_config(version)
    f.wait_workers("work", BACKENDS)
    time.sleep(11)  # past the ramp of a cold start


def measure(f, rate, direct):
    """Runs load directly at the backend servers or through the nodes."""
    run_args = dict(rate=rate, seconds=SECONDS, paths="/work/x",
                    non_idempotent=0.3, max_open=5000)
    pids = [f.nodes[n].popen.pid for n in ("entry", "exit")]
    before = [fleet.cpu_seconds(p) for p in pids]
    if direct:
        _, out = f.load((), wait=True, targets=",".join(
            b.address() for b in f.backends.values()), **run_args)
    else:
        _, out = f.load(("entry",), wait=True, **run_args)
    used = [fleet.cpu_seconds(p) - b for p, b in zip(pids, before)]
    lines = out.strip().splitlines()
    times = fleet.numbers([x for x in lines if x.startswith("answered_ms")][0])
    found = fleet.numbers(lines[-1])
    times.update(answered=found["answered"], sent=found["sent"],
                 skipped=any(x.startswith("skipped") for x in lines),
                 entry_us=1e6 * used[0] / max(1, found["answered"]),
                 exit_us=1e6 * used[1] / max(1, found["answered"]))
    return times


def idle_connection_kb(f):
    """Memory of one idle connection of a caller that sent one request."""
    node = f.nodes["entry"]
    before = fleet.rss_kb(node.popen.pid)
    held = []
    for _ in range(IDLE):
        s = socket.create_connection(("127.0.0.1", node.ports["entry_port"]))
        s.sendall(b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n")
        s.recv(4096)
        held.append(s)
    after = fleet.rss_kb(node.popen.pid)
    for s in held:
        s.close()
    return (after - before) / IDLE


def kept_up(m):
    return not m["skipped"] and m["answered"] >= 0.995 * m["sent"] \
        and m["p99"] < 100


def run(log_lines, out):
    rows = []
    with fleet.Fleet(cluster="path", log_lines=log_lines) as f:
        start(f, log_lines)
        idle = idle_connection_kb(f)
        for rate in RATES:
            direct = measure(f, rate, True)
            through = measure(f, rate, False)
            row = dict(rate=rate, log_lines=log_lines,
                       kept_up=int(kept_up(through)),
                       direct_kept_up=int(kept_up(direct)))
            for q in ("p50", "p99", "p999"):
                row["direct_" + q] = direct[q]
                row["added_" + q] = through[q] - direct[q]
            row["entry_us"] = through["entry_us"]
            row["exit_us"] = through["exit_us"]
            row["max_rps"] = through["answered"] / SECONDS
            rows.append(row)
            text = " ".join("%s=%.3f" % item for item in row.items())
            print(text, flush=True)
            out.write("path " + text + "\n")
            if not row["kept_up"]:
                break
        rss = fleet.rss_kb(f.nodes["entry"].popen.pid)
    print("idle_connection_kb=%.2f entry_rss_kb=%d" % (idle, rss))
    out.write("idle log_lines=%d connection_kb=%.3f rss_kb=%d\n" % (
        log_lines, idle, rss))
    return rows


def main():
    os.makedirs(os.path.join(fleet.ROOT, "out"), exist_ok=True)
    with open(os.path.join(fleet.ROOT, "out", "path.txt"), "w") as out:
        rows = run(1000000, out)
        quiet = run(0, out)
    held = [r for r in rows if r["kept_up"]]
    shown = next(r for r in held if r["rate"] == 1000)
    silent = next(r for r in quiet if r["rate"] == 1000)
    cpu = shown["entry_us"] + shown["exit_us"]
    log_share = 1 - (silent["entry_us"] + silent["exit_us"]) / cpu
    print("log: share_of_path_cpu=%.3f" % log_share)
    print("path: added_p50_ms=%.3f added_p99_ms=%.3f max_rps=%.0f "
          "cpu_us_per_request=%.1f" % (
              shown["added_p50"], shown["added_p99"],
              max(r["max_rps"] for r in held), cpu))
    return 0


if __name__ == "__main__":
    sys.exit(main())
