#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 6 to 10 start, into target/review-2. Run it after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out="target/review-2"
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -Wshadow -pthread)
objects=()
for source in review/standins-2/*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    c++ "${flags[@]}" -c "$source" -o "$object"
    objects+=("$object")
done
for source in review/*/case.cpp; do
    number="$(basename "$(dirname "$source")")"
    c++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$number"
done
