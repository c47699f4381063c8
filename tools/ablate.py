#!/usr/bin/env python3
"""Measures what each mechanism is worth: runs a command once with all of
them and once with each turned off, and writes a table.

    tools/ablate.py [--only NAME,...] [--scale NAME:FACTOR,...] \
        [--column REGEX] [--keep FOLDER] -- COMMAND...

The command runs in a copy of the working tree whose settings template has an
[experiment] section; REGEX picks the figures out of what it prints (first
group, all matches; the table shows their mean and spread). Copies are left
in FOLDER when it is given.
"""
import argparse
import os
import re
import shutil
import statistics
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TEMPLATE = os.path.join("deploy", "node.ini.template")
HEADER = os.path.join(ROOT, "src", "config", "mechanism_type.hpp")


def mechanisms():
    """Names in the product's own table, so that none is forgotten."""
    text = open(HEADER, encoding="utf-8").read()
    table = re.search(r"mechanism_names = \{(.*?)\};", text, re.S).group(1)
    return re.findall(r'"([a-z-]+)"', table)


def copy_tree(to, setting):
    """A copy of the tracked files with one experiment setting."""
    names = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard"], cwd=ROOT, check=True,
        capture_output=True, text=True).stdout.split("\n")
    for name in filter(None, names):
        source = os.path.join(ROOT, name)
        if name.startswith("journal/") or not os.path.isfile(source):
            continue
        target = os.path.join(to, name)
        os.makedirs(os.path.dirname(target), exist_ok=True)
        shutil.copy2(source, target)
    if setting:
        with open(os.path.join(to, TEMPLATE), "a", encoding="utf-8") as f:
            f.write("\n[experiment]\n" + setting + "\n")
    git = ["git", "-c", "user.name=ablate", "-c", "user.email=ablate@localhost"]
    for args in (["init", "-q"], ["add", "-A"], ["commit", "-qm", "ablate"]):
        subprocess.run(git + args, cwd=to, check=True)


def measure(setting, command, column, keep):
    """Figures of one run, or None when the command failed."""
    folder = tempfile.mkdtemp(prefix="ablate-", dir=keep)
    try:
        copy_tree(folder, setting)
        done = subprocess.run(command, cwd=folder, capture_output=True,
                              text=True, check=False)
        figures = [float(x) for x in re.findall(column, done.stdout, re.M)]
        if done.returncode != 0 or not figures:
            print(done.stdout[-2000:] + done.stderr[-2000:], file=sys.stderr)
            return None
        return figures
    finally:
        if keep is None:
            shutil.rmtree(folder)


def row(name, figures, base):
    """One line of the table."""
    if figures is None:
        return f"| {name} | failed | | |"
    mean = statistics.mean(figures)
    spread = max(figures) - min(figures)
    return f"| {name} | {mean:.3f} | {base - mean:+.3f} | {spread:.3f} |"


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--only", default="")
    parser.add_argument("--scale", default="")
    parser.add_argument("--column", default=r"^\S+ +\d+/\d+ +[\d.]+ +(-?[\d.]+)")
    parser.add_argument("--keep")
    parser.add_argument("command", nargs="+")
    args = parser.parse_args()
    known = mechanisms()
    names = [x for x in args.only.split(",") if x] or known
    for name in names:
        if name not in known:
            sys.exit(f"ablate: no mechanism '{name}'; there are: "
                     + ", ".join(known))
    all_on = measure("", args.command, args.column, args.keep)
    if all_on is None:
        sys.exit("ablate: the command fails with all mechanisms on")
    base = statistics.mean(all_on)
    print("| turned off | mean | worth | spread of the runs |")
    print("|---|---|---|---|")
    print(row("nothing", all_on, base), flush=True)
    settings = [("off = " + x, x) for x in names]
    settings += [("scale = " + x, x) for x in args.scale.split(",") if x]
    for setting, name in settings:
        figures = measure(setting, args.command, args.column, args.keep)
        print(row(name, figures, base), flush=True)


if __name__ == "__main__":
    main()
