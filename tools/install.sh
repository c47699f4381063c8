#!/bin/sh
# Installs the given packages that are missing.
set -eu
missing=""
for name in "$@"; do
    dpkg-query -W -f='${Status}' "$name" 2>/dev/null |
        grep -q "install ok installed" || missing="$missing $name"
done
[ -n "$missing" ] || exit 0
apt-get update
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y $missing
