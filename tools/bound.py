#!/usr/bin/env python3
"""Computes an upper bound of the load that a site's backend servers can serve.

    tools/bound.py SITE.toml...

Each class takes slot time at its service and, through its calls, at others;
slots of failing backend servers count for the share of requests that succeeds.
The bound is the best mix of classes with all slots busy and no other losses.
Prints the share of worth and of requests served, at the given load and at
4/3 of it.
"""
import itertools
import sys
import tomllib

STEPS = 20  # of the served share
MS = 1000


def capacity(site):
    """Returns usable slots by service."""
    machines = {}
    for m in site["machines"]:
        app = m.get("app", "")
        machines[app] = machines.get(app, 0) + m["count"]
    slots = {}
    for s in site["services"]:
        noise = s.get("noise", {})
        answered_share = 1 - noise.get("share", 0) * noise.get("fails", 0)
        slots[s["name"]] = (machines.get(s["name"], 0) * s["slots"]
                            * answered_share)
    return slots


def slot_time(classes, name):
    """Returns the slot seconds that one request takes, by service."""
    c = classes[name]
    total = {c["service"]: c["work_ms"]["mean"] / MS}
    for call in c.get("calls", []):
        runs = call["times"] * call["share"]
        for service, seconds in slot_time(classes, call["class"]).items():
            total[service] = total.get(service, 0) + runs * seconds
    return total


def rates(site):
    """Returns requests per second by class."""
    per_class = {}
    for t in site["traffic"]:
        weight_sum = sum(t["mix"].values())
        for name, weight in t["mix"].items():
            rate = t["per_s"] * weight / weight_sum
            per_class[name] = per_class.get(name, 0) + rate
    return per_class


def best_mix(site, factor):
    """Returns the best shares of worth and of requests at a load factor."""
    classes = {c["name"]: c for c in site["classes"]}
    offered = {k: v * factor for k, v in rates(site).items()}
    names = sorted(offered)
    slot_seconds = {n: slot_time(classes, n) for n in names}
    slots = capacity(site)
    total_worth = sum(offered[n] * classes[n]["worth"] for n in names)
    best = (0.0, 0.0)
    for mix in itertools.product(range(STEPS + 1), repeat=len(names)):
        share = dict(zip(names, (k / STEPS for k in mix)))
        used = {}
        for n in names:
            for service, seconds in slot_seconds[n].items():
                used[service] = (used.get(service, 0)
                                 + share[n] * offered[n] * seconds)
        if any(used[s] > slots[s] for s in used):
            continue
        worth = sum(share[n] * offered[n] * classes[n]["worth"] for n in names)
        served = (sum(share[n] * offered[n] for n in names)
                  / sum(offered.values()))
        best = max(best, (worth / total_worth, served))
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
