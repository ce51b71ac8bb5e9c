#!/usr/bin/env bash
# Measures how long an accepted configuration takes until it is in force at every instance, and what
# it costs the store: bench/measure-config.sh [BUILD_DIR [INSTANCES [CHANGES]]]. The instances are
# processes on loopback ports in four zones; times are read from their logs.
set -uo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
members="${2:-8}"
changes="${3:-20}"
source utils/local-fleet.sh

startPlatform
for ((n = 0; n < members; n++)); do
    startInstance "m$n" "zone-$((n % 4))"
done
publishInstances

writeRules() {
    local zone n
    for zone in 0 1 2 3; do
        echo "zone zone-$zone state=serving # asked for by: operations"
    done
    for n in $(seq 100); do
        echo "workspace w$n rate=$1 burst=1000 # asked for by: operations"
    done
} >"$work/rules"

calls() {
    curl -fsS "http://$platform/counts" | grep -oE '"calls":\{[^}]*\}' | grep -oE '[0-9]+' \
        | paste -sd+ | bc
}
now() { date +%T.%6N; }

writeRules 1
"$build/marigoldspoolctl" apply "$work/rules" --platform="$platform" >/dev/null 2>&1 || exit 1
waitUntilReady
idleBefore="$(calls)"
sleep 10
idleAfter="$(calls)"
began="$(date +%s%N)"
before="$(calls)"
for ((n = 2; n <= changes + 1; n++)); do
    writeRules "$n"
    "$build/marigoldspoolctl" apply "$work/rules" --platform="$platform" >/dev/null 2>&1 || exit 1
    echo "$n $(now)" >>"$work/accepted"
    sleep "0.$((RANDOM % 9))"
done
inForceEverywhere() {
    [ "$(grep -l "event=config_in_force version=$((changes + 1)) " "$work"/m*.err | wc -l)" = "$members" ]
}
waitFor 60 inForceEverywhere || echo "not in force everywhere after 60 s"
after="$(calls)"
seconds="$((($(date +%s%N) - began) / 1000000))"

# For each accepted version, how long after its acceptance each instance had it or a later one.
for log in "$work"/m*.err; do
    grep 'event=config_in_force' "$log" \
        | sed -E 's/^I[0-9]+ ([0-9:.]+) .*version=([0-9]+).*/\2 \1/' >"$work/seen"
    awk '
        function seconds(text, part) { split(text, part, ":"); return part[1] * 3600 + part[2] * 60 + part[3] }
        FNR == NR { version[++n] = $1; at[n] = seconds($2); next }
        {
            for (i = 1; i <= n; i++) {
                if (version[i] >= $1) {
                    lag = at[i] - seconds($2)
                    printf "%.3f\n", (lag > 0 ? lag : 0)
                    break
                }
            }
        }' "$work/seen" "$work/accepted"
done | sort -n >"$work/lags"
count="$(wc -l <"$work/lags")"
p50="$(sed -n "$(((count + 1) / 2))p" "$work/lags")"
max="$(tail -n 1 "$work/lags")"
perSecond() { echo "scale=1; ($2 - $1) * 1000 / $3" | bc; }
echo "instances changes samples p50_s max_s store_calls_per_s_idle store_calls_per_s_changing"
echo "$members $changes $count $p50 $max $(perSecond "$idleBefore" "$idleAfter" 10000)" \
    "$(perSecond "$before" "$after" "$seconds")"
