"""Recomputes docs/CAPACITY.md from the benches' output. The figures come from
out/ when a bench was run here, else from docs/measurements/, which keeps the
output of the last run. `--check` only compares, for the tests."""

import json
import os
import shutil
import sys

import fleet

OUT = os.path.join(fleet.ROOT, "out")
KEPT = os.path.join(fleet.ROOT, "docs", "measurements")
TEMPLATE = os.path.join(fleet.ROOT, "tools", "capacity_page.md")
PAGE = os.path.join(fleet.ROOT, "docs", "CAPACITY.md")
FILES = ("path.txt", "scale.txt", "fleet.txt")

NODES = 3700
WORKERS = 47000
SERVICES = 1600
REQUESTS = 870000
CHANGES_A_DAY = 2900
DAY = 86400.0
STARTS_A_DAY = 85 + 3400
CENTRES = 16
KEEP_S = 35  # seconds that the gate remembers an attempt
ONCE_SHARE = 0.3  # of requests that must not run twice, as in the benches


def read_lines(name):
    with open(os.path.join(KEPT, name)) as lines:
        return lines.read().splitlines()


def pick(lines, *words):
    """Numbers of the first line that has all words."""
    for line in lines:
        if all(w in line.split() or line.startswith(w) for w in words):
            return fleet.numbers(line)
    raise KeyError(words)


def slope(points):
    """Least-squares slope and intercept."""
    n = float(len(points))
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    under = sum((x - mean_x) ** 2 for x, _ in points)
    return over / under, mean_y - over / under * mean_x


def control_cost(scale, rest):
    """Bytes a second, per cent of a core and MB of a node's control at full
    size: what a real node costs at rest, and on top the core's own cost with
    the full state.

    scale: lines of bench_scale; rest: a row of bench_fleet."""
    member = pick(scale, "member nodes=%d" % NODES, "changes_per_s=2")
    config = pick(scale, "config", "teams=330000")
    view = pick(scale, "view nodes=%d" % NODES)
    changes = CHANGES_A_DAY / DAY
    return (member["bytes_out_per_s"] + member["bytes_in_per_s"] +
            2 * 1000 * config["edit_kb"] * changes,
            rest["cpu_pct"] + member["cpu_pct"] +
            100 * config["build_s"] * changes +
            100 * view["apply_all_ms"] / 1000,
            rest["rss_mb"] + member["table_mb"] + view["heap_mb"] +
            2 * config["heap_mb"] + 2 * config["text_mb"])


def figures():
    path = read_lines("path.txt")
    scale = read_lines("scale.txt")
    nodes = [json.loads(x.split(" ", 1)[1]) for x in read_lines("fleet.txt")]
    rows = [fleet.numbers(x) for x in path if x.startswith("path ")]
    held = [r for r in rows if r["kept_up"] and r["log_lines"] > 0]
    low = next(r for r in held if r["rate"] == 300)
    mid = next(r for r in held if r["rate"] == 1000)
    quiet = next(r for r in rows if r["log_lines"] == 0 and r["rate"] == 1000)
    member = pick(scale, "member nodes=3700", "changes_per_s=2")
    calm = pick(scale, "member nodes=3700", "changes_per_s=0")
    small = pick(scale, "member nodes=1000", "changes_per_s=2")
    config = pick(scale, "config", "teams=330000")
    view = pick(scale, "view nodes=3700")
    gate = pick(scale, "gate records=100000")
    rest = nodes[-1]
    per_node = REQUESTS / NODES
    workers = WORKERS / NODES
    config_s = CHANGES_A_DAY / DAY
    path_pct = per_node * (low["entry_us"] + low["exit_us"]) / 1e4
    control_bytes, control_cpu, control_mb = control_cost(scale, rest)
    rss = slope([(r["nodes"], r["rss_mb"]) for r in nodes])
    table = slope([(m, pick(scale, "member nodes=%d" % m,
                            "changes_per_s=2")["table_mb"])
                   for m in (100, 300, 1000, 3700)])
    per_change = (pick(scale, "member nodes=3700", "changes_per_s=4")
                  ["bytes_out_per_s"] - calm["bytes_out_per_s"]) / 4
    records = per_node * ONCE_SHARE * KEEP_S
    return {
        "per_node_rps": "%.0f" % per_node,
        "workers_per_node": "%.1f" % workers,
        "entry_us": "%.0f" % low["entry_us"],
        "exit_us": "%.0f" % low["exit_us"],
        "path_pct": "%.1f" % path_pct,
        "added_p50": "%.2f" % mid["added_p50"],
        "added_p99": "%.2f" % mid["added_p99"],
        "added_p999": "%.2f" % mid["added_p999"],
        "added_p99_5k": "%.2f" % next(
            r["added_p99"] for r in held if r["rate"] == 5000),
        "max_rps": "%.0f" % max(r["max_rps"] for r in held),
        "log_share": "%.1f" % (100 - 100 * (
            quiet["entry_us"] + quiet["exit_us"]) /
            (mid["entry_us"] + mid["exit_us"])),
        "idle_kb": "%.1f" % pick(path, "idle")["connection_kb"],
        "gate_bytes": "%.0f" % gate["bytes_per_record"],
        "gate_records": "%.0f" % records,
        "gate_mb": "%.2f" % (records * gate["bytes_per_record"] / 1e6),
        "gate_us": "%.2f" % gate["us_per_request"],
        "health_kb": "%.1f" % ((gate["health_bytes"] +
                                CENTRES * gate["stream_bytes"]) / 1e3),
        "health_mb": "%.2f" % (workers * (
            gate["health_bytes"] + CENTRES * gate["stream_bytes"]) / 1e6),
        "member_out": "%.0f" % member["bytes_out_per_s"],
        "member_in": "%.0f" % member["bytes_in_per_s"],
        "member_calm": "%.0f" % (calm["bytes_out_per_s"] +
                                 calm["bytes_in_per_s"]),
        "member_per_change": "%.0f" % per_change,
        "member_cpu": "%.2f" % member["cpu_pct"],
        "member_cpu_1000": "%.2f" % small["cpu_pct"],
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
        "config_cpu": "%.2f" % (100 * config["build_s"] * config_s),
        "config_bytes": "%.0f" % (1000 * config["edit_kb"] * config_s),
        "config_copy_bytes": "%.0f" % (
            1e6 * config["text_mb"] * STARTS_A_DAY / NODES / DAY),
        "polls": "%d" % (2 * CENTRES),
        "rest_nodes": "%d" % rest["nodes"],
        "rest_cpu": "%.2f" % rest["cpu_pct"],
        "rest_rss": "%.1f" % rest["rss_mb"],
        "rest_bytes": "%.0f" % rest["bytes_per_s"],
        "rss_slope": "%.1f" % (1000 * rss[0]),
        "config_p50": "%.2f" % rest["config_p50_s"],
        "config_p99": "%.2f" % rest["config_p99_s"],
        "config_max": "%.2f" % rest["config_max_s"],
        "drain_max": "%.2f" % rest["drain_known_max_s"],
        "new_max": "%.2f" % rest["new_known_max_s"],
        "dead_max": "%.1f" % rest["dead_known_max_s"],
        "fleet_rows": "\n".join(
            "| %d | %.2f | %.2f | %.2f | %.2f | %.1f | %.0f | %.2f | %.1f |" %
            (r["nodes"], r["config_p50_s"], r["config_max_s"],
             r["new_known_max_s"], r["drain_known_max_s"],
             r["dead_known_max_s"], r["bytes_per_s"], r["cpu_pct"],
             r["rss_mb"]) for r in nodes),
        "path_rows": "\n".join(
            "| %.0f | %s | %.2f | %.2f | %.2f | %.0f | %.0f |" %
            (r["rate"], "yes" if r["kept_up"] else "no", r["added_p50"],
             r["added_p99"], r["added_p999"], r["entry_us"], r["exit_us"])
            for r in rows if r["log_lines"] > 0),
        "control_cpu": "%.2f" % control_cpu,
        "control_bytes": "%.0f" % control_bytes,
        "control_mb": "%.0f" % control_mb,
        "starts_per_s": "%.2f" % (STARTS_A_DAY / DAY),
        "news_per_s": "%.1f" % ((STARTS_A_DAY * 8 + 3 * WORKERS) / DAY),
        "rack_records": "40",
        "rack_kb": "%.0f" % (40 * 4 * per_change / 4 / 1e3),
        "centre_nodes": "%d" % (NODES / CENTRES),
    }


def main():
    check = "--check" in sys.argv
    os.makedirs(KEPT, exist_ok=True)
    for name in FILES:
        made = os.path.join(OUT, name)
        if os.path.exists(made) and not check:
            shutil.copyfile(made, os.path.join(KEPT, name))
    with open(TEMPLATE) as template:
        page = template.read()
    for key, value in figures().items():
        page = page.replace("{%s}" % key, value)
    roles = [x for x in page.splitlines() if x.startswith("## Role: ")]
    unmeasured = page.count("| not measured |") + \
        page.count("(not measured)")
    measured = page.count("| measured |")
    if check:
        with open(PAGE) as kept:
            if kept.read() != page:
                print("docs/CAPACITY.md differs from its figures")
                return 1
    else:
        with open(PAGE, "w") as out:
            out.write(page)
    print("capacity: roles=%d measured=%d unmeasured=%d" % (
        len(roles), measured, unmeasured))
    return 0


if __name__ == "__main__":
    sys.exit(main())
