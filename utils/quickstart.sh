#!/usr/bin/env bash
# From a fresh machine to the first served request: installs the packages, builds, and runs the
# whole path on loopback ports.
set -euo pipefail
cd "$(dirname "$0")/.."
utils/install-dependencies.sh
utils/build.sh build
utils/run-local.sh build
