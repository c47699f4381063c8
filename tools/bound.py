#!/usr/bin/env python3
"""Upper bound of what a site's backend servers can serve, by capacity alone.

    tools/bound.py SITE.toml...

Each class takes slot time at its service and, by its calls, at others; sick
backend servers answer only what they do not fail. The bound is the best mix
of classes within those slots, every slot always busy, nothing lost to queues,
retries, distance or changes. Prints the share of worth and of requests that
the best mix serves, for the load as it is written and for a third more.
"""
import itertools
import sys
import tomllib

STEPS = 20  # of each class's share served
MS = 1000


def capacity(site):
    """Usable slots by service."""
    hosts = {}
    for m in site["machines"]:
        hosts[m.get("app", "")] = hosts.get(m.get("app", ""), 0) + m["count"]
    slots = {}
    for s in site["services"]:
        sick = s.get("noise", {})
        well = 1 - sick.get("share", 0) * sick.get("fails", 0)
        slots[s["name"]] = hosts.get(s["name"], 0) * s["slots"] * well
    return slots


def slot_time(classes, name):
    """Seconds of slots that one request takes, by service."""
    c = classes[name]
    total = {c["service"]: c["work_ms"]["mean"] / MS}
    for call in c.get("calls", []):
        runs = call["times"] * call["share"]
        for service, seconds in slot_time(classes, call["class"]).items():
            total[service] = total.get(service, 0) + runs * seconds
    return total


def rates(site):
    """Requests a second by class."""
    per_class = {}
    for t in site["traffic"]:
        whole = sum(t["mix"].values())
        for name, part in t["mix"].items():
            rate = t["per_s"] * part / whole
            per_class[name] = per_class.get(name, 0) + rate
    return per_class


def best_mix(site, factor):
    """Best shares of worth and of requests at a multiple of the load."""
    classes = {c["name"]: c for c in site["classes"]}
    asked = {k: v * factor for k, v in rates(site).items()}
    names = sorted(asked)
    need = {n: slot_time(classes, n) for n in names}
    slots = capacity(site)
    owed = sum(asked[n] * classes[n]["worth"] for n in names)
    best = (0.0, 0.0)
    for mix in itertools.product(range(STEPS + 1), repeat=len(names)):
        share = dict(zip(names, (k / STEPS for k in mix)))
        used = {}
        for n in names:
            for service, seconds in need[n].items():
                used[service] = (used.get(service, 0)
                                 + share[n] * asked[n] * seconds)
        if any(used[s] > slots[s] for s in used):
            continue
        worth = sum(share[n] * asked[n] * classes[n]["worth"] for n in names)
        served = sum(share[n] * asked[n] for n in names) / sum(asked.values())
        best = max(best, (worth / owed, served))
    return best


def main():
    print("| site | load | worth | served |")
    print("|---|---|---|---|")
    for path in sys.argv[1:]:
        with open(path, "rb") as f:
            site = tomllib.load(f)
        for factor in (1.0, 4 / 3):
            worth, served = best_mix(site, factor)
            print(f"| {site['name']} | x{factor:.2f} | {worth:.2f} "
                  f"| {served:.2f} |")


if __name__ == "__main__":
    main()
