#!/bin/sh
# Runs clang-tidy with the flags of the build; warnings are errors. Skips files
# that passed before if neither they nor any header or setting changed.
set -eu
build=$1
stamps=$build/lint
mkdir -p "$stamps"
lint_one() {
    file=$1
    stamp=$stamps/$(echo "$file" | tr / _)
    headers=$(cat src/*/*.hpp platform/*.hpp .clang-tidy | cksum | tr -d ' ')
    sum=$(cksum <"$file" | tr -d ' ')-$headers
    [ "$(cat "$stamp" 2>/dev/null || true)" != "$sum" ] || return 0
    if ! out=$(clang-tidy --quiet -p "$build" \
        --extra-arg=-Wno-unknown-warning-option "$file" 2>/dev/null); then
        echo "$out"
        return 1
    fi
    echo "$sum" >"$stamp"
}
if [ $# -eq 2 ]; then
    lint_one "$2"
    exit $?
fi
git ls-files 'src/*.cpp' 'platform/*.cpp' 'test/*.cpp' 'bench/*.cpp' |
    xargs -P "$(nproc)" -I{} sh "$0" "$build" {}
