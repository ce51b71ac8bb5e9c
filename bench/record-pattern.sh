#!/usr/bin/env bash
# Makes a pattern for serving-model from the logs of all instances of a fleet:
#   bench/record-pattern.sh HEADER LOG > PATTERN
# HEADER holds the pattern's lines for the pool, its models and the classes of requests; the
# engines and the arrivals come from the log. A class has the name of its route.
# Attempts that follow a refusal of the same size for the same model are taken for returns of the
# caller and left out.
set -euo pipefail
header="$1"
log="$2"

cat "$header"
awk '
function field(name,    i, n) {
    n = length(name) + 1
    for (i = 1; i <= NF; ++i) {
        if (substr($i, 1, n) == name "=") return substr($i, n + 1)
    }
    return ""
}
function list(text,    parts, n, i, joined) {
    n = split(text, parts, ",")
    joined = ""
    for (i = 1; i <= n; ++i) {
        if (parts[i] != "" && parts[i] != "\"\"") joined = joined (joined == "" ? "" : ",") "\"" parts[i] "\""
    }
    return "[" joined "]"
}
/event=engine_reported/ && !(field("endpoint") in seen) {
    seen[field("endpoint")] = 1
    printf "{\"type\":\"engine\",\"name\":\"%s\",\"zone\":\"%s\",\"models\":%s,\"in_memory\":%s,\"on_disk\":%s}\n",
        field("endpoint"), field("zone"), list(field("models")), list(field("in_memory")),
        list(field("on_disk"))
}
/event=request / && field("model") != "\"\"" && field("model") != "" {
    adapter = field("adapter")
    if (adapter == "\"\"") adapter = ""
    at = field("time_ms") - field("total_ms")
    printf "%.0f %s %s %s %s %s %s %.0f\n", at, field("route"), field("model"),
        adapter == "" ? "-" : adapter, field("tokens_in"), field("tokens_out"), field("status"),
        field("time_ms") | "sort -n"
}' "$log" | awk '
/^\{/ { print; next }
{
    key = $2 " " $3 " " $4 " " $5 " " $6
    if (!started) { began = $1; started = 1 }
    isReturn = (key in refusedAt) && $1 - refusedAt[key] >= 0 && $1 - refusedAt[key] < 10000
    if (isReturn) delete refusedAt[key]
    if ($7 == 429 || $7 == 503) refusedAt[key] = $8
    if (isReturn) next
    printf "{\"type\":\"request\",\"at_ms\":%.0f,\"class\":\"%s\",\"model\":\"%s\",\"adapter\":\"%s\",\"prompt_tokens\":%d,\"output_tokens\":%d}\n",
        $1 - began, $2, $3, $4 == "-" ? "" : $4, $5, $6
}'
