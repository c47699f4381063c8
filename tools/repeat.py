"""Runs one test again and again, half of the runs beside busy processes, and
keeps the output of each run that failed: a failure that shows once is a
finding. Usage: repeat.py TIMES COMMAND..."""

import os
import subprocess
import sys
import time

BUSY = 4  # processes beside the runs of the second half


def spin():
    return subprocess.Popen([sys.executable, "-c", "while True: pass"])


def main():
    times, command = int(sys.argv[1]), sys.argv[2:]
    failed, busy = [], []
    try:
        for n in range(times):
            if n == times // 2:
                busy = [spin() for _ in range(BUSY)]
            run = subprocess.run(command, capture_output=True, text=True)
            if run.returncode == 0:
                continue
            kept = os.path.join("out", "repeat-%d-%d.log" %
                                (int(time.time()), n))
            os.makedirs("out", exist_ok=True)
            with open(kept, "w") as f:
                f.write(run.stdout + run.stderr)
            failed.append((n, bool(busy), kept))
    finally:
        for p in busy:
            p.kill()
    for n, beside, kept in failed:
        print("run %d%s failed: %s" % (n, " beside load" * beside, kept))
    print("repeat: runs=%d failed=%d" % (times, len(failed)))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
