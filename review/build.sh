#!/usr/bin/env bash
# Builds the scenarios of the cases with their stand-ins: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
objects=()
for source in review/standins/*.cpp; do
    object="review/build/$(basename "${source%.cpp}").o"
    g++ -std=c++17 -O1 -Wall -Wextra -Werror -pthread -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for source in review/[1-5]/scenario.cpp review/other/*/scenario.cpp; do
    folder="$(dirname "$source")"
    name="$(basename "$folder")"
    case "$folder" in
    review/other/*) program="review/build/other-$name" ;;
    *) program="review/build/case-$name" ;;
    esac
    g++ -std=c++17 -O1 -Wall -Wextra -Werror -pthread "$source" "${objects[@]}" -o "$program" &
done
wait
