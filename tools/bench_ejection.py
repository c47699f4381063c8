"""Runs bench_ejection, prints the tables, writes out/ejection.md and
out/ejection.svg, and ends with the line that the measures are read from."""

import math
import os
import subprocess
import sys

import fleet

OUT = os.path.join(fleet.ROOT, "out")
SICK = ("fail-100", "fail-50", "fail-20", "fail-10", "fail-5", "slow-5x",
        "slow-2x", "silent", "one-centre", "flap-2s", "flap-10s", "flap-60s",
        "half-alive", "bad-release", "one-way")
HEALTHY = ("healthy", "bursts", "dip", "overload", "cold-start")
USUAL = 0.005
LIMITED = {"fail-100": 0.999, "fail-50": 0.5, "fail-20": 0.2, "fail-10": 0.1,
           "fail-5": 0.05}
OURS = "core 1.000000"
COLOURS = {"core": "#0b6e4f", "consecutive": "#c0392b",
           "percentage": "#2471a3", "success-rate": "#8e44ad",
           "probes": "#7f8c8d"}


def parse(text):
    """{size: {detector: {mode: numbers}}}"""
    sizes = {}
    for line in text.splitlines():
        family, point, size, mode = line.split()[:4]
        detector = sizes.setdefault(size, {}).setdefault(
            family + " " + point, {})
        detector[mode] = fleet.numbers(line)
    return sizes


def false_rate(modes, names=HEALTHY):
    """False ejections per 1,000 healthy worker-hours over the modes."""
    hours = sum(modes[m]["healthy_hours"] for m in names)
    return 1000 * sum(modes[m]["false"] for m in names) / hours


def best_baseline(detectors, mode, most_false):
    """Fastest baseline for a mode that is falsely ejecting no more."""
    best = None
    for name, modes in detectors.items():
        if name.startswith("core") or false_rate(modes) > most_false:
            continue
        seconds = modes[mode]["median_s"]
        if best is None or seconds < best[1]:
            best = (name, seconds)
    return best


def geometric_mean(values):
    return math.exp(sum(math.log(v) for v in values) / len(values))


def divergence(p, q):
    return p * math.log(p / q) + (1 - p) * math.log((1 - p) / (1 - q))


def limit_ratios(modes):
    """Requests until detection over the bound of sequential testing, at the
    upper 95% bound of the false rate where outcomes are independent."""
    well = modes["healthy"]
    most_false = (well["false"] + 1.96 * math.sqrt(well["false"]) + 3) \
        / well["healthy_requests"]
    ratios = {}
    for mode, rate in LIMITED.items():
        bound = math.log(1 / most_false) / divergence(rate, USUAL)
        ratios[mode] = modes[mode]["median_requests"] / bound
    return ratios


def table(size, detectors):
    ours = detectors[OURS]
    most_false = false_rate(ours)
    lines = ["## " + size, "",
             "| mode | core median s (95% interval) | p95 s | sick requests | "
             "best baseline, as few false | its median s | ratio |",
             "|---|---|---|---|---|---|---|"]
    ratios = []
    for mode in SICK:
        m = ours[mode]
        name, seconds = best_baseline(detectors, mode, most_false)
        ratios.append(m["median_s"] / seconds)
        lost = " lost" if ratios[-1] > 1 else ""
        lines.append("| %s | %.2f (%.2f to %.2f) | %.2f | %.0f | %s | %.2f | "
                     "%.3f%s |" % (mode, m["median_s"], m["low_s"],
                                   m["high_s"], m["p95_s"],
                                   m["median_requests"], name, seconds,
                                   ratios[-1], lost))
    lines += ["", "False ejections per 1,000 healthy worker-hours:", "",
              "| detector | " + " | ".join(HEALTHY) + " | all | floor "
              "breaches |", "|---|" + "---|" * (len(HEALTHY) + 2)]
    for name in sorted(detectors):
        modes = detectors[name]
        lines.append("| %s | %s | %.0f | %d |" % (
            name, " | ".join("%.0f" % false_rate(modes, (m,))
                             for m in HEALTHY),
            false_rate(modes), sum(modes[m]["floor_breaches"]
                                   for m in SICK + HEALTHY)))
    return lines, ratios


def curve_points(detectors):
    """{family: [(false rate, mean ln median)]}"""
    curves = {}
    for name, modes in detectors.items():
        family = name.split()[0]
        if family in COLOURS:
            seconds = geometric_mean([modes[m]["median_s"] for m in SICK])
            curves.setdefault(family, []).append(
                (false_rate(modes), seconds))
    return {f: sorted(points) for f, points in curves.items()}


def svg(size, detectors):
    """Detection time against false ejections, both on logarithmic axes."""
    def x(rate):
        return 70 + 110 * math.log10(max(rate, 1))

    def y(seconds):
        return 330 - 130 * math.log10(max(seconds, 0.2) / 0.2)

    parts = ['<svg xmlns="http://www.w3.org/2000/svg" width="640" '
             'height="400" font-family="sans-serif" font-size="12">',
             '<rect width="640" height="400" fill="white"/>',
             '<text x="70" y="20">%s: geometric mean of the median detection '
             'times against false ejections</text>' % size]
    for power in range(5):
        parts.append('<text x="%d" y="355">%d</text>' % (
            x(10 ** power), 10 ** power))
    for seconds in (0.2, 1, 5, 20, 60):
        parts.append('<text x="30" y="%d">%s s</text><line x1="70" x2="620" '
                     'y1="%d" y2="%d" stroke="#ddd"/>' % (
                         y(seconds), seconds, y(seconds), y(seconds)))
    parts.append('<text x="200" y="380">false ejections per 1,000 healthy '
                 'worker-hours (1 stands for fewer)</text>')
    for n, (family, points) in enumerate(curve_points(detectors).items()):
        colour = COLOURS[family]
        path = " ".join("%d,%d" % (x(a), y(b)) for a, b in points)
        parts.append('<polyline points="%s" fill="none" stroke="%s"/>' % (
            path, colour))
        parts += ['<circle cx="%d" cy="%d" r="4" fill="%s"/>' % (
            x(a), y(b), colour) for a, b in points]
        parts.append('<text x="520" y="%d" fill="%s">%s</text>' % (
            40 + 16 * n, colour, family))
    return "\n".join(parts + ["</svg>"]) + "\n"


def main():
    os.makedirs(OUT, exist_ok=True)
    raw = os.path.join(OUT, "ejection.txt")
    done = subprocess.run([fleet.BUILD + "/bench_ejection", *sys.argv[1:]],
                          capture_output=True, text=True, check=True)
    with open(raw, "w") as out:
        out.write(done.stdout)
    sizes = parse(done.stdout)
    lines, ratios, limits = ["# Ejection bench", ""], [], []
    ours_false, base_false, breaches = [], [], 0
    for size, detectors in sizes.items():
        found, mode_ratios = table(size, detectors)
        lines += found + [""]
        ratios += mode_ratios
        limits += limit_ratios(detectors[OURS]).values()
        ours = false_rate(detectors[OURS])
        ours_false.append(ours)
        base_false.append(max(
            false_rate(detectors[best_baseline(detectors, m, ours)[0]])
            for m in SICK))
        breaches += sum(detectors[OURS][m]["floor_breaches"]
                        for m in SICK + HEALTHY)
        with open(os.path.join(OUT, "ejection-%s.svg" % size), "w") as out:
            out.write(svg(size, detectors))
    with open(os.path.join(OUT, "ejection.md"), "w") as out:
        out.write("\n".join(lines) + "\n")
    print("\n".join(lines))
    print("ejection: detect_ratio_vs_best_baseline=%.3f false_per_1000h=%.1f "
          "best_baseline_false_per_1000h=%.1f floor_breaches=%d "
          "limit_ratio=%.2f" % (
              geometric_mean(ratios), sum(ours_false) / len(ours_false),
              sum(base_false) / len(base_false), breaches,
              geometric_mean(limits)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
