"""Compares two trees, or one tree under two settings, on the same days, sites
and seeds: paired differences with medians and bootstrap intervals, a table, a
JSON file and a plot. The measuring program is named on the command line; CI
does not need it.

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
DRAWS = 2000  # of the bootstrap


def play(bench, tree, site, day, seed, full, why):
    """One day; its worth, share served, broken rules and journal entry."""
    command = [bench, "run", site, day, "--no-cpu", "--why", why, "--jobs",
               "1"]
    if seed:
        command += ["--seed", str(seed)]
    if not full:
        command.append("--small")
    run = subprocess.run(command, cwd=tree, capture_output=True, text=True)
    for line in run.stdout.splitlines():
        m = ROW.match(line)
        if m and m.group(1) != "day":
            entry = SNAPSHOT.search(run.stdout)
            return {"worth": float(m.group(3)), "served": float(m.group(4)),
                    "broken": m.group(7).partition("BROKEN: ")[2],
                    "entry": entry.group(1) if entry else ""}
    return {"error": (run.stdout + run.stderr)[-400:]}


def interval(differences):
    """Nine tenths of the means of samples drawn again."""
    rng = random.Random(1)
    means = sorted(statistics.mean(rng.choices(differences,
                                               k=len(differences)))
                   for _ in range(DRAWS))
    return means[DRAWS // 20], means[-DRAWS // 20]


def row_of(name, pairs):
    d = [b["worth"] - a["worth"] for a, b in pairs]
    low, high = interval(d)
    mean = statistics.mean
    return {"name": name, "pairs": len(d),
            "a": mean(a["worth"] for a, _ in pairs),
            "b": mean(b["worth"] for _, b in pairs),
            "served_a": mean(a["served"] for a, _ in pairs),
            "served_b": mean(b["served"] for _, b in pairs),
            "mean": mean(d), "median": statistics.median(d),
            "low": low, "high": high,
            "broken_a": [a["broken"] for a, _ in pairs if a["broken"]],
            "broken_b": [b["broken"] for _, b in pairs if b["broken"]]}


def plot(rows, path):
    """One line a row: the interval, and the mean as a dot."""
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


def show(rows):
    print("| days | pairs | a | b | mean b-a | median | 0.9 interval | "
          "served a, b | broken a, b |\n|---|---|---|---|---|---|---|---|---|")
    for r in rows:
        print("| %s | %d | %.3f | %.3f | %+.3f | %+.3f | %+.3f to %+.3f | "
              "%.3f, %.3f | %d, %d |" % (
                  r["name"], r["pairs"], r["a"], r["b"], r["mean"],
                  r["median"], r["low"], r["high"], r["served_a"],
                  r["served_b"], len(r["broken_a"]), len(r["broken_b"])))


def main():
    p = argparse.ArgumentParser()
    for name in ("--bench", "--a", "--b"):
        p.add_argument(name, required=True)
    p.add_argument("--site", nargs="+", required=True)
    p.add_argument("--day", nargs="+", required=True)
    p.add_argument("--seeds", type=int, default=1)
    p.add_argument("--jobs", type=int, default=4)
    p.add_argument("--full", action="store_true")
    p.add_argument("--why", default="trial: two ways compared")
    p.add_argument("--out", default="out/compare")
    x = p.parse_args()
    for tree in {x.a, x.b}:
        subprocess.run([x.bench, "build"], cwd=tree, check=True,
                       stdout=subprocess.DEVNULL)
    # The first seed is the day's own.
    jobs = [(site, day, seed) for site in x.site for day in x.day
            for seed in range(x.seeds)]
    with concurrent.futures.ThreadPoolExecutor(x.jobs) as pool:
        played = [(j, [pool.submit(play, x.bench, tree, *j, x.full,
                                   x.why + " (" + side + ")")
                       for side, tree in (("a", x.a), ("b", x.b))])
                  for j in jobs]
        done = [(j, [f.result() for f in pair]) for j, pair in played]
    rows, failed, by_site = [], 0, {}
    for j, pair in done:
        if any("error" in r for r in pair):
            failed += 1
            print("not played: %s: %s" % (j, pair), file=sys.stderr)
            continue
        site = os.path.basename(j[0]).replace(".toml", "")
        by_site.setdefault(site, {}).setdefault(j[1], []).append(pair)
    for site, days in by_site.items():
        rows += [row_of(site + " " + day, pairs)
                 for day, pairs in days.items()]
        rows.append(row_of(site + " all", sum(days.values(), [])))
    if by_site:
        rows.append(row_of("all", [pair for days in by_site.values()
                                   for pairs in days.values()
                                   for pair in pairs]))
    os.makedirs(os.path.dirname(x.out) or ".", exist_ok=True)
    with open(x.out + ".json", "w") as f:
        json.dump({"a": x.a, "b": x.b, "why": x.why, "rows": rows,
                   "played": [{"day": j, "a": pair[0], "b": pair[1]}
                              for j, pair in done]}, f, indent=1)
    plot(rows, x.out + ".svg")
    show(rows)
    print("compare: pairs=%d not_played=%d" % (len(done) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
