"""Measures how long configuration changes and changes of backend servers take
to reach all nodes of a loopback fleet, and the cost of an idle node. Writes
out/fleet.txt and extrapolates to full size with the output of bench_scale."""

import json
import os
import subprocess
import sys
import threading
import time
import urllib.request

import capacity
import fleet

SIZES = [int(n) for n in sys.argv[1].split(",")] if len(sys.argv) > 1 \
    else [10, 30, 100, 200]
DATA_CENTRES = 4
CONFIG_CHANGES = 5
IDLE_SECONDS = 10
CONFIG = "[fleet]\nname = bench-%d\n[service s]\nfloor = 50%%\n" \
         "[route r]\npath = /\nservice = s\n"


class Announcer(threading.Thread):
    """Announces one simulated backend server per node."""

    def __init__(self, f):
        super().__init__(daemon=True)
        self.f = f
        self.draining = set()
        self.suspended = set()
        self.stop = False

    def announce(self, name):
        port = self.f.nodes[name].address("admin_port")
        fleet.post(port, "/announce", {
            "name": "w", "service": "s", "port": 1, "slots": 6, "busy": 0,
            "boot": 1, "draining": 1 if name in self.draining else 0})

    def run(self):
        while not self.stop:
            start_time = time.monotonic()
            for name in list(self.f.nodes):
                if name not in self.suspended and not self.stop:
                    self.announce(name)
            time.sleep(max(0.0, 2.5 - (time.monotonic() - start_time)))


def log_seconds_of_day(line):
    """Returns the time of a glog line."""
    timestamp = line.split()[1]
    hours, minutes, seconds = timestamp.split(":")
    return 3600 * int(hours) + 60 * int(minutes) + float(seconds)


def first_log_times(f, text, excluded=()):
    """Returns when each node first logged a line with a text, or None."""
    times = {}
    for name, node in f.nodes.items():
        if name in excluded:
            continue
        times[name] = None
        with open(node.log) as lines:
            for line in lines:
                if text in line:
                    times[name] = log_seconds_of_day(line)
                    break
    return times


def seconds_of_day():
    now = time.time()
    utc = time.gmtime(now)
    return 3600 * utc.tm_hour + 60 * utc.tm_min + utc.tm_sec + now % 1


def wait_logged(f, text, excluded=(), timeout=30):
    f.wait(text + " everywhere", lambda: all(
        t is not None
        for t in first_log_times(f, text, excluded).values()), timeout)
    return list(first_log_times(f, text, excluded).values())


def start_fleet(f, count):
    f.start_platform()
    f.start_node("n0", "c0")  # seed of the others
    for first in range(1, count, 20):
        nodes = [f.launch_node("n%d" % n, "c%d" % (n % DATA_CENTRES))
                 for n in range(first, min(first + 20, count))]
        for n in nodes:
            n.wait_ready(60)
    f.wait("members", lambda: all(
        len(f.ask(n, {"query": "fleet"})["nodes"]) == count
        for n in f.nodes), 60)


def measure_config(f):
    delays = []
    for _ in range(CONFIG_CHANGES):
        version = f.submit_text(CONFIG % len(delays))
        accepted = seconds_of_day()
        times = wait_logged(f, "config_in_force version-%d " % version)
        delays += [max(0.0, t - accepted) for t in times]
        time.sleep(0.37)
    return sorted(delays)


def worker_of(f, name):
    return f.ask(name, {"query": "status"})["workers"][0]["worker"]


def measure_drain(f, announcer, name):
    worker = worker_of(f, name)
    announcer.draining.add(name)
    start_time = seconds_of_day()
    announcer.announce(name)
    times = wait_logged(f, "worker_draining " + worker, (name,))
    return max(t - start_time for t in times)


def measure_announce(f, announcer, name):
    announcer.suspended.discard(name)
    start_time = seconds_of_day()
    announcer.announce(name)
    worker = worker_of(f, name)
    times = wait_logged(f, "worker_announced " + worker, (name,))
    return max(t - start_time for t in times)


def measure_node_death(f, announcer, name):
    announcer.suspended.add(name)
    start_time = seconds_of_day()
    f.nodes[name].stop(9)
    times = wait_logged(f, "node_dead " + name + " ", (name,), 60)
    del f.nodes[name]
    return max(t - start_time for t in times)


def datagram_bytes(node):
    with urllib.request.urlopen("http://" + node.address("admin_port") +
                                "/metrics", timeout=5) as response:
        text = response.read().decode()
    return sum(float(line.split()[1]) for line in text.splitlines()
               if line.startswith("jasminetray_datagram_bytes_total{"))


def measure_idle(f):
    nodes = list(f.nodes.values())
    before = [(fleet.cpu_seconds(n.popen.pid), datagram_bytes(n))
              for n in nodes]
    start_time = time.monotonic()
    time.sleep(IDLE_SECONDS)
    elapsed = time.monotonic() - start_time
    after = [(fleet.cpu_seconds(n.popen.pid), datagram_bytes(n))
             for n in nodes]
    cpu = [100 * (a[0] - b[0]) / elapsed for a, b in zip(after, before)]
    byte_rate = [(a[1] - b[1]) / elapsed for a, b in zip(after, before)]
    return (sum(cpu) / len(cpu), sum(byte_rate) / len(byte_rate),
            sum(fleet.rss_kb(n.popen.pid) / 1024 for n in nodes) / len(nodes))


def run(count):
    with fleet.Fleet(cluster="bench-%d" % count) as f:
        start_fleet(f, count)
        announcer = Announcer(f)
        announcer.suspended.add("n1")
        announcer.start()
        f.wait_config(f.submit_text(CONFIG % 999), 60)
        time.sleep(6)
        row = {"nodes": count}
        delays = measure_config(f)
        row["config_p50_s"] = delays[len(delays) // 2]
        row["config_p99_s"] = delays[int(0.99 * (len(delays) - 1))]
        row["config_max_s"] = delays[-1]
        row["new_known_max_s"] = measure_announce(f, announcer, "n1")
        row["drain_known_max_s"] = measure_drain(f, announcer, "n2")
        row["cpu_pct"], row["bytes_per_s"], row["rss_mb"] = measure_idle(f)
        row["dead_known_max_s"] = measure_node_death(f, announcer, "n3")
        announcer.stop = True
        announcer.join()
        return row


def main():
    os.makedirs(os.path.join(fleet.ROOT, "out"), exist_ok=True)
    scale = subprocess.run([fleet.BUILD + "/bench_scale"], check=True,
                           capture_output=True, text=True).stdout
    with open(os.path.join(fleet.ROOT, "out", "scale.txt"), "w") as out:
        out.write(scale)
    rows = []
    with open(os.path.join(fleet.ROOT, "out", "fleet.txt"), "w") as out:
        for count in SIZES:
            rows.append(run(count))
            text = "fleet " + json.dumps(rows[-1])
            print(text, flush=True)
            out.write(text + "\n")
    last = rows[-1]
    projected_bytes, cpu, rss = capacity.control_cost(
        scale.splitlines(), last)
    print("fleet: nodes=%d config_max_s=%.2f drain_known_max_s=%.2f "
          "bytes_per_s=%.0f cpu_pct=%.2f rss_mb=%.1f "
          "projected_bytes_per_s_3700=%.0f projected_cpu_pct_3700=%.2f "
          "projected_rss_mb_3700=%.1f" % (
              last["nodes"], last["config_max_s"], last["drain_known_max_s"],
              last["bytes_per_s"], last["cpu_pct"], last["rss_mb"],
              projected_bytes, cpu, rss))
    return 0


if __name__ == "__main__":
    sys.exit(main())
