"""Generates docs/CAPACITY.md from bench output: copies files of out/ to
docs/measurements/ and fills the template with their values. `--check` only
compares the page with docs/measurements/."""

import json
import os
import shutil
import sys

import fleet

OUT = os.path.join(fleet.ROOT, "out")
MEASUREMENTS = os.path.join(fleet.ROOT, "docs", "measurements")
TEMPLATE = os.path.join(fleet.ROOT, "tools", "capacity_page.md")
PAGE = os.path.join(fleet.ROOT, "docs", "CAPACITY.md")
FILES = ("path.txt", "scale.txt", "fleet.txt")

NODES = 3700
WORKERS = 47000
SERVICES = 1600
REQUESTS_PER_S = 870000
CHANGES_PER_DAY = 2900
SECONDS_PER_DAY = 86400.0
STARTS_PER_DAY = 85 + 3400
DATA_CENTRES = 16
GATE_RECORD_S = 35  # retention of an attempt at the gate
NON_IDEMPOTENT_SHARE = 0.3  # of requests


def read_lines(name):
    with open(os.path.join(MEASUREMENTS, name)) as lines:
        return lines.read().splitlines()


def find_row(lines, *words):
    """Returns the fields of the first line that has all words."""
    for line in lines:
        if all(w in line.split() or line.startswith(w) for w in words):
            return fleet.parse_fields(line)
    raise KeyError(words)


def linear_fit(points):
    """Returns the least-squares slope and intercept."""
    n = float(len(points))
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    return covariance / variance, mean_y - covariance / variance * mean_x


def control_cost(scale_lines, idle):
    """Returns the cost of a node's control core at full size, as bytes per
    second, per cent of a core and MB: an idle node plus the full state.

    scale_lines: output of bench_scale; idle: a row of bench_fleet."""
    member = find_row(scale_lines, "member nodes=%d" % NODES,
                      "changes_per_s=2")
    config = find_row(scale_lines, "config", "teams=330000")
    view = find_row(scale_lines, "view nodes=%d" % NODES)
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    return (member["bytes_out_per_s"] + member["bytes_in_per_s"] +
            2 * 1000 * config["edit_kb"] * changes,
            idle["cpu_pct"] + member["cpu_pct"] +
            100 * config["build_s"] * changes +
            100 * view["apply_all_ms"] / 1000,
            idle["rss_mb"] + member["table_mb"] + view["heap_mb"] +
            2 * config["heap_mb"] + 2 * config["text_mb"])


def page_values():
    path_lines = read_lines("path.txt")
    scale_lines = read_lines("scale.txt")
    fleet_rows = [json.loads(x.split(" ", 1)[1])
                  for x in read_lines("fleet.txt")]
    rows = [fleet.parse_fields(x) for x in path_lines if x.startswith("path ")]
    sustained = [r for r in rows if r["kept_up"] and r["log_lines"] > 0]
    at_300 = next(r for r in sustained if r["rate"] == 300)
    at_1000 = next(r for r in sustained if r["rate"] == 1000)
    without_log = next(r for r in rows
                       if r["log_lines"] == 0 and r["rate"] == 1000)
    member = find_row(scale_lines, "member nodes=3700", "changes_per_s=2")
    no_changes = find_row(scale_lines, "member nodes=3700",
                          "changes_per_s=0")
    member_1000 = find_row(scale_lines, "member nodes=1000",
                           "changes_per_s=2")
    config = find_row(scale_lines, "config", "teams=330000")
    view = find_row(scale_lines, "view nodes=3700")
    gate = find_row(scale_lines, "gate records=100000")
    idle = fleet_rows[-1]
    per_node = REQUESTS_PER_S / NODES
    workers_per_node = WORKERS / NODES
    config_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    path_pct = per_node * (at_300["entry_us"] + at_300["exit_us"]) / 1e4
    control_bytes, control_cpu, control_mb = control_cost(scale_lines, idle)
    rss = linear_fit([(r["nodes"], r["rss_mb"]) for r in fleet_rows])
    table = linear_fit([(m, find_row(scale_lines, "member nodes=%d" % m,
                                     "changes_per_s=2")["table_mb"])
                        for m in (100, 300, 1000, 3700)])
    four_changes = find_row(scale_lines, "member nodes=3700",
                            "changes_per_s=4")
    per_change = (four_changes["bytes_out_per_s"] -
                  no_changes["bytes_out_per_s"]) / 4
    records = per_node * NON_IDEMPOTENT_SHARE * GATE_RECORD_S
    return {
        "per_node_rps": "%.0f" % per_node,
        "workers_per_node": "%.1f" % workers_per_node,
        "entry_us": "%.0f" % at_300["entry_us"],
        "exit_us": "%.0f" % at_300["exit_us"],
        "path_pct": "%.1f" % path_pct,
        "added_p50": "%.2f" % at_1000["added_p50"],
        "added_p99": "%.2f" % at_1000["added_p99"],
        "added_p999": "%.2f" % at_1000["added_p999"],
        "added_p99_5k": "%.2f" % next(
            r["added_p99"] for r in sustained if r["rate"] == 5000),
        "max_rps": "%.0f" % max(r["max_rps"] for r in sustained),
        "log_share": "%.1f" % (100 - 100 * (
            without_log["entry_us"] + without_log["exit_us"]) /
            (at_1000["entry_us"] + at_1000["exit_us"])),
        "idle_kb": "%.1f" % find_row(path_lines, "idle")["connection_kb"],
        "gate_bytes": "%.0f" % gate["bytes_per_record"],
        "gate_records": "%.0f" % records,
        "gate_mb": "%.2f" % (records * gate["bytes_per_record"] / 1e6),
        "gate_us": "%.2f" % gate["us_per_request"],
        "health_kb": "%.1f" % ((gate["health_bytes"] +
                                DATA_CENTRES * gate["stream_bytes"]) / 1e3),
        "health_mb": "%.2f" % (workers_per_node * (
            gate["health_bytes"] + DATA_CENTRES * gate["stream_bytes"]) / 1e6),
        "member_out": "%.0f" % member["bytes_out_per_s"],
        "member_in": "%.0f" % member["bytes_in_per_s"],
        "member_calm": "%.0f" % (no_changes["bytes_out_per_s"] +
                                 no_changes["bytes_in_per_s"]),
        "member_per_change": "%.0f" % per_change,
        "member_cpu": "%.2f" % member["cpu_pct"],
        "member_cpu_1000": "%.2f" % member_1000["cpu_pct"],
        "table_mb": "%.1f" % member["table_mb"],
        "table_slope": "%.2f" % (1000 * table[0]),
        "view_mb": "%.1f" % view["heap_mb"],
        "view_ms": "%.2f" % view["apply_all_ms"],
        "view_us": "%.1f" % view["update_us"],
        "config_mb": "%.0f" % config["heap_mb"],
        "config_text": "%.1f" % config["text_mb"],
        "config_chunks": "%.0f" % config["chunks"],
        "config_edit": "%.1f" % config["edit_kb"],
        "config_build": "%.2f" % config["build_s"],
        "config_cpu": "%.2f" % (100 * config["build_s"] * config_per_s),
        "config_bytes": "%.0f" % (1000 * config["edit_kb"] * config_per_s),
        "config_copy_bytes": "%.0f" % (
            1e6 * config["text_mb"] * STARTS_PER_DAY / NODES /
            SECONDS_PER_DAY),
        "polls": "%d" % (2 * DATA_CENTRES),
        "rest_nodes": "%d" % idle["nodes"],
        "rest_cpu": "%.2f" % idle["cpu_pct"],
        "rest_rss": "%.1f" % idle["rss_mb"],
        "rest_bytes": "%.0f" % idle["bytes_per_s"],
        "rss_slope": "%.1f" % (1000 * rss[0]),
        "config_p50": "%.2f" % idle["config_p50_s"],
        "config_p99": "%.2f" % idle["config_p99_s"],
        "config_max": "%.2f" % idle["config_max_s"],
        "drain_max": "%.2f" % idle["drain_known_max_s"],
        "new_max": "%.2f" % idle["new_known_max_s"],
        "dead_max": "%.1f" % idle["dead_known_max_s"],
        "fleet_rows": "\n".join(
            "| %d | %.2f | %.2f | %.2f | %.2f | %.1f | %.0f | %.2f | %.1f |" %
            (r["nodes"], r["config_p50_s"], r["config_max_s"],
             r["new_known_max_s"], r["drain_known_max_s"],
             r["dead_known_max_s"], r["bytes_per_s"], r["cpu_pct"],
             r["rss_mb"]) for r in fleet_rows),
        "path_rows": "\n".join(
            "| %.0f | %s | %.2f | %.2f | %.2f | %.0f | %.0f |" %
            (r["rate"], "yes" if r["kept_up"] else "no", r["added_p50"],
             r["added_p99"], r["added_p999"], r["entry_us"], r["exit_us"])
            for r in rows if r["log_lines"] > 0),
        "control_cpu": "%.2f" % control_cpu,
        "control_bytes": "%.0f" % control_bytes,
        "control_mb": "%.0f" % control_mb,
        "starts_per_s": "%.2f" % (STARTS_PER_DAY / SECONDS_PER_DAY),
        "news_per_s": "%.1f" % (
            (STARTS_PER_DAY * 8 + 3 * WORKERS) / SECONDS_PER_DAY),
        "rack_records": "40",
        "rack_kb": "%.0f" % (40 * 4 * per_change / 4 / 1e3),
        "centre_nodes": "%d" % (NODES / DATA_CENTRES),
    }


def main():
    check = "--check" in sys.argv
    os.makedirs(MEASUREMENTS, exist_ok=True)
    for name in FILES:
        new_output = os.path.join(OUT, name)
        if os.path.exists(new_output) and not check:
            shutil.copyfile(new_output, os.path.join(MEASUREMENTS, name))
    with open(TEMPLATE) as template:
        page = template.read()
    for key, value in page_values().items():
        page = page.replace("{%s}" % key, value)
    roles = [x for x in page.splitlines() if x.startswith("## Role: ")]
    unmeasured = page.count("| not measured |") + \
        page.count("(not measured)")
    measured = page.count("| measured |")
    if check:
        with open(PAGE) as current:
            if current.read() != page:
                print("docs/CAPACITY.md differs from the page generated from "
                      "docs/measurements/")
                return 1
    else:
        with open(PAGE, "w") as out:
            out.write(page)
    print("capacity: roles=%d measured=%d unmeasured=%d" % (
        len(roles), measured, unmeasured))
    return 0


if __name__ == "__main__":
    sys.exit(main())
