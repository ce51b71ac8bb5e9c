#!/usr/bin/env bash
# Builds the stand-ins and the cases 11 to 15 into target/review-3: review/build-3.sh
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++17 -O1 -g1 -Wall -Wextra -pthread)
objects=()
builds=()
for source in review/standins-3/*.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    "${CXX:-g++}" "${flags[@]}" -c "$source" -o "$object" &
    builds+=("$!")
    objects+=("$object")
done
for pid in "${builds[@]}"; do
    wait "$pid"
done
for n in 11 12 13 14 15; do
    for source in review/"$n"/*.cpp; do
        [ -e "$source" ] || continue
        "${CXX:-g++}" "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$n"
        echo "built $out/case-$n"
    done
done
