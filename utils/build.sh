#!/usr/bin/env bash
# Configures and builds everything, with warnings as errors: utils/build.sh [BUILD_DIR].
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
cmake -S . -B "$build" -G Ninja
cmake --build "$build"
