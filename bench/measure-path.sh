#!/usr/bin/env bash
# Loads one instance over loopback beside its engine called directly, and prints the added latency,
# the throughput of streams, and the memory and processor time of the instance:
# bench/measure-path.sh [BUILD_DIR [RATE [DURATION]]]
set -uo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
rate="${2:-1000}"
duration="${3:-10s}"
source utils/local-fleet.sh

startPlatform
start engine "$build/engine-standin" --listen=127.0.0.1:0 --endpoint=engine \
    --memory=85899345920 --slots=512 --load-time=200ms --token-time=1ms --fencing=checked
engine="$(standinAddress engine)"
startInstance one zone-a
publishInstances
key="bench-key"
cat >"$work/rules" <<RULES
zone zone-a state=serving # asked for by: operations
endpoint engine zone=zone-a address=$engine kind=engine memory=80GiB slots=512 fresh-slots=256 fencing=checked # asked for by: operations
model assistant version=1 memory=14GiB min-replicas=1 # asked for by: operations
workspace bench rate=100000000 burst=100000000 # asked for by: operations
key bench digest=sha256:$(printf '%s' "$key" | sha256sum | cut -d' ' -f1) # asked for by: operations
route chat kind=model path=/v1/chat/completions idempotent=yes deadline=30s # asked for by: operations
RULES
"$build/marigoldspoolctl" apply "$work/rules" --platform="$platform" >/dev/null 2>&1 || exit 1
waitUntilReady
warmUp() {
    curl -fsS "http://${instances[0]}/v1/chat/completions" -H "Authorization: Bearer $key" \
        -d '{"model":"assistant","max_tokens":1,"messages":[{"role":"user","content":"x"}]}'
}
waitFor 30 warmUp || { echo "the model was not served"; exit 1; }

usage() {
    local fields
    read -r -a fields <"/proc/$pid_one/stat"
    echo "$((fields[13] + fields[14])) $(awk '/VmRSS/ { print $2 }' "/proc/$pid_one/status")"
}
run() {
    local label="$1" before after
    shift
    echo "== $label"
    read -r -a before <<<"$(usage)"
    "$build/path-bench" --target="${instances[0]}" --direct="$engine" --key="$key" \
        --duration="$duration" --rounds=2 "$@"
    read -r -a after <<<"$(usage)"
    echo "instance: $(((after[0] - before[0]) * 10)) ms of processor time," \
        "memory ${before[1]} kB before, ${after[1]} kB after"
}
run "plain requests, $rate a second" --rate="$rate" --tokens=1
run "streams of 200 tokens, 100 a second" --rate=100 --tokens=200 --connections=64 --stream
