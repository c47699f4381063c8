#!/usr/bin/env python3
"""Measures the effect of each mechanism: runs a command with all mechanisms
enabled and with each one disabled, and prints a table.

    tools/ablate.py [--only NAME,...] [--scale NAME:FACTOR,...] \
        [--column REGEX] [--keep FOLDER] -- COMMAND...

The command runs in a copy of the working tree whose settings template gets an
[experiment] section. The first group of REGEX extracts values from its output;
the table shows their mean and spread. --keep leaves the copies in FOLDER.
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


def mechanism_names():
    """Reads the names from the C++ source, so that the list is complete."""
    text = open(HEADER, encoding="utf-8").read()
    table = re.search(r"mechanism_names = \{(.*?)\};", text,
                      re.S).group(1)
    return re.findall(r'"([a-z-]+)"', table)


def copy_tree(target_dir, setting):
    """Copies the working tree and adds one experiment setting."""
    names = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard"], cwd=ROOT, check=True,
        capture_output=True, text=True).stdout.split("\n")
    for name in filter(None, names):
        source = os.path.join(ROOT, name)
        if name.startswith("journal/") or not os.path.isfile(source):
            continue
        target = os.path.join(target_dir, name)
        os.makedirs(os.path.dirname(target), exist_ok=True)
        shutil.copy2(source, target)
    if setting:
        with open(os.path.join(target_dir, TEMPLATE), "a",
                  encoding="utf-8") as f:
            f.write("\n[experiment]\n" + setting + "\n")
    git = ["git", "-c", "user.name=ablate", "-c", "user.email=ablate@localhost"]
    for args in (["init", "-q"], ["add", "-A"], ["commit", "-qm", "ablate"]):
        subprocess.run(git + args, cwd=target_dir, check=True)


def run_command(setting, command, column, keep):
    """Returns the values of one run, or None if the command failed."""
    directory = tempfile.mkdtemp(prefix="ablate-", dir=keep)
    try:
        copy_tree(directory, setting)
        result = subprocess.run(command, cwd=directory, capture_output=True,
                                text=True, check=False)
        values = [float(x) for x in re.findall(column, result.stdout, re.M)]
        if result.returncode != 0 or not values:
            print(result.stdout[-2000:] + result.stderr[-2000:],
                  file=sys.stderr)
            return None
        return values
    finally:
        if keep is None:
            shutil.rmtree(directory)


def table_row(name, values, baseline):
    if values is None:
        return f"| {name} | failed | | |"
    mean = statistics.mean(values)
    spread = max(values) - min(values)
    return f"| {name} | {mean:.3f} | {baseline - mean:+.3f} | {spread:.3f} |"


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--only", default="")
    parser.add_argument("--scale", default="")
    parser.add_argument("--column", default=r"^\S+ +\d+/\d+ +[\d.]+ +(-?[\d.]+)")
    parser.add_argument("--keep")
    parser.add_argument("command", nargs="+")
    args = parser.parse_args()
    known_names = mechanism_names()
    names = [x for x in args.only.split(",") if x] or known_names
    for name in names:
        if name not in known_names:
            sys.exit(f"ablate: unknown mechanism '{name}'; known: "
                     + ", ".join(known_names))
    baseline_values = run_command("", args.command, args.column, args.keep)
    if baseline_values is None:
        sys.exit("ablate: the command fails with all mechanisms enabled")
    baseline = statistics.mean(baseline_values)
    print("| disabled | mean | difference | spread of the runs |")
    print("|---|---|---|---|")
    print(table_row("nothing", baseline_values, baseline), flush=True)
    settings = [("off = " + x, x) for x in names]
    settings += [("scale = " + x, x) for x in args.scale.split(",") if x]
    for setting, name in settings:
        values = run_command(setting, args.command, args.column, args.keep)
        print(table_row(name, values, baseline), flush=True)


if __name__ == "__main__":
    main()
