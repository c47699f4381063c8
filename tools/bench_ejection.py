"""Runs bench_ejection, prints its tables, writes out/ejection.md and a plot
per service, and prints a summary line."""

import math
import os
import subprocess
import sys

import fleet

OUT = os.path.join(fleet.ROOT, "out")
FAILURE_SCENARIOS = (
    "fail-100", "fail-50", "fail-20", "fail-10", "fail-5", "slow-5x",
    "slow-2x", "silent", "one-centre", "flap-2s", "flap-10s", "flap-60s",
    "half-alive", "bad-release", "one-way")
HEALTHY_SCENARIOS = ("healthy", "bursts", "dip", "overload", "cold-start")
SCENARIOS = FAILURE_SCENARIOS + HEALTHY_SCENARIOS
BASELINE_FAILURE_RATE = 0.005
FAILURE_RATES = {"fail-100": 0.999, "fail-50": 0.5, "fail-20": 0.2,
                 "fail-10": 0.1, "fail-5": 0.05}
CORE = "core 1.000000"
COLOURS = {"core": "#0b6e4f", "consecutive": "#c0392b",
           "percentage": "#2471a3", "success-rate": "#8e44ad",
           "probes": "#7f8c8d"}


def parse(text):
    """Returns fields by service, detector and scenario."""
    services = {}
    for line in text.splitlines():
        family, parameter, service, scenario = line.split()[:4]
        detector = services.setdefault(service, {}).setdefault(
            family + " " + parameter, {})
        detector[scenario] = fleet.parse_fields(line)
    return services


def false_rate(by_scenario, names=HEALTHY_SCENARIOS):
    """Returns false ejections per 1,000 healthy worker-hours."""
    hours = sum(by_scenario[m]["healthy_hours"] for m in names)
    return 1000 * sum(by_scenario[m]["false"] for m in names) / hours


def best_baseline(detectors, scenario, max_false_rate):
    """Returns the fastest baseline within a rate of false ejections."""
    best = None
    for name, by_scenario in detectors.items():
        if name.startswith("core") or false_rate(by_scenario) > max_false_rate:
            continue
        seconds = by_scenario[scenario]["median_s"]
        if best is None or seconds < best[1]:
            best = (name, seconds)
    return best


def geometric_mean(values):
    return math.exp(sum(math.log(v) for v in values) / len(values))


def kl_divergence(p, q):
    return p * math.log(p / q) + (1 - p) * math.log((1 - p) / (1 - q))


def bound_ratios(by_scenario):
    """Returns the requests until detection over the bound of sequential
    testing, at the upper 95% bound of the false rate."""
    healthy = by_scenario["healthy"]
    false = healthy["false"]
    max_false_rate = (false + 1.96 * math.sqrt(false) + 3) \
        / healthy["healthy_requests"]
    ratios = {}
    for scenario, rate in FAILURE_RATES.items():
        bound = math.log(1 / max_false_rate) / \
            kl_divergence(rate, BASELINE_FAILURE_RATE)
        ratios[scenario] = by_scenario[scenario]["median_requests"] / bound
    return ratios


def table(service, detectors):
    core = detectors[CORE]
    max_false_rate = false_rate(core)
    lines = ["## " + service, "",
             "| scenario | core median s (95% interval) | p95 s | requests | "
             "best baseline with no more false ejections | baseline median s | "
             "ratio |",
             "|---|---|---|---|---|---|---|"]
    ratios = []
    for scenario in FAILURE_SCENARIOS:
        m = core[scenario]
        name, seconds = best_baseline(detectors, scenario, max_false_rate)
        ratios.append(m["median_s"] / seconds)
        slower = " slower" if ratios[-1] > 1 else ""
        lines.append("| %s | %.2f (%.2f to %.2f) | %.2f | %.0f | %s | %.2f | "
                     "%.3f%s |" % (scenario, m["median_s"], m["low_s"],
                                   m["high_s"], m["p95_s"],
                                   m["median_requests"], name, seconds,
                                   ratios[-1], slower))
    lines += ["", "False ejections per 1,000 healthy worker-hours:", "",
              "| detector | " + " | ".join(HEALTHY_SCENARIOS) +
              " | all | floor breaches |",
              "|---|" + "---|" * (len(HEALTHY_SCENARIOS) + 2)]
    for name in sorted(detectors):
        by_scenario = detectors[name]
        lines.append("| %s | %s | %.0f | %d |" % (
            name, " | ".join("%.0f" % false_rate(by_scenario, (m,))
                             for m in HEALTHY_SCENARIOS),
            false_rate(by_scenario),
            sum(by_scenario[m]["floor_breaches"] for m in SCENARIOS)))
    return lines, ratios


def curve_points(detectors):
    """Returns {family: [(false rate, mean of the median times)]}."""
    curves = {}
    for name, by_scenario in detectors.items():
        family = name.split()[0]
        if family in COLOURS:
            seconds = geometric_mean(
                [by_scenario[m]["median_s"] for m in FAILURE_SCENARIOS])
            curves.setdefault(family, []).append(
                (false_rate(by_scenario), seconds))
    return {f: sorted(points) for f, points in curves.items()}


def svg(service, detectors):
    """Plots detection time against false ejections on logarithmic axes."""
    def x_at(rate):
        return 70 + 110 * math.log10(max(rate, 1))

    def y_at(seconds):
        return 330 - 130 * math.log10(max(seconds, 0.2) / 0.2)

    parts = ['<svg xmlns="http://www.w3.org/2000/svg" width="640" '
             'height="400" font-family="sans-serif" font-size="12">',
             '<rect width="640" height="400" fill="white"/>',
             '<text x="70" y="20">%s: geometric mean of the median detection '
             'times against false ejections</text>' % service]
    for power in range(5):
        parts.append('<text x="%d" y="355">%d</text>' % (
            x_at(10 ** power), 10 ** power))
    for seconds in (0.2, 1, 5, 20, 60):
        parts.append('<text x="30" y="%d">%s s</text><line x1="70" x2="620" '
                     'y1="%d" y2="%d" stroke="#ddd"/>' % (
                         y_at(seconds), seconds, y_at(seconds), y_at(seconds)))
    parts.append('<text x="200" y="380">false ejections per 1,000 healthy '
                 'worker-hours (1: one or fewer)</text>')
    for n, (family, points) in enumerate(curve_points(detectors).items()):
        colour = COLOURS[family]
        path = " ".join("%d,%d" % (x_at(a), y_at(b)) for a, b in points)
        parts.append('<polyline points="%s" fill="none" stroke="%s"/>' % (
            path, colour))
        parts += ['<circle cx="%d" cy="%d" r="4" fill="%s"/>' % (
            x_at(a), y_at(b), colour) for a, b in points]
        parts.append('<text x="520" y="%d" fill="%s">%s</text>' % (
            40 + 16 * n, colour, family))
    return "\n".join(parts + ["</svg>"]) + "\n"


def main():
    os.makedirs(OUT, exist_ok=True)
    raw_path = os.path.join(OUT, "ejection.txt")
    result = subprocess.run([fleet.BUILD + "/bench_ejection", *sys.argv[1:]],
                            capture_output=True, text=True, check=True)
    with open(raw_path, "w") as out:
        out.write(result.stdout)
    services = parse(result.stdout)
    lines, ratios, bounds = ["# Ejection bench", ""], [], []
    core_false, baseline_false, breaches = [], [], 0
    for service, detectors in services.items():
        table_lines, service_ratios = table(service, detectors)
        lines += table_lines + [""]
        ratios += service_ratios
        bounds += bound_ratios(detectors[CORE]).values()
        core_rate = false_rate(detectors[CORE])
        core_false.append(core_rate)
        baseline_false.append(max(
            false_rate(detectors[best_baseline(detectors, m, core_rate)[0]])
            for m in FAILURE_SCENARIOS))
        breaches += sum(detectors[CORE][m]["floor_breaches"]
                        for m in SCENARIOS)
        with open(os.path.join(OUT, "ejection-%s.svg" % service), "w") as out:
            out.write(svg(service, detectors))
    with open(os.path.join(OUT, "ejection.md"), "w") as out:
        out.write("\n".join(lines) + "\n")
    print("\n".join(lines))
    print("ejection: detect_ratio_vs_best_baseline=%.3f false_per_1000h=%.1f "
          "best_baseline_false_per_1000h=%.1f floor_breaches=%d "
          "limit_ratio=%.2f" % (
              geometric_mean(ratios), sum(core_false) / len(core_false),
              sum(baseline_false) / len(baseline_false), breaches,
              geometric_mean(bounds)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
