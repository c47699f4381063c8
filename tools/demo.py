"""Runs load on a small fleet with one failing backend server and prints the
decisions taken. Exits non-zero if a check fails or a record is missing."""

import json
import sys
import time

import fleet

DATA_CENTRES = ("fukuoka", "kumamoto", "kagoshima")
SERVICES = ("billing", "dispatch", "standing-orders")
PATHS = "/billing/charge,/dispatch/pouch,/orders/standing"
SECONDS = 8


def start_fleet(f, flags):
    f.start_platform()
    for centre in DATA_CENTRES:
        for n in (1, 2):
            f.start_node("%s-%d" % (centre, n), centre, flags=flags)
    version = f.submit(fleet.ROOT + "/examples/hinoha")
    seed = 0
    for node in list(f.nodes):
        for service in SERVICES:
            seed += 1
            f.start_backend("%s-%s" % (service, node), service, node,
                            seed=seed)
    f.wait_config(version)
    for service in SERVICES:
        f.wait_workers(service, len(f.nodes))
    return version


def explain(f, what, subject, node="fukuoka-1"):
    code, out = f.ctl("explain", what, subject, "--json",
                      "--node=" + f.nodes[node].address("rpc_port"))
    response = json.loads(out.strip().splitlines()[-1])
    return code, response.get("records", [])


def print_records(title, records):
    print(title)
    for r in records[-3:]:
        print("  %d %s %s %s" % (r["event"], r["name"], r["subject"],
                                 r["detail"]))


def find_records(f, what, subject, name):
    found = []
    for node in f.nodes:
        found += [r for r in explain(f, what, subject, node)[1]
                  if r["name"] == name]
    return found


def main():
    flags = sys.argv[1:]
    with fleet.Fleet() as f:
        version = start_fleet(f, flags)
        print("fleet: %d nodes, %d backend servers, configuration %d" %
              (len(f.nodes), len(f.backends), version))
        run = f.run_load(f.nodes, wait=False, rate=200, seconds=SECONDS,
                     paths=PATHS, name="demo")
        time.sleep(SECONDS / 4)
        backend = "billing-fukuoka-1"
        print("%s now fails 80%% of its requests; probes still pass" % backend)
        f.set_backend_mode(backend, mode="fail", share=0.8)
        out = run.communicate(timeout=120)[0]
        request_id = post_unknown_route(f)
        ejected = find_records(f, "ejection", backend, "worker_ejected")
        config = explain(f, "config", "version-%d" % version)[1]
        refusal = explain(f, "refusal", request_id)[1]
        print_records("ejection of %s:" % backend, ejected)
        print_records("configuration:", config)
        print_records("refusal %s:" % request_id, refusal)
        print(out.strip())
        passed = run.returncode == 0 and ejected and config and refusal
        return 0 if passed else 1


def post_unknown_route(f):
    """Sends a request that matches no route; returns the request id."""
    node = f.nodes["kumamoto-1"]
    return fleet.post(node.address("entry_port"), "/nowhere", {})["request"]


if __name__ == "__main__":
    sys.exit(main())
