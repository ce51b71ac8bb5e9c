#!/usr/bin/env bash
# Runs the whole path on loopback ports: the platform stand-in, engines and services in two zones
# and four instances of marigoldspoold. Sends a plain and a streaming model request, a service call,
# a call with a wrong key and calls above the rate, prints what came back, and stops everything.
# Exits with 0 only if every answer was as expected. Usage: utils/run-local.sh [BUILD_DIR]
set -uo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
failures=0
calls=()
source utils/local-fleet.sh

check() {
    if [ "$2" = "$3" ]; then
        echo "ok    $1: $2"
    else
        echo "FAIL  $1: got $2, expected $3"
        failures=$((failures + 1))
    fi
}

began="$(date +%s%N)"
startPlatform

for zone in a b; do
    start "engine-$zone" "$build/engine-standin" --listen=127.0.0.1:0 --endpoint="engine-$zone" \
        --memory=85899345920 --slots=8 --load-time=300ms --token-time=2ms --fencing=checked
    start "app-$zone" "$build/service-standin" --listen=127.0.0.1:0
done

key="local-key-1"
digest="$(printf '%s' "$key" | sha256sum | cut -d' ' -f1)"
cat >"$work/rules" <<RULES
zone zone-a state=serving   # asked for by: operations
zone zone-b state=serving   # asked for by: operations
endpoint engine-a zone=zone-a address=$(standinAddress engine-a) kind=engine memory=80GiB slots=8 fresh-slots=2 fencing=checked   # asked for by: operations
endpoint engine-b zone=zone-b address=$(standinAddress engine-b) kind=engine memory=80GiB slots=8 fresh-slots=2 fencing=checked   # asked for by: operations
endpoint app-a zone=zone-a address=$(standinAddress app-a) kind=service slots=8 fresh-slots=4 pool=bookings   # asked for by: the drivers' team
endpoint app-b zone=zone-b address=$(standinAddress app-b) kind=service slots=8 fresh-slots=4 pool=bookings   # asked for by: the drivers' team
model assistant version=1 memory=14GiB kv=2GiB max-replicas=2   # asked for by: the bookings team
workspace derwent rate=2000 burst=2000   # asked for by: operations
key derwent digest=sha256:$digest   # asked for by: derwent's administrator
route chat kind=model path=/v1/chat/completions idempotent=yes deadline=20s   # asked for by: the bookings team
route pickups kind=service pool=bookings path=/pickups idempotent=no deadline=5s cost=1   # asked for by: the drivers' team
RULES

for name in a1 a2 b1 b2; do
    startInstance "$name" "zone-${name:0:1}"
done
publishInstances || failures=$((failures + 1))

# Before the first configuration nothing is known of routes, so nothing is refused for good.
waitFor 20 curl -fsS "http://${instances[0]}/healthz" || failures=$((failures + 1))
check "no configuration yet" \
    "$(curl -sS -o /dev/null -w '%{http_code}' "http://${instances[0]}/v1/chat/completions" -d '{}')" 503

"$build/marigoldspoolctl" check "$work/rules" || failures=$((failures + 1))
"$build/marigoldspoolctl" apply "$work/rules" --platform="$platform" --author=run-local \
    || failures=$((failures + 1))
waitUntilReady

# request INSTANCE PATH BODY [CURL_ARGS...]: prints the status, leaves the body in $work/body.
request() {
    local address="$1" path="$2" body="$3"
    shift 3
    curl -sS -o "$work/body" -w '%{http_code}' --max-time 40 "http://$address$path" \
        -H 'Content-Type: application/json' -d "$body" "$@"
}
auth=(-H "Authorization: Bearer $key")
chat='{"model":"assistant","max_tokens":16,"messages":[{"role":"user","content":"Is my basket ready?"}]}'
stream="${chat%\}},\"stream\":true}"

check "model request (cold)" "$(request "${instances[0]}" /v1/chat/completions "$chat" "${auth[@]}")" 200
echo "      $(head -c 200 "$work/body")"
echo "      first request served $((($(date +%s%N) - began) / 1000000)) ms after the start"
check "model request elsewhere" "$(request "${instances[3]}" /v1/chat/completions "$chat" "${auth[@]}")" 200
check "streaming request" "$(request "${instances[1]}" /v1/chat/completions "$stream" "${auth[@]}" -N)" 200
check "stream ends with its marker" "$(grep -c '^data: \[DONE\]' "$work/body")" 1
check "service call" "$(request "${instances[2]}" /pickups '{"basket":7}' "${auth[@]}")" 200
echo "      $(head -c 200 "$work/body")"
check "wrong key" "$(request "${instances[0]}" /v1/chat/completions "$chat" -H 'Authorization: Bearer wrong')" 401
echo "      $(head -c 300 "$work/body")"
check "missing key" "$(request "${instances[0]}" /v1/chat/completions "$chat")" 401
check "malformed body" "$(request "${instances[0]}" /v1/chat/completions '{"model":' "${auth[@]}")" 400
large='{"model":"assistant","max_tokens":1500,"messages":[{"role":"user","content":"Write at length."}]}'
# The buckets start empty, so that a restart cannot double a burst.
largeIsServed() {
    [ "$(request "${instances[0]}" /v1/chat/completions "$large" "${auth[@]}")" = 200 ]
}
check "a large call is served within the rate" "$(waitFor 20 largeIsServed && echo yes)" yes
# At the same time, so that the rate does not refill in between.
for n in 0 1 2 3 0; do
    curl -sS -o "$work/body.$n" -w '%{http_code}\n' --max-time 40 \
        "http://${instances[$n]}/v1/chat/completions" -H 'Content-Type: application/json' \
        -d "$large" "${auth[@]}" -H 'X-Deadline-Ms: 15000' >>"$work/statuses" &
    calls+=("$!")
done
wait "${calls[@]}"
statuses="$(sort "$work/statuses" | tr '\n' ' ')"
check "calls above the rate are refused" "$(grep -c 429 <<<"$statuses")" 1
echo "      statuses: $statuses"
check "open refusals are counted" \
    "$(curl -fsS "http://${instances[0]}/metrics" | grep -c 'refusals_total{reason="key_unknown"} 1')" 1
"$build/marigoldspoolctl" status --platform="$platform" || failures=$((failures + 1))

for name in a1 a2 b1 b2; do
    pid="pid_$name"
    kill -TERM "${!pid}"
done
for name in a1 a2 b1 b2; do
    pid="pid_$name"
    waitFor 30 bash -c "! kill -0 ${!pid}" || true
    wait "${!pid}"
    check "$name stopped" "$?" 0
done
grep -h 'invariant_violated' "$work"/*.err && failures=$((failures + 1))
if [ "$failures" -gt 0 ]; then
    echo "run-local: $failures checks failed"
    tail -n 5 "$work"/*.err
    exit 1
fi
echo "run-local: all checks passed"
