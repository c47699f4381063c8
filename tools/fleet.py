"""Starts a small fleet on loopback for the demo, fault runs and benches."""

import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("JASMINETRAY_BUILD",
                       os.path.join(ROOT, "build", "release"))
KEY = "loopback-demo-key-0123456789"
TOKEN = "loopback-demo-token"


def binary(name):
    return os.path.join(BUILD, "jasminetray-" + name)


class Process:
    """Process that writes the ports it has bound to its ready file."""

    def __init__(self, directory, name, args):
        self.name = name
        self.ready = os.path.join(directory, name + ".ready")
        self.log = os.path.join(directory, name + ".log")
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(args, stdout=log, stderr=log)
        self.ports = {}

    def wait_ready(self, timeout=20.0):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if os.path.exists(self.ready):
                with open(self.ready) as lines:
                    for line in lines:
                        key, value = line.split("=")
                        self.ports[key.strip()] = int(value)
                return self
            if self.popen.poll() is not None:
                raise RuntimeError(self.name + " ended: see " + self.log)
            time.sleep(0.02)
        raise RuntimeError(self.name + " is not ready: see " + self.log)

    def address(self, port="port"):
        return "127.0.0.1:%d" % self.ports[port]

    def send(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def stop(self, number=signal.SIGTERM, timeout=10.0):
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
        return self.popen.returncode


class Fleet:
    """Platform, nodes and backend servers of one loopback fleet."""

    def __init__(self, cluster="demo", log_lines=20000):
        self.directory = tempfile.mkdtemp(prefix="jasminetray-")
        self.cluster = cluster
        self.log_lines = log_lines
        self.platform = None
        self.nodes = {}
        self.backends = {}
        self.generation = 0

    def start_platform(self):
        name = "platform"
        self.platform = Process(self.directory, name, [
            binary("platform"),
            "--ready_file=" + os.path.join(self.directory, name + ".ready")])
        self.platform.wait_ready()
        return self.platform

    def seeds(self):
        """Returns the gossip addresses of up to four ready nodes."""
        alive = [n for n in self.nodes.values() if n.ports]
        return ",".join(n.address("gossip_port") for n in alive[:4])

    def launch_node(self, name, centre, extra=(), flags=(), seeded=True):
        """Starts a node without waiting for readiness."""
        self.generation += 1
        ready = os.path.join(self.directory, name + ".ready")
        if os.path.exists(ready):
            os.remove(ready)
        sets = ["node.name=" + name, "node.data_centre=" + centre,
                "node.ready_file=" + ready, "cluster.name=" + self.cluster,
                "cluster.key=" + KEY, "admin.token=" + TOKEN,
                "log.lines_per_second=%d" % self.log_lines]
        if self.platform:
            sets.append("platform.address=" + self.platform.address())
        if seeded and self.seeds():
            sets.append("cluster.seeds=" + self.seeds())
        sets.extend(extra)
        node = Process(self.directory, name, [
            binary("node"), "--logtostderr", "--set=" + ";".join(sets),
            *flags])
        self.nodes[name] = node
        return node

    def start_node(self, name, centre, extra=(), flags=()):
        return self.launch_node(name, centre, extra, flags).wait_ready()

    def start_backend(self, name, service, node, slots=6, **flags):
        ready = os.path.join(self.directory, name + ".ready")
        if os.path.exists(ready):
            os.remove(ready)
        args = [binary("backend"), "--name=" + name, "--service=" + service,
                "--slots=%d" % slots, "--ready_file=" + ready,
                "--runs_file=" + flags.pop("runs_file",
                                           self.runs_file(name)),
                "--node=" + self.nodes[node].address("admin_port")]
        args += ["--%s=%s" % item for item in flags.items()]
        self.backends[name] = Process(self.directory, name, args).wait_ready()
        return self.backends[name]

    def runs_file(self, name):
        return os.path.join(self.directory, name + ".runs")

    def ctl(self, *words, check=False):
        """Runs jasminetray-ctl; returns (exit code, output)."""
        result = subprocess.run([binary("ctl"), *words], capture_output=True,
                                text=True, timeout=120)
        if check and result.returncode != 0:
            raise RuntimeError("ctl %s: %s%s" % (
                " ".join(words), result.stdout, result.stderr))
        return result.returncode, result.stdout + result.stderr

    def ask(self, node, query):
        """Queries a node's administration API; returns the parsed response."""
        return post(self.nodes[node].address("admin_port"), "/api", query)

    def submit(self, directory):
        code, out = self.ctl("config", "submit", directory,
                             "--platform=" + self.platform.address())
        if code != 0:
            raise RuntimeError(out)
        return int(out.split("version=")[1].split()[0])

    def submit_text(self, base):
        directory = tempfile.mkdtemp(prefix="jasminetray-config-")
        with open(directory + "/base.ini", "w") as out:
            out.write(base)
        return self.submit(directory)

    def wait(self, what, condition, timeout=20.0):
        """Waits until a condition holds; raises an error at the timeout."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise RuntimeError("not within %.0f s: %s" % (timeout, what))

    def wait_config(self, version, timeout=20.0):
        self.wait("configuration %d everywhere" % version, lambda: all(
            self.ask(n, {"query": "status"})["config_version"] >= version
            for n in self.nodes), timeout)

    def wait_workers(self, service, count, timeout=20.0):
        def alive_workers(node):
            response = self.ask(node, {"query": "service", "name": service})
            return sum(w["alive"] for w in response.get("workers", []))
        self.wait("%d backend servers of %s everywhere" % (count, service),
                  lambda: all(alive_workers(n) == count for n in self.nodes),
                  timeout)

    def set_backend_mode(self, backend, **mode):
        post(self.backends[backend].address(), "/mode", mode)

    def set_platform_fault(self, **fault):
        post(self.platform.address(), "/fault", fault)

    def run_load(self, entries, wait=True, **flags):
        """Runs jasminetray-load; returns (exit code, output), or the process
        if `wait` is false."""
        args = [binary("load"),
                "--entries=" + flags.pop("targets", ",".join(
                    self.nodes[n].address("entry_port") for n in entries)),
                "--runs_files=" + ",".join(
                    self.runs_file(b) for b in self.backends)]
        args += ["--%s=%s" % item for item in flags.items()]
        run = subprocess.Popen(args, stdout=subprocess.PIPE, text=True)
        if not wait:
            return run
        out = run.communicate(timeout=300)[0]
        return run.returncode, out

    def stop(self):
        for p in [*self.backends.values(), *self.nodes.values()]:
            p.send(signal.SIGCONT)
            if p.popen.poll() is None:
                p.popen.kill()
        for p in [*self.backends.values(), *self.nodes.values()]:
            p.popen.wait()
        if self.platform:
            self.platform.stop()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


def post(address, target, body, timeout=5.0):
    """POSTs JSON; returns the parsed response, {} if it is empty."""
    request = urllib.request.Request(
        "http://" + address + target, data=json.dumps(body).encode(),
        headers={"Authorization": "Bearer " + TOKEN})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            text = response.read().decode()
    except urllib.error.HTTPError as error:
        text = error.read().decode()
    return json.loads(text) if text.strip() else {}


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def rss_kb(pid):
    with open("/proc/%d/status" % pid) as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def last_line(text):
    return text.strip().splitlines()[-1]


def parse_fields(line):
    """Parses 'word: a=1 b=2' into a dictionary of numbers."""
    fields = {}
    for part in line.split():
        if "=" in part:
            key, value = part.split("=", 1)
            fields[key] = float(value)
    return fields
