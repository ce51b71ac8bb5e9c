#!/usr/bin/env bash
# Runs all tests but those that KNOWN-RED.txt names: utils/test.sh [BUILD_DIR].
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
known=()
while IFS='|' read -r name _; do
    name="$(sed 's/^ *//; s/ *$//' <<<"$name")"
    if [ -n "$name" ] && [ "${name:0:1}" != "#" ]; then
        known+=("$name")
    fi
done < KNOWN-RED.txt
exclude=()
if [ "${#known[@]}" -gt 0 ]; then
    printf 'known red, not run: %s\n' "${known[@]}"
    pattern="$(printf '%s\n' "${known[@]}" | sed 's/[][().*+?^$\\|{}]/\\&/g' | paste -sd'|')"
    exclude=(-E "^($pattern)\$")
fi
# Half of the processors: tests that start whole instances need some to spare.
jobs=$((($(nproc) + 1) / 2))
ctest --test-dir "$build" --output-on-failure -j "$jobs" "${exclude[@]}"
