#!/usr/bin/env bash
# Measures what one instance costs with the rules of the planned size (1,900 models, 5,500 adapters,
# 200 workspaces) and with few rules, each with and without engines to follow: memory, and processor
# time while no request comes. bench/measure-size.sh [BUILD_DIR [ENGINES]]
set -uo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
engines="${2:-16}"
source utils/local-fleet.sh

writeRules() {
    local models="$1" adapters="$2" workspaces="$3" followed="$4" n
    echo "zone zone-a state=serving # asked for by: operations"
    for n in $(seq "$followed"); do
        echo "endpoint engine-$n zone=zone-a address=${addresses[$n]} kind=engine memory=80GiB slots=16 # asked for by: operations"
    done
    for n in $(seq "$models"); do
        echo "model m$n version=1 memory=14GiB kv=2GiB max-replicas=3 # asked for by: operations"
    done
    for n in $(seq "$adapters"); do
        echo "adapter a$n base=m$((n % models + 1)) version=1 memory=200MiB # asked for by: operations"
    done
    for n in $(seq "$workspaces"); do
        echo "workspace w$n rate=1000 burst=1000 # asked for by: operations"
    done
} >"$work/rules"

startPlatform
for n in $(seq "$engines"); do
    start "engine-$n" "$build/engine-standin" --listen=127.0.0.1:0 --endpoint="engine-$n" \
        --memory=85899345920 --slots=16 --fencing=checked
    addresses[n]="$(standinAddress "engine-$n")"
done
startInstance one zone-a
publishInstances
version=0
measure() {
    local before after fields
    writeRules "$@"
    "$build/marigoldspoolctl" apply "$work/rules" --platform="$platform" >/dev/null 2>&1
    version=$((version + 1))
    waitFor 30 grep -q "event=config_in_force version=$version " "$work/one.err"
    sleep 8
    read -r -a fields <"/proc/$pid_one/stat"
    before=$((fields[13] + fields[14]))
    sleep 10
    read -r -a fields <"/proc/$pid_one/stat"
    after=$((fields[13] + fields[14]))
    echo "$1 $2 $3 $4 $(wc -c <"$work/rules") $(awk '/VmRSS/ { print $2 }' "/proc/$pid_one/status") $((after - before))"
}
echo "models adapters workspaces engines rules_bytes memory_kB idle_cpu_ms_per_s"
measure 10 10 5 0
measure 10 10 5 "$engines"
measure 1900 5500 200 0
measure 1900 5500 200 "$engines"
