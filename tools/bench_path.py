"""Measures the latency, CPU and memory that entry and exit nodes add over
direct requests to the same backend servers. Writes out/path.txt for the
capacity page."""

import os
import socket
import sys
import time

import fleet

RATES = (300, 1000, 5000, 10000, 20000)
SECONDS = 4
BACKENDS = 4
IDLE_CONNECTIONS = 2000
CONFIG = """[fleet]
name = path
[service work]
floor = 50%
[route work]
path = /work
service = work
"""


def start_fleet(f, log_lines):
    f.start_platform()
    settings = ["log.lines_per_second=%d" % log_lines,
                "limits.most_in_flight=20000",
                "limits.service_in_flight=20000"]
    f.start_node("entry", "a", extra=settings)
    f.start_node("exit", "a", extra=settings)
    version = f.submit_text(CONFIG)
    for n in range(BACKENDS):
        f.start_backend("w%d" % n, "work", "exit", slots=1000, seed=n + 1,
                        work_ms=2, work_spread=0.05, runs_file="")
    f.wait_config(version)
    f.wait_workers("work", BACKENDS)
    time.sleep(11)  # until the cold start of the backend servers ends


def measure(f, rate, direct):
    """Runs load against the backend servers directly or through the nodes."""
    run_args = dict(rate=rate, seconds=SECONDS, paths="/work/x",
                    non_idempotent=0.3, max_open=5000)
    pids = [f.nodes[n].popen.pid for n in ("entry", "exit")]
    before = [fleet.cpu_seconds(p) for p in pids]
    if direct:
        _, out = f.run_load((), wait=True, targets=",".join(
            b.address() for b in f.backends.values()), **run_args)
    else:
        _, out = f.run_load(("entry",), wait=True, **run_args)
    cpu_used = [fleet.cpu_seconds(p) - b for p, b in zip(pids, before)]
    lines = out.strip().splitlines()
    times = fleet.parse_fields(
        [x for x in lines if x.startswith("answered_ms")][0])
    totals = fleet.parse_fields(lines[-1])
    times.update(answered=totals["answered"], sent=totals["sent"],
                 skipped=any(x.startswith("skipped") for x in lines),
                 entry_us=1e6 * cpu_used[0] / max(1, totals["answered"]),
                 exit_us=1e6 * cpu_used[1] / max(1, totals["answered"]))
    return times


def idle_connection_kb(f):
    """Returns the memory of one idle caller connection after a request."""
    node = f.nodes["entry"]
    before = fleet.rss_kb(node.popen.pid)
    connections = []
    for _ in range(IDLE_CONNECTIONS):
        s = socket.create_connection(("127.0.0.1", node.ports["entry_port"]))
        s.sendall(b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n")
        s.recv(4096)
        connections.append(s)
    after = fleet.rss_kb(node.popen.pid)
    for s in connections:
        s.close()
    return (after - before) / IDLE_CONNECTIONS


def kept_up(result):
    return not result["skipped"] \
        and result["answered"] >= 0.995 * result["sent"] \
        and result["p99"] < 100


def run(log_lines, out):
    rows = []
    with fleet.Fleet(cluster="path", log_lines=log_lines) as f:
        start_fleet(f, log_lines)
        idle = idle_connection_kb(f)
        for rate in RATES:
            direct = measure(f, rate, True)
            proxied = measure(f, rate, False)
            row = dict(rate=rate, log_lines=log_lines,
                       kept_up=int(kept_up(proxied)),
                       direct_kept_up=int(kept_up(direct)))
            for q in ("p50", "p99", "p999"):
                row["direct_" + q] = direct[q]
                row["added_" + q] = proxied[q] - direct[q]
            row["entry_us"] = proxied["entry_us"]
            row["exit_us"] = proxied["exit_us"]
            row["max_rps"] = proxied["answered"] / SECONDS
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
        rows_without_log = run(0, out)
    sustained = [r for r in rows if r["kept_up"]]
    with_log = next(r for r in sustained if r["rate"] == 1000)
    without_log = next(r for r in rows_without_log if r["rate"] == 1000)
    cpu = with_log["entry_us"] + with_log["exit_us"]
    log_share = 1 - (without_log["entry_us"] + without_log["exit_us"]) / cpu
    print("log: share_of_path_cpu=%.3f" % log_share)
    print("path: added_p50_ms=%.3f added_p99_ms=%.3f max_rps=%.0f "
          "cpu_us_per_request=%.1f" % (
              with_log["added_p50"], with_log["added_p99"],
              max(r["max_rps"] for r in sustained), cpu))
    return 0


if __name__ == "__main__":
    sys.exit(main())
