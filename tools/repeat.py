"""Runs a test repeatedly to find intermittent failures, half of the runs under
CPU load, and keeps the output of failed runs.
Usage: repeat.py COUNT COMMAND..."""

import os
import subprocess
import sys
import time

BUSY_PROCESSES = 4


def start_busy_process():
    return subprocess.Popen([sys.executable, "-c", "while True: pass"])


def main():
    count, command = int(sys.argv[1]), sys.argv[2:]
    failed, busy = [], []
    try:
        for n in range(count):
            if n == count // 2:
                busy = [start_busy_process() for _ in range(BUSY_PROCESSES)]
            run = subprocess.run(command, capture_output=True, text=True)
            if run.returncode == 0:
                continue
            log_path = os.path.join("out", "repeat-%d-%d.log" %
                                    (int(time.time()), n))
            os.makedirs("out", exist_ok=True)
            with open(log_path, "w") as f:
                f.write(run.stdout + run.stderr)
            failed.append((n, bool(busy), log_path))
    finally:
        for p in busy:
            p.kill()
    for n, under_load, log_path in failed:
        print("run %d%s failed: %s" % (
            n, " under load" * under_load, log_path))
    print("repeat: runs=%d failed=%d" % (count, len(failed)))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
