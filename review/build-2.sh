#!/bin/sh
# The stand-ins of the cases 4 to 6 are Python programs: nothing to build. The
# cases start target/jasminetray-node, which the deploy file's build makes.
exec python3 -m py_compile "$(dirname "$0")/stand_ins_2.py"
