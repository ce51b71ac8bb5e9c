#!/usr/bin/env bash
# Installs the packages that the build needs and that are not there yet.
set -euo pipefail
packages=(ccache cmake ninja-build g++ clang-format clang-tidy curl libboost-dev libboost-system-dev
    libboost-coroutine-dev libboost-context-dev libwebsocketpp-dev prometheus-cpp-dev libpopt-dev
    libgoogle-glog-dev libexpected-dev doctest-dev nlohmann-json3-dev librapidcheck-dev libssl-dev
    libmsgsl-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}\n' "$package" 2>/dev/null | grep -q '^install ok installed$' \
        || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
