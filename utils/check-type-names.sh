#!/usr/bin/env bash
# Fails when two files define types of the same name outside anonymous namespaces: all components
# share one namespace, and the linker silently takes either definition (this once freed memory
# twice at shutdown).
set -euo pipefail
cd "$(dirname "$0")/.."
definitions="$(git ls-files 'include/*.h' 'lib/*.h' 'lib/*.cpp' | xargs awk '
    FNR == 1 { anonymous = 0 }
    /^namespace \{/ { anonymous = 1 }
    /^\} \/\/ namespace$/ { anonymous = 0 }
    !anonymous && /^(class|struct) [A-Z][A-Za-z0-9]*( final)?( :.*)?( \{)?$/ {
        print $2, FILENAME
    }')"
duplicates="$(cut -d' ' -f1 <<<"$definitions" | sort | uniq -d)"
if [ -n "$duplicates" ]; then
    echo "types with more than one definition:"
    grep -wF "$duplicates" <<<"$definitions"
    exit 1
fi
echo "types: each has one definition"
