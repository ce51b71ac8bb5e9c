# Functions for scripts that run stand-ins and instances on loopback ports. The script that reads
# this file sets `build` first.

for program in platform-standin engine-standin service-standin marigoldspoold marigoldspoolctl; do
    if [ ! -x "$build/$program" ]; then
        echo "$build/$program is missing; run utils/build.sh $build first"
        exit 1
    fi
done

work="$(mktemp -d)"
pids=()

cleanUp() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    [ -n "${KEEP_LOGS:-}" ] || rm -rf "$work"
}
trap cleanUp EXIT

# A port whose neighbour 1000 above, the peer port, is free as well.
nextPort=$((20000 + RANDOM % 8000))
pickPort() {
    while :; do
        nextPort=$((nextPort + 1))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$nextPort") 2>/dev/null \
            && ! (exec 3<>"/dev/tcp/127.0.0.1/$((nextPort + 1000))") 2>/dev/null; then
            port=$nextPort
            return
        fi
    done
}

# start NAME PROGRAM ARGS...: runs a program with its output in files of that name.
start() {
    local name="$1"
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=("$!")
    declare -g "pid_${name//-/_}=$!"
}

# waitFor SECONDS COMMAND...: until the command succeeds.
waitFor() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            return 1
        fi
        sleep 0.05
    done
}

standinAddress() {
    waitFor 20 grep -q '^listening address=' "$work/$1.out" || return 1
    sed -n 's/^listening address=//p' "$work/$1.out" | head -n 1
}

# startPlatform: sets `platform` to the address of the platform stand-in.
startPlatform() {
    start platform "$build/platform-standin" --listen=127.0.0.1:0
    platform="$(standinAddress platform)" || {
        echo "the platform stand-in did not start"
        exit 1
    }
}

# startInstance NAME ZONE: adds to `instances` (addresses), `names` and the platform's list.
instances=()
names=()
platformList=""
startInstance() {
    pickPort
    instances+=("127.0.0.1:$port")
    names+=("$1")
    platformList="$platformList{\"id\":\"$1\",\"zone\":\"$2\",\"address\":\"127.0.0.1:$port\",\"state\":\"live\"},"
    start "$1" "$build/marigoldspoold" --instance="$1" --zone="$2" --listen="127.0.0.1:$port" \
        --platform="$platform" --peer-secret=local --drain-notice=200ms
}

publishInstances() {
    curl -fsS -X PUT "http://$platform/instances" -H 'Content-Type: application/json' \
        -d "{\"instances\":[${platformList%,}]}" >/dev/null
}

waitUntilReady() {
    local address
    for address in "${instances[@]}"; do
        waitFor 60 curl -fsS "http://$address/readyz" || {
            echo "FAIL  $address is not ready"
            tail -n 5 "$work"/*.err
            exit 1
        }
    done
}
