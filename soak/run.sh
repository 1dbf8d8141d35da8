#!/usr/bin/env bash
# Runs the soak once for each line "SEED SECONDS [cause]" of its input, three at a time, and closes with
# "N passed, N failed". The output of a run that fails is printed whole. GATEWAYS: of each run, 3 by
# default. In a line "SEED SECONDS restored [cause]", and in all with RESTORATIONS=1, the store comes
# back from copies; with CRASHES=1 requests come that end upstreams; with VERSIONS=1 upstreams have two
# software versions and clients resume streams; with HERDS=1 most new connections go to one gateway at times; with
# LOSSES=1 all gateways are lost in rounds; with FLOODS=1 upstreams and stores send bytes without end; with GARBLE=1
# upstreams put other bytes into their streams; with SILENCES=1 sound upstreams are silent for up to two seconds, beside
# changes of the configuration and planned stops of gateways in place of the other faults; with ODD=1 another writer leaves
# odd records in the store. With KNOWN_SEEDS=1 a line "soak-seeds: seed N: cause" in KNOWN-RED.txt lets the run of just that
# seed fail, by the trace below alone; it is printed.
# Usage: soak/run.sh BUILD-DIR
set -u
out=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
lines=$(grep -v '^#' | awk -v all="${RESTORATIONS:-}" -v more="${CRASHES:+ --crashes}${VERSIONS:+ --versions}${HERDS:+ --herds}${LOSSES:+ --losses}${FLOODS:+ --floods}${SILENCES:+ --silences}${ODD:+ --odd}${GARBLE:+ --garble}" \
  '{ print $1, $2 ((all || $3 == "restored") ? " --restorations" : "") more }')
xargs -P 3 -L 1 sh -c '"$0/soak-run" --build "$0" --seed "$2" --seconds "$3" ${4:-} ${5:-} ${6:-} ${7:-} ${8:-} ${9:-} ${10:-} ${11:-} --gateways "${GATEWAYS:-3}" >"$1/$2${4:-}.log" 2>&1 && mv "$1/$2${4:-}.log" "$1/$2${4:-}.passed"; true' "$out" "$dir" <<<"$lines"
passed=$(find "$dir" -name '*.passed' | wc -l)
failed=$(find "$dir" -name '*.log' | wc -l)
find "$dir" -name '*.passed' -exec grep -hE '^seed| losses: | silences: | garbled: ' {} +
find "$dir" -name '*.log' -exec cat {} +
# Again at the end, where the output of many lines may be cut.
find "$dir" -name '*.log' -exec grep -H ' BROKEN ' {} + | sed "s|^$dir/|failed: seed |"
echo "soak: $passed passed, $failed failed"

RETRY_WINDOW_MS=10000

# Whether each broken promise of the run with this log is a request that a full upstream had refused, and that a gateway in
# its first retry window might not send again.
is_listed () {
  local records line log ms
  records=$(sed -n 's/^logs and records are in //p' "$1")
  grep -q ' BROKEN ' "$1" && grep ' BROKEN ' "$1" | while read -r line; do
    [[ $line =~ "after all had healed, gateway "([0-9]+)" answered "([^ ]+)" ".*" by 503"$ ]] || return 1
    log="$records/gateway-${BASH_REMATCH[1]}.log"
    grep -qE " refuse id=${BASH_REMATCH[2]} .* outcome=(not_run|repeatable) reason=deadline .* full=[1-9] .* retry_wait_ms=" "$log" || return 1
    ms=$(sed -nE "s/.* retry id=${BASH_REMATCH[2]} .* started_ms_ago=([0-9]+) .*/\1/p" "$log" | tail -n 1)
    [ "${ms:-$RETRY_WINDOW_MS}" -lt "$RETRY_WINDOW_MS" ] || return 1
  done
}

known=0
for log in "$dir"/*.log; do
  seed=$(basename "$log" .log)
  if [ -n "${KNOWN_SEEDS:-}" ] && [ -f "$log" ] && is_listed "$log" &&
    grep -F "soak-seeds: seed ${seed%%[!0-9]*}: " KNOWN-RED.txt; then
    known=$((known + 1))
  fi
done
[ "$failed" -eq "$known" ] && [ "$((passed + known))" -eq "$(wc -l <<<"$lines")" ]
