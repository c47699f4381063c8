"""Compares two trees on the same sites, days and seeds: paired differences
with medians and bootstrap intervals, as a table, a JSON file and a plot.

Usage: compare.py --bench PROGRAM --a TREE --b TREE --site FILE... --day DAY...
       [--seeds N] [--jobs N] [--full] [--why TEXT] [--out PREFIX]
"""

import argparse
import concurrent.futures
import json
import os
import random
import re
import statistics
import subprocess
import sys

ROW = re.compile(r"^(\S+)\s+\d+/\d+\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)\s+(\S+)"
                 r"\s+(.*)$")
SNAPSHOT = re.compile(r"^snapshot (\w+)", re.M)
BOOTSTRAP_SAMPLES = 2000


def run_day(bench, tree, site, day, seed, full, why):
    """Runs one day; returns worth, served share, broken rules and entry."""
    command = [bench, "run", site, day, "--no-cpu", "--why", why, "--jobs",
               "1"]
    if seed:
        command += ["--seed", str(seed)]
    if not full:
        command.append("--small")
    run = subprocess.run(command, cwd=tree, capture_output=True, text=True)
    for line in run.stdout.splitlines():
        match = ROW.match(line)
        if match and match.group(1) != "day":
            entry = SNAPSHOT.search(run.stdout)
            return {"worth": float(match.group(3)),
                    "served": float(match.group(4)),
                    "broken": match.group(7).partition("BROKEN: ")[2],
                    "entry": entry.group(1) if entry else ""}
    return {"error": (run.stdout + run.stderr)[-400:]}


def interval(differences):
    """Returns the 0.9 bootstrap interval of the mean."""
    rng = random.Random(1)
    means = sorted(statistics.mean(rng.choices(differences,
                                               k=len(differences)))
                   for _ in range(BOOTSTRAP_SAMPLES))
    return means[BOOTSTRAP_SAMPLES // 20], means[-BOOTSTRAP_SAMPLES // 20]


def make_row(name, pairs):
    differences = [b["worth"] - a["worth"] for a, b in pairs]
    low, high = interval(differences)
    mean = statistics.mean
    return {"name": name, "pairs": len(differences),
            "a": mean(a["worth"] for a, _ in pairs),
            "b": mean(b["worth"] for _, b in pairs),
            "served_a": mean(a["served"] for a, _ in pairs),
            "served_b": mean(b["served"] for _, b in pairs),
            "mean": mean(differences),
            "median": statistics.median(differences),
            "low": low, "high": high,
            "broken_a": [a["broken"] for a, _ in pairs if a["broken"]],
            "broken_b": [b["broken"] for _, b in pairs if b["broken"]]}


def plot(rows, path):
    """Draws the interval of each row as a line and its mean as a dot."""
    scale, middle, step = 1200, 420, 24
    out = ['<svg xmlns="http://www.w3.org/2000/svg" width="760" height="%d" '
           'font-family="sans-serif" font-size="12">' %
           (step * (len(rows) + 2)),
           '<line x1="%d" x2="%d" y1="0" y2="%d" stroke="#999"/>' %
           (middle, middle, step * (len(rows) + 1))]
    for n, r in enumerate(rows, 1):
        y = step * n
        out.append('<text x="4" y="%d">%s</text>' % (y + 4, r["name"]))
        out.append('<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#36c" '
                   'stroke-width="3"/>' % (middle + scale * r["low"],
                                           middle + scale * r["high"], y, y))
        out.append('<circle cx="%.1f" cy="%d" r="4" fill="#036"/>' %
                   (middle + scale * r["mean"], y))
        out.append('<text x="690" y="%d">%+.3f</text>' % (y + 4, r["mean"]))
    out.append("</svg>")
    with open(path, "w") as f:
        f.write("\n".join(out) + "\n")


def print_table(rows):
    print("| days | pairs | a | b | mean b-a | median | 0.9 interval | "
          "served a, b | broken a, b |\n|---|---|---|---|---|---|---|---|---|")
    for r in rows:
        print("| %s | %d | %.3f | %.3f | %+.3f | %+.3f | %+.3f to %+.3f | "
              "%.3f, %.3f | %d, %d |" % (
                  r["name"], r["pairs"], r["a"], r["b"], r["mean"],
                  r["median"], r["low"], r["high"], r["served_a"],
                  r["served_b"], len(r["broken_a"]), len(r["broken_b"])))


def main():
    parser = argparse.ArgumentParser()
    for name in ("--bench", "--a", "--b"):
        parser.add_argument(name, required=True)
    parser.add_argument("--site", nargs="+", required=True)
    parser.add_argument("--day", nargs="+", required=True)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--why", default="trial: two ways compared")
    parser.add_argument("--out", default="out/compare")
    args = parser.parse_args()
    for tree in {args.a, args.b}:
        subprocess.run([args.bench, "build"], cwd=tree, check=True,
                       stdout=subprocess.DEVNULL)
    # Seed 0 stands for the seed of the day file.
    jobs = [(site, day, seed) for site in args.site for day in args.day
            for seed in range(args.seeds)]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        submitted = [(j, [pool.submit(run_day, args.bench, tree, *j, args.full,
                                      args.why + " (" + side + ")")
                          for side, tree in (("a", args.a), ("b", args.b))])
                     for j in jobs]
        done = [(j, [f.result() for f in pair]) for j, pair in submitted]
    rows, failed, by_site = [], 0, {}
    for j, pair in done:
        if any("error" in r for r in pair):
            failed += 1
            print("not played: %s: %s" % (j, pair), file=sys.stderr)
            continue
        site = os.path.basename(j[0]).replace(".toml", "")
        by_site.setdefault(site, {}).setdefault(j[1], []).append(pair)
    for site, days in by_site.items():
        rows += [make_row(site + " " + day, pairs)
                 for day, pairs in days.items()]
        rows.append(make_row(site + " all", sum(days.values(), [])))
    if by_site:
        rows.append(make_row("all", [pair for days in by_site.values()
                                     for pairs in days.values()
                                     for pair in pairs]))
    os.makedirs(os.path.dirname(args.out) or ".", exist_ok=True)
    with open(args.out + ".json", "w") as f:
        json.dump({"a": args.a, "b": args.b, "why": args.why, "rows": rows,
                   "played": [{"day": j, "a": pair[0], "b": pair[1]}
                              for j, pair in done]}, f, indent=1)
    plot(rows, args.out + ".svg")
    print_table(rows)
    print("compare: pairs=%d not_played=%d" % (len(done) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
