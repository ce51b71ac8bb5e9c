#!/usr/bin/env bash
# Runs clang-tidy in parallel on the project's own sources: utils/lint.sh [BUILD_DIR [FILE...]].
# Files whose content, headers and settings have not changed since a clean run are passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
shift || true
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files '*.cpp')
fi
stamps="$build/lint"
mkdir -p "$stamps"
headers="$(git ls-files '*.h' .clang-tidy | xargs cat | sha256sum | cut -c1-16)"
lintOne() {
    local file="$1" stamps="$2" build="$3" headers="$4"
    local stamp
    stamp="$stamps/$(printf '%s\n%s' "$headers" "$(cat "$file")" | sha256sum | cut -c1-32)"
    if [ -e "$stamp" ]; then
        return 0
    fi
    if output="$(clang-tidy --quiet -p "$build" "$file" 2>/dev/null)"; then
        touch "$stamp"
        return 0
    fi
    printf '%s\n' "$output"
    return 1
}
export -f lintOne
printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -I{} bash -c 'lintOne "$@"' _ {} "$stamps" "$build" "$headers"
echo "lint: ${#files[@]} files clean"
